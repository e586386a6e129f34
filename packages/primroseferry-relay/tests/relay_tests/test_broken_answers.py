"""Answers of endpoints whose head or trailers are broken: they are no answers.

Guards against such answers that reach a caller as complete, with a broken line passed on or with a
body that is not the endpoint's. The request may have run.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.broken_heads import BLANK_STARTS
from primroseferry_standins.broken_heads import INVALID_CODINGS
from primroseferry_standins.broken_heads import INVALID_LENGTHS
from primroseferry_standins.broken_heads import INVALID_STATUS_LINES
from primroseferry_standins.broken_heads import INVALID_TRAILERS
from primroseferry_standins.broken_heads import INVALID_VALUES
from primroseferry_standins.broken_heads import NO_FIELDS

from .relay_harness import RelayHarness
from .relay_harness import request_bytes
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import stream_head
from .test_answers_of_other_regions import entry_of
from .test_early_answers import read_answer
from .test_hop_server import HOP_REQUEST
from .test_hop_server import hop_listener_of
from .test_hop_server import send_hop
from .test_invalid_statuses import EVENT_1
from .test_invalid_statuses import LAST_CHUNK
from .test_invalid_statuses import PATHS

if TYPE_CHECKING:
    import socket

    from primroseferry_relay.endpoints.run_verification import HealthAnswer
    from primroseferry_transport.curl_loop import CurlLoop

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"0123456789"
LENGTH = b"Content-Length: 10\r\n"
SECOND = OK + b"X-Signed: yes\r\nContent-Length: 6\r\n\r\nsecond"
# One of each kind, for the tests of what follows from a broken answer.
BROKEN_LINES = [
    b"X Y: a\r\n" + LENGTH,
    b"X-A: a\x01b\r\n" + LENGTH,
    b"Content-Length : 5\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Content-Length: 18446744073709551621\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
]


def broken_endpoint(
    lines: bytes, body: bytes = BODY, status_line: bytes = OK, closes: bool = False
) -> ScriptedEndpoint:
    """Return an endpoint that sends a signed head with ``lines``, and another answer behind it."""

    def script(connection: socket.socket, request: Received) -> None:
        signature = f"X-Id: {request.header('x-id')}\r\nX-Signed: yes\r\n".encode()
        connection.sendall(status_line + lines + signature + b"\r\n" + body + SECOND)
        if not closes:
            request.closed.wait(1.2)

    return ScriptedEndpoint(script)


def assert_answered_502(loop: CurlLoop, endpoint: ScriptedEndpoint) -> None:
    """Check that a caller gets 502 at once on each path."""
    for path in PATHS:
        harness = RelayHarness(loop, [endpoint])
        started_s = time.monotonic()
        data = harness.call(path, "POST", body=b"x")
        assert time.monotonic() - started_s < 1.0
        assert data.startswith(b"HTTP/1.1 502"), (path, data)
        assert b"second" not in data


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("line", [*NO_FIELDS, *BLANK_STARTS])
def test_answer_with_a_line_that_is_no_field_is_answered_502(
    loop: CurlLoop, line: bytes, closes: bool
) -> None:
    lines = line + b"\r\n" + LENGTH
    assert_answered_502(loop, broken_endpoint(lines, closes=closes))


@pytest.mark.parametrize("line", INVALID_VALUES)
def test_answer_with_a_control_byte_in_a_value_is_answered_502(loop: CurlLoop, line: bytes) -> None:
    assert_answered_502(loop, broken_endpoint(LENGTH + line + b"\r\n"))


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("lines", INVALID_LENGTHS)
def test_answer_with_an_invalid_length_is_answered_502(
    loop: CurlLoop, lines: bytes, closes: bool
) -> None:
    assert_answered_502(loop, broken_endpoint(lines + b"\r\n", closes=closes))


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("lines", INVALID_CODINGS)
def test_answer_with_an_invalid_coding_is_answered_502(
    loop: CurlLoop, lines: bytes, closes: bool
) -> None:
    body = chunk(EVENT_1) + LAST_CHUNK
    assert_answered_502(loop, broken_endpoint(lines + b"\r\n", body, closes=closes))


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_answer_with_an_invalid_status_line_is_answered_502(loop: CurlLoop, line: bytes) -> None:
    assert_answered_502(loop, broken_endpoint(LENGTH, status_line=line + b"\r\n"))


def test_answer_with_two_status_lines_is_answered_502(loop: CurlLoop) -> None:
    assert_answered_502(loop, broken_endpoint(LENGTH + OK))


@pytest.mark.parametrize("line", INVALID_TRAILERS)
def test_answer_with_an_invalid_trailer_is_not_complete(loop: CurlLoop, line: bytes) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(stream_head(request) + chunk(EVENT_1))
        connection.sendall(b"0\r\nX-B: b\r\n" + line + b"\r\n\r\n" + SECOND)
        request.closed.wait(1.2)

    for path in PATHS:
        harness = RelayHarness(loop, [ScriptedEndpoint(script)])
        data = harness.call(path, "POST", body=b"x")
        if path in ("/once/", "/safe/"):
            assert data.startswith(b"HTTP/1.1 502")
        else:
            assert data.endswith(chunk(EVENT_1))
        assert b"second" not in data


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_request_with_a_broken_answer_is_not_repeated(
    loop: CurlLoop, lines: bytes, path: str
) -> None:
    endpoints = [broken_endpoint(lines + b"X-Not-Run: 1\r\n") for _ in range(3)]
    harness = RelayHarness(loop, endpoints)
    assert harness.call(path, "POST", body=b"x").startswith(b"HTTP/1.1 502")
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1
    assert [record.outcome for record in harness.wait_records()] != ["answered"]


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_repeatable_request_with_a_broken_answer_is_repeated(loop: CurlLoop, lines: bytes) -> None:
    has_failed = threading.Event()

    def script(connection: socket.socket, request: Received) -> None:
        if has_failed.is_set():
            connection.sendall(answer(request))
            return
        has_failed.set()
        connection.sendall(OK + lines + b"X-Id: r1\r\nX-Signed: yes\r\n\r\n" + BODY)
        request.closed.wait(1.2)

    harness = RelayHarness(loop, [ScriptedEndpoint(script) for _ in range(2)])
    data = harness.call("/safe/", "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 200")
    assert data.endswith(b"done")


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_broken_answer_is_not_blamed_on_the_request(loop: CurlLoop, lines: bytes) -> None:
    harness = RelayHarness(loop, [broken_endpoint(lines) for _ in range(3)])
    for _ in range(3):
        harness.call("/once/", "POST", body=b"x")
    assert harness.blames == []
    assert harness.suspicions == []
    assert all("quarantine" not in record.outcome for record in harness.wait_records(3))


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_bytes_behind_a_broken_head_answer_no_later_request(loop: CurlLoop, lines: bytes) -> None:
    answers: list[bytes] = [OK + lines + b"X-Signed: yes\r\n\r\n" + BODY + SECOND]

    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(answers.pop() if answers else answer(request, body=b"sound"))
        request.closed.wait(0.2)

    harness = RelayHarness(loop, [ScriptedEndpoint(script)])
    with harness.connect() as connection:
        connection.sendall(request_bytes("/once/", "POST", body=b"x"))
        assert b'"status"' in read_answer(connection)
        for _ in range(3):
            connection.sendall(request_bytes("/once/", "POST", body=b"x"))
            assert read_answer(connection) == b"sound"


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_broken_answer_in_another_region_is_answered_502(
    loop: CurlLoop, lines: bytes, path: str
) -> None:
    endpoint = broken_endpoint(lines)
    entry, serving = entry_of(loop, endpoint)
    data = entry.call(path, "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 502")
    assert entry.blames == serving.blames == []
    assert entry.suspicions == serving.suspicions == []
    if path in ("/once/", "/stream/"):
        assert len(endpoint.requests) == 1


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_hop_with_a_broken_answer_is_lost(loop: CurlLoop, lines: bytes) -> None:
    serving = RelayHarness(loop, [broken_endpoint(lines)])
    listener = hop_listener_of(loop, serving)
    data = send_hop(RelayHarness(loop, []), listener, HOP_REQUEST)
    assert b"-Outcome: lost" in data
    assert not data.startswith(b"HTTP/1.1 2")


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_broken_continuation_does_not_end_its_stream(loop: CurlLoop, lines: bytes) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        if request.header("last-event-id"):
            head = OK + lines + f"X-Id: {request.header('x-id')}\r\nX-Signed: yes\r\n\r\n".encode()
            connection.sendall(head + b"id: 2\ndata: b\n\n")
            return
        connection.sendall(stream_head(request) + chunk(EVENT_1) + b"20\r\nid: 2\nda")

    harness = RelayHarness(loop, [ScriptedEndpoint(script) for _ in range(3)])
    data = harness.call("/resumable/", "POST", body=b"x")
    assert data.endswith(chunk(EVENT_1))


@pytest.mark.parametrize("lines", BROKEN_LINES)
def test_broken_answer_to_a_health_check_says_nothing(loop: CurlLoop, lines: bytes) -> None:
    harness = RelayHarness(loop, [broken_endpoint(lines + b"X-Cold-Ms: 9000\r\n")])
    (endpoint,) = harness.catalog.entries().values()
    answers: list[HealthAnswer | None] = []
    is_answered = threading.Event()

    def on_answer(health: HealthAnswer | None) -> None:
        answers.append(health)
        is_answered.set()

    harness.reach.ask_health(endpoint, on_answer)
    assert is_answered.wait(5)
    assert answers == [None]


@pytest.mark.parametrize(
    "line",
    [
        b"X-A:a",
        b"X-A: \t a \t ",
        b"X-A:",
        b"X-A: caf\xc3\xa9 \xff\x85",
        b"X-A: \xc3\xa0",
        b"X!#$%&'*+-.^_`|~: a",
        b"X-A: a\r\n b",
    ],
)
def test_unusual_field_reaches_the_caller(loop: CurlLoop, line: bytes) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        sound = answer(request, body=BODY)
        connection.sendall(sound.replace(b"X-Signed", line + b"\r\nX-Signed", 1))

    name, _, value = line.partition(b":")
    forwarded = name + b": " + value.strip(b" \t").replace(b"\r\n", b"") + b"\r\n"
    for path in ("/once/", "/safe/"):
        harness = RelayHarness(loop, [ScriptedEndpoint(script)])
        data = harness.call(path, "POST", body=b"x")
        assert data.startswith(b"HTTP/1.1 200")
        assert data.endswith(b"\r\n\r\n" + BODY)
        assert forwarded in data
