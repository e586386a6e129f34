"""Answers whose status code is impossible: they are no answers, and the request may have run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import stream_head

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

INVALID = ["000", "001", "099", "199", "600", "999", "1000", "2000", "-20", "", "101", "20x"]
PATHS = ["/once/", "/safe/", "/stream/", "/resumable/"]
EVENT_1 = b"id: 1\ndata: a\n\n"
LAST_CHUNK = b"0\r\n\r\n"


def invalid_endpoint(status: str, extra: str = "") -> ScriptedEndpoint:
    """Return an endpoint that answers with an invalid status and keeps the connection open."""

    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(answer(request, f"{status} Odd", extra=extra))
        request.closed.wait(1.2)

    return ScriptedEndpoint(script)


@pytest.mark.parametrize("extra", ["", "X-Not-Run: 1\r\n"])
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", INVALID)
def test_answer_with_an_invalid_status_is_answered_502_at_once(
    loop: CurlLoop, status: str, path: str, extra: str
) -> None:
    harness = RelayHarness(loop, [invalid_endpoint(status, extra)])
    started_s = time.monotonic()
    data = harness.call(path, "POST", body=b"x")
    assert time.monotonic() - started_s < 1.0
    assert data.startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
@pytest.mark.parametrize("status", INVALID)
def test_request_answered_with_an_invalid_status_is_not_repeated(
    loop: CurlLoop, status: str, path: str
) -> None:
    endpoints = [invalid_endpoint(status, "X-Not-Run: 1\r\n") for _ in range(3)]
    harness = RelayHarness(loop, endpoints)
    assert harness.call(path, "POST", body=b"x").startswith(b"HTTP/1.1 502")
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


@pytest.mark.parametrize("status", INVALID)
def test_repeatable_request_answered_with_an_invalid_status_is_repeated(
    loop: CurlLoop, status: str
) -> None:
    has_failed: list[bool] = []

    def script(connection: socket.socket, request: Received) -> None:
        if not has_failed:
            has_failed.append(True)
            connection.sendall(answer(request, f"{status} Odd"))
            request.closed.wait(1.2)
            return
        connection.sendall(answer(request))

    harness = RelayHarness(loop, [ScriptedEndpoint(script) for _ in range(2)])
    assert harness.call("/safe/", "POST", body=b"x").startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("status", INVALID)
def test_invalid_status_is_not_blamed_on_the_request(loop: CurlLoop, status: str) -> None:
    """An endpoint that answers nonsense has not crashed; it must cost the request nothing."""
    harness = RelayHarness(loop, [invalid_endpoint(status) for _ in range(3)])
    for _ in range(3):
        harness.call("/once/", "POST", body=b"x")
    assert harness.blames == []
    assert harness.suspicions == []
    assert all("quarantine" not in record.outcome for record in harness.wait_records(3))


@pytest.mark.parametrize("interim", ["100 Continue", "102 Processing", "103 Early Hints"])
@pytest.mark.parametrize("path", PATHS)
def test_interim_answer_is_skipped(loop: CurlLoop, path: str, interim: str) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(f"HTTP/1.1 {interim}\r\nLink: </a>\r\n\r\n".encode() * 2)
        time.sleep(0.05)
        if path in ("/stream/", "/resumable/"):
            connection.sendall(stream_head(request) + chunk(EVENT_1) + LAST_CHUNK)
        else:
            connection.sendall(answer(request))

    data = RelayHarness(loop, [ScriptedEndpoint(script)]).call(path, "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 200")
    assert b"Link" not in data


@pytest.mark.parametrize("path", ["/once/", "/safe/"])
@pytest.mark.parametrize("line", ["HTTP/1.1 503 Full: x", "HTTP/1.1 200 OK"])
def test_status_line_among_the_trailers_is_no_answer(loop: CurlLoop, line: str, path: str) -> None:
    """It is no trailer either, so the answer before it is not complete."""

    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(stream_head(request) + chunk(EVENT_1))
        connection.sendall(f"0\r\n{line}\r\nX-Not-Run: 1\r\n\r\n".encode())

    endpoint = ScriptedEndpoint(script)
    data = RelayHarness(loop, [endpoint]).call(path, "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 502")
    assert len(endpoint.requests) == 1


def test_trailers_say_nothing_about_the_answer(loop: CurlLoop) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(stream_head(request) + chunk(EVENT_1))
        connection.sendall(b"0\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\n")

    data = RelayHarness(loop, [ScriptedEndpoint(script)]).call("/once/", "POST", body=b"x")
    assert data.startswith(b"HTTP/1.1 200")
    assert data.endswith(b"\r\n\r\n" + EVENT_1)
    assert b"X-Not-Run" not in data
