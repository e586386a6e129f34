"""Many endpoints at once that send much, and no answer, to one gateway process."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest

from .flooded_process import relay_process
from .relay_harness import read_all
from .relay_harness import request_bytes
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of

if TYPE_CHECKING:
    from collections.abc import Callable

# The memory of one of the users' machines.
MACHINE_MB = 300
RELAYS = 3
ENDPOINTS = 4
CALLERS = 15
SOUND_REQUESTS = 10
HEAD = b"HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Id: r1\r\n"
# Below the limits of a single answer, so that only the sum can exceed anything.
BODY_BYTES = 14 * 1024 * 1024
HEAD_BYTES = 250_000
EVENT_BYTES = 1000 * 1024


def _short_headers() -> bytes:
    lines = (b"%x:\n" % number for number in itertools.count(0x1000))
    return b"".join(itertools.islice(lines, HEAD_BYTES // 6))


FLOODS: dict[str, tuple[str, Callable[[], bytes], bytes]] = {
    "body": ("/once/", lambda: HEAD + b"\r\n" + bytes(BODY_BYTES), b"x"),
    "body-with-length": (
        "/once/",
        lambda: HEAD + b"Content-Length: 99999999999\r\n\r\n" + bytes(BODY_BYTES),
        b"x",
    ),
    "chunks": (
        "/once/",
        lambda: HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffff\r\n" + bytes(BODY_BYTES),
        b"x",
    ),
    "error-body": (
        "/once/",
        lambda: HEAD.replace(b"200", b"500") + b"\r\n" + bytes(BODY_BYTES),
        b"x",
    ),
    "headers": ("/once/", lambda: HEAD + _short_headers(), b"y"),
    "event": (
        "/stream/",
        lambda: (HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffff\r\n" + b"x" * EVENT_BYTES),
        b"x",
    ),
}


def _endpoint(first: bytes, more: bytes) -> ScriptedEndpoint:
    """Return an endpoint that sends ``first``, then ``more`` slowly until the gateway closes.

    ``first`` is one object for all endpoints: the threads that send it would else keep the sound
    endpoint, which is in the same process, from answering.
    """

    def script(connection: socket.socket, request: Received) -> None:
        try:
            connection.sendall(first)
            for _ in range(100):
                connection.sendall(more)
                time.sleep(0.1)
        except OSError:
            request.closed.set()

    return ScriptedEndpoint(script)


def _call(port: int, path: str) -> bytes:
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(8)
        connection.sendall(request_bytes(path, headers="Connection: close\r\n"))
        return read_all(connection)


@pytest.mark.parametrize("kind", list(FLOODS))
def test_many_floods_at_once_leave_the_process_within_the_machine(kind: str) -> None:
    path, first_bytes, more = FLOODS[kind]
    first = first_bytes()
    flooding = [[_endpoint(first, more) for _ in range(ENDPOINTS)] for _ in range(RELAYS)]
    answers: list[bytes] = []
    with relay_process([*flooding, [fixed_answer_endpoint()]]) as process:
        *flooded_ports, sound_port = process.ports
        threads = [
            threading.Thread(target=lambda port=port: answers.append(_call(port, path)))
            for port in flooded_ports
            for _ in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        sound = [status_of(_call(sound_port, "/stream/")) for _ in range(SOUND_REQUESTS)]
        for thread in threads:
            thread.join(10)
        peak_mb = process.peak_mb()
    assert peak_mb < MACHINE_MB
    assert sound == [200] * SOUND_REQUESTS
    assert len(answers) == RELAYS * CALLERS
    run = sum(len(endpoint.requests) for group in flooding for endpoint in group)
    failed = sum(not data or status_of(data) in (502, 504) for data in answers)
    refused = sum(bool(data) and status_of(data) in (429, 503) for data in answers)
    # A request that reached an endpoint is answered neither with success nor as one that never ran.
    assert run > RELAYS * ENDPOINTS
    assert failed >= run
    assert failed + refused == len(answers)


SLOW_CALLERS = 40


def _large_answer(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, body=bytes(BODY_BYTES)))


def test_callers_that_read_nothing_of_large_answers_leave_the_process_within_the_machine() -> None:
    large = [[ScriptedEndpoint(_large_answer) for _ in range(ENDPOINTS)] for _ in range(RELAYS)]
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(relay_process([*large, [fixed_answer_endpoint()]]))
        *large_ports, sound_port = process.ports
        for number in range(SLOW_CALLERS):
            port = large_ports[number % RELAYS]
            connection = stack.enter_context(socket.create_connection(("127.0.0.1", port)))
            connection.sendall(request_bytes("/once/"))
            time.sleep(0.05)
        sound = [status_of(_call(sound_port, "/stream/")) for _ in range(SOUND_REQUESTS)]
        assert sound == [200] * SOUND_REQUESTS
        assert process.peak_mb() < MACHINE_MB


BODY_RELAYS = 6
CALLER_BODY_BYTES = 4 * 1024 * 1024


def test_unfinished_bodies_of_many_callers_leave_the_process_within_the_machine() -> None:
    groups = [[fixed_answer_endpoint()] for _ in range(BODY_RELAYS + 1)]
    part = bytes(CALLER_BODY_BYTES - 1)
    head = f"Content-Length: {CALLER_BODY_BYTES}\r\n"
    refused = 0
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(relay_process(groups))
        *ports, sound_port = process.ports
        for number in range(BODY_RELAYS * CALLERS):
            connection = stack.enter_context(
                socket.create_connection(("127.0.0.1", ports[number % BODY_RELAYS]))
            )
            connection.settimeout(5)
            with contextlib.suppress(ConnectionError):
                connection.sendall(request_bytes("/once/", "POST", head) + part)
            connection.settimeout(0.05)
            with contextlib.suppress(TimeoutError):
                data = read_all(connection)
                assert not data or status_of(data) == 503
                refused += 1
        with socket.create_connection(("127.0.0.1", sound_port)) as connection:
            connection.settimeout(8)
            headers = "Connection: close\r\n"
            connection.sendall(request_bytes("/stream/", "POST", headers, b"small"))
            assert status_of(read_all(connection)) == 200
        assert process.peak_mb() < MACHINE_MB
    assert 0 < refused < BODY_RELAYS * CALLERS
    assert not any(endpoint.requests for group in groups[:-1] for endpoint in group)
