"""Answers without a length or chunks: the end of the connection is their end, or a break."""

from __future__ import annotations

import socket
import threading
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_relay.ingress.answer_channel import AnswerChannel
from primroseferry_relay.messages import AnswerHead

from .relay_harness import RelayHarness
from .relay_harness import request_bytes
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import reset
from .scripted_endpoint import stream_head
from .test_hop_server import HOP_REQUEST
from .test_hop_server import hop_listener_of
from .test_hop_server import send_hop

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.curl_loop import CurlLoop

PATHS = ["/stream/", "/resumable/", "/once/", "/safe/"]
EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
LAST_CHUNK = b"0\r\n\r\n"
FIRST = EndpointId("e-0")


def note_nothing(_harness: RelayHarness) -> None:
    """Let the endpoint end without a word."""


def drain(harness: RelayHarness) -> None:
    harness.drain(FIRST)


def announce(harness: RelayHarness) -> None:
    harness.catalog.note_leaving(harness.catalog.entries()[FIRST].run)


def drain_and_remove(harness: RelayHarness) -> None:
    harness.drain(FIRST)
    harness.catalog.remove(FIRST)


def remove(harness: RelayHarness) -> None:
    harness.catalog.remove(FIRST)


LEAVING = [note_nothing, drain, announce, drain_and_remove, remove]


def end_with_fin(endpoint: ScriptedEndpoint, _connection: socket.socket) -> None:
    endpoint.close()


def end_amid_an_event(endpoint: ScriptedEndpoint, connection: socket.socket) -> None:
    connection.sendall(b"id: 2\nda")
    endpoint.close()


def end_with_reset(endpoint: ScriptedEndpoint, connection: socket.socket) -> None:
    endpoint.close()
    reset(connection)


def end_of_kernel_queue(endpoint: ScriptedEndpoint, connection: socket.socket) -> None:
    """The port accepts a connection just after the answer's end, and refuses the next ones."""
    endpoint.is_mute = True
    threading.Timer(0.03, endpoint.close).start()
    connection.shutdown(socket.SHUT_WR)


ENDS = [end_with_fin, end_amid_an_event, end_with_reset, end_of_kernel_queue]


class UnframedEndpoint(ScriptedEndpoint):
    """Answers each request with one event and no framing, then calls ``end``."""

    def __init__(
        self, end: Callable[[ScriptedEndpoint, socket.socket], None], extra: str = ""
    ) -> None:
        self._extra = extra
        self.before_end: Callable[[], None] = lambda: None
        self.is_mute = False
        self._end = end
        super().__init__(self._run)

    def _run(self, connection: socket.socket, request: Received) -> None:
        if request.header("x-endpoint").startswith("not-"):
            if not self.is_mute:
                connection.sendall(answer(request, "421 Misdirected Request"))
            return
        headers = f"X-Id: {request.header('x-id')}\r\nX-Signed: yes\r\n{self._extra}\r\n"
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + headers.encode() + EVENT_1)
        self.before_end()
        self._end(self, connection)


def stay(_endpoint: ScriptedEndpoint, _connection: socket.socket) -> None:
    """Go on after the answer."""


def continuing_endpoint() -> ScriptedEndpoint:
    """Return an endpoint that continues a stream with its second and last event."""

    def script(connection: socket.socket, request: Received) -> None:
        events = b"" if request.header("last-event-id") else chunk(EVENT_1)
        connection.sendall(stream_head(request) + events + chunk(EVENT_2) + LAST_CHUNK)

    return ScriptedEndpoint(script)


def harness_of(
    loop: CurlLoop, endpoint: UnframedEndpoint, leave: Callable[[RelayHarness], None]
) -> RelayHarness:
    harness = RelayHarness(loop, [endpoint])
    endpoint.before_end = lambda: leave(harness)
    return harness


def read_to_end(connection: socket.socket) -> tuple[bytes, bool]:
    """Return what is received and whether the connection is reset at the end."""
    data = b""
    while True:
        try:
            piece = connection.recv(65_536)
        except ConnectionResetError:
            return data, True
        if not piece:
            return data, False
        data += piece


def call_as_1_0(harness: RelayHarness, path: str) -> tuple[bytes, bool]:
    """Return what an HTTP/1.0 caller receives and whether the connection is reset at the end."""
    with harness.connect() as connection:
        connection.sendall(request_bytes(path, "POST", body=b"x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        return read_to_end(connection)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/stream/", "/resumable/"])
def test_stream_of_an_endpoint_that_ends_with_it_has_no_end(
    loop: CurlLoop,
    path: str,
    leave: Callable[[RelayHarness], None],
    end: Callable[[ScriptedEndpoint, socket.socket], None],
) -> None:
    harness = harness_of(loop, UnframedEndpoint(end), leave)
    body = harness.call(path, "POST", body=b"x").partition(b"\r\n\r\n")[2]
    assert body == chunk(EVENT_1)


@pytest.mark.parametrize("end", [end_with_fin, end_with_reset, end_of_kernel_queue])
@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/once/", "/safe/"])
def test_plain_answer_of_an_endpoint_that_ends_with_it_is_not_forwarded(
    loop: CurlLoop,
    path: str,
    leave: Callable[[RelayHarness], None],
    end: Callable[[ScriptedEndpoint, socket.socket], None],
) -> None:
    harness = harness_of(loop, UnframedEndpoint(end), leave)
    assert harness.call(path, "POST", body=b"x").startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", PATHS)
def test_answer_of_an_endpoint_that_outlives_it_is_complete(
    loop: CurlLoop, path: str, leave: Callable[[RelayHarness], None]
) -> None:
    harness = harness_of(loop, UnframedEndpoint(stay), leave)
    data = harness.call(path, "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 200")
    is_stream = path in ("/stream/", "/resumable/")
    assert data.endswith(chunk(EVENT_1) + LAST_CHUNK if is_stream else EVENT_1)
    assert [record.outcome for record in harness.wait_records()] == ["answered"]


@pytest.mark.parametrize("end", [stay, end_with_fin, end_of_kernel_queue])
def test_endpoint_that_must_not_reject_requests_gets_no_ping_after_an_answer(
    loop: CurlLoop, end: Callable[[ScriptedEndpoint, socket.socket], None]
) -> None:
    endpoint = UnframedEndpoint(end, "X-Brittle: 2\r\n")
    data = harness_of(loop, endpoint, drain).call("/stream/", "POST", body=b"x")
    assert data.endswith(LAST_CHUNK) is (end is stay)
    assert [request.body for request in endpoint.requests] == [b"x"]


@pytest.mark.parametrize("path", PATHS)
def test_answer_of_an_endpoint_with_another_run_by_now_is_not_complete(
    loop: CurlLoop, path: str
) -> None:
    def restart(harness: RelayHarness) -> None:
        entry = harness.catalog.entries()[FIRST]
        harness.catalog.put(replace(entry, started_ms=entry.started_ms + 1))

    harness = harness_of(loop, UnframedEndpoint(stay), restart)
    data = harness.call(path, "POST", body=b"x")
    assert data.endswith(chunk(EVENT_1)) or data.startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("end", ENDS)
def test_resumable_stream_of_an_endpoint_that_ends_with_it_goes_on_at_another(
    loop: CurlLoop, end: Callable[[ScriptedEndpoint, socket.socket], None]
) -> None:
    for _ in range(4):  # The first endpoint is chosen in some of them.
        endpoint = UnframedEndpoint(end)
        harness = RelayHarness(loop, [endpoint, continuing_endpoint()])
        endpoint.before_end = lambda harness=harness: harness.drain(FIRST)  # type: ignore[misc]
        data = harness.call("/resumable/", "POST", body=b"x")
        assert data.endswith(chunk(EVENT_1) + chunk(EVENT_2) + LAST_CHUNK)


@pytest.mark.parametrize("end", ENDS)
def test_resumed_stream_of_an_endpoint_that_ends_with_it_has_no_end(
    loop: CurlLoop, end: Callable[[ScriptedEndpoint, socket.socket], None]
) -> None:
    endpoint = UnframedEndpoint(end)
    harness = harness_of(loop, endpoint, drain)
    resumes = "Last-Event-Id: 0\r\n"
    body = harness.call("/resumable/", "POST", resumes, b"x").partition(b"\r\n\r\n")[2]
    assert not body.endswith(LAST_CHUNK)


@pytest.mark.parametrize("is_stream", [True, False])
@pytest.mark.parametrize("end", ENDS)
def test_answer_for_another_region_of_an_endpoint_that_ends_with_it_is_not_complete(
    loop: CurlLoop, end: Callable[[ScriptedEndpoint, socket.socket], None], is_stream: bool
) -> None:
    serving = harness_of(loop, UnframedEndpoint(end), drain)
    listener = hop_listener_of(loop, serving)
    hop_request = replace(HOP_REQUEST, is_stream=is_stream)
    path = "/stream/" if is_stream else "/once/"
    data = send_hop(RelayHarness(loop, []), listener, hop_request, path)
    assert data.endswith(chunk(EVENT_1)) if is_stream else b"-Outcome: died" in data


@pytest.mark.parametrize("end", ENDS)
def test_broken_stream_is_reset_at_a_caller_without_chunks(
    loop: CurlLoop, end: Callable[[ScriptedEndpoint, socket.socket], None]
) -> None:
    harness = harness_of(loop, UnframedEndpoint(end), drain)
    _, is_reset = call_as_1_0(harness, "/stream/")
    assert is_reset


def test_complete_stream_is_whole_at_a_caller_without_chunks(loop: CurlLoop) -> None:
    harness = harness_of(loop, UnframedEndpoint(stay), note_nothing)
    data, is_reset = call_as_1_0(harness, "/stream/")
    assert data.endswith(EVENT_1)
    assert not is_reset


def test_stream_without_chunks_whose_gateway_ends_is_reset(loop: CurlLoop) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        caller = socket.create_connection(server.getsockname())
        connection, _ = server.accept()
    channel = AnswerChannel(connection, loop, "GET", False, closes_connection=True)
    assert channel.begin_stream(AnswerHead(200, "OK", ()))
    assert channel.write_events(EVENT_1)
    connection.close()
    caller.settimeout(5)
    with caller:
        _, is_reset = read_to_end(caller)
    assert is_reset
