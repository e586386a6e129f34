"""Answers of faulty endpoints: repeated refusals, and errors in the midst of a resumed stream."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import reset
from .scripted_endpoint import stream_head

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from primroseferry_transport.curl_loop import CurlLoop

REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n%b\r\n"
EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
LAST_CHUNK = b"0\r\n\r\n"


@pytest.mark.parametrize("header", [b"", b"X-Id: r1\r\n", b"X-Id: other\r\n"])
@pytest.mark.parametrize("path", ["/once/", "/safe/"])
def test_refusal_repeated_on_a_kept_connection_answers_no_later_request(
    loop: CurlLoop, path: str, header: bytes
) -> None:
    runs: list[str] = []
    has_ended = threading.Event()

    def refuse_then_repeat(connection: socket.socket, request: Received) -> None:
        if not runs:
            runs.append("refused")
            connection.sendall(REFUSAL % header)
            connection.sendall(REFUSAL % header)
            has_ended.wait(1.0)  # The connection is kept, with the second refusal in it.
            return
        runs.append("run")
        connection.sendall(answer(request))

    endpoint = ScriptedEndpoint(refuse_then_repeat)
    harness = RelayHarness(loop, [endpoint])
    first = harness.call(path, "POST", body=b"x")
    answers = [harness.call(path, "POST", body=b"x") for _ in range(3)]
    has_ended.set()
    assert first.startswith((b"HTTP/1.1 503", b"HTTP/1.1 502"))
    assert all(data.startswith(b"HTTP/1.1 200") for data in answers)
    assert runs == ["refused", "run", "run", "run"]


@pytest.mark.parametrize("header", [b"", b"X-Id: r1\r\n"])
def test_refusal_after_a_complete_answer_does_not_replace_it(loop: CurlLoop, header: bytes) -> None:
    def answer_and_refuse(connection: socket.socket, request: Received) -> None:
        connection.sendall(answer(request) + REFUSAL % header)

    harness = RelayHarness(loop, [ScriptedEndpoint(answer_and_refuse)])
    data = harness.call("/once/", "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 200")
    assert b"503" not in data


def fail_with_text(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, "500 Failed", b"data: stack trace\n\n"))


def refuse_unproved(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, "503 Full", b"data: full\n\n"))


def reject(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, "400 Bad Request", b"data: bad id\n\n"))


def answer_plain_text(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, body=b'{"error": "no such event"}'))


def answer_json_lines(connection: socket.socket, request: Received) -> None:
    body = b'{"error":\n\n"no such event"}\n\n'
    connection.sendall(answer(request, body=body, extra="Content-Type: application/json\r\n"))


def answer_unsigned(connection: socket.socket, request: Received) -> None:
    head = stream_head(request).replace(b"X-Signed: yes\r\n", b"")
    connection.sendall(head + chunk(b"data: an error\n\n") + LAST_CHUNK)


def answer_nothing(connection: socket.socket, request: Received) -> None:
    connection.sendall(stream_head(request) + LAST_CHUNK)


def start_anew(connection: socket.socket, request: Received) -> None:
    events = chunk(EVENT_1) + chunk(EVENT_2)
    connection.sendall(stream_head(request) + events + LAST_CHUNK)


def answer_a_head_as_body(connection: socket.socket, request: Received) -> None:
    body = b"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nerror"
    connection.sendall(answer(request, body=body, extra="Content-Type: text/plain\r\n"))


FAULTY = [
    fail_with_text,
    refuse_unproved,
    reject,
    answer_plain_text,
    answer_json_lines,
    answer_unsigned,
    answer_nothing,
    start_anew,
    answer_a_head_as_body,
]


@pytest.mark.parametrize("fail", FAULTY)
def test_stream_whose_resumption_fails_has_only_its_events_and_no_end(
    loop: CurlLoop, fail: Callable[[socket.socket, Received], None]
) -> None:
    """The first attempt breaks off after one event; all further ones answer with ``fail``."""

    def script(connection: socket.socket, request: Received) -> None:
        if request.header("last-event-id"):
            fail(connection, request)
            return
        connection.sendall(stream_head(request) + chunk(EVENT_1) + b"20\r\nid: 2\nda")
        reset(connection)

    harness = RelayHarness(loop, [ScriptedEndpoint(script) for _ in range(3)])
    data = harness.call("/resumable/", "POST", body=b"x")
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body == chunk(EVENT_1)


@pytest.mark.parametrize("path", ["/stream/", "/resumable/"])
def test_unsigned_stream_is_not_forwarded(loop: CurlLoop, path: str) -> None:
    harness = RelayHarness(loop, [ScriptedEndpoint(answer_unsigned)])
    data = harness.call(path, "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 502")
    assert b"an error" not in data
    assert "not signed" in harness.wait_records()[0].reason


def test_resumption_by_an_event_stream_of_another_framing_is_forwarded(loop: CurlLoop) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        if request.header("last-event-id"):
            body = EVENT_2
            extra = "Content-Type: text/event-stream; charset=utf-8\r\n"
            connection.sendall(answer(request, body=body, extra=extra))
            return
        connection.sendall(stream_head(request) + chunk(EVENT_1) + b"20\r\nid: 2\nda")
        reset(connection)

    harness = RelayHarness(loop, [ScriptedEndpoint(script) for _ in range(3)])
    data = harness.call("/resumable/", "POST", body=b"x")
    assert data.endswith(chunk(EVENT_1) + chunk(EVENT_2) + LAST_CHUNK)
