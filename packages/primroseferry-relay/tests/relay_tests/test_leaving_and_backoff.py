"""Endpoints that announce that they are leaving, or reject a request and ask for a backoff."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import stream_head
from .test_relay import body_of
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

LEAVING = "X-Leaving: 1\r\n"
OVERLOADED = "503 Service Unavailable"


def _leaving_stream_endpoint() -> ScriptedEndpoint:
    def script(connection: socket.socket, request: Received) -> None:
        head = stream_head(request).replace(b"\r\n\r\n", b"\r\nX-Leaving: 1\r\n\r\n")
        connection.sendall(head + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")

    return ScriptedEndpoint(script)


@pytest.mark.parametrize(
    ("path", "endpoint"),
    [
        ("/safe/", fixed_answer_endpoint(extra=LEAVING)),
        ("/once/", fixed_answer_endpoint(OVERLOADED, extra=LEAVING + "X-Not-Run: 1\r\n")),
        ("/safe/", fixed_answer_endpoint("500 Internal Server Error", extra=LEAVING)),
        ("/stream/", _leaving_stream_endpoint()),
    ],
)
def test_endpoint_that_announces_leaving_gets_no_new_requests(
    loop: CurlLoop, path: str, endpoint: ScriptedEndpoint
) -> None:
    bench = RelayHarness(loop, [endpoint])
    bench.call(path)
    assert status_of(bench.call("/safe/")) == 503
    assert len(endpoint.requests) == 1
    assert [run.endpoint for run in bench.leaving] == ["e-0"]


def test_new_run_at_the_same_address_gets_requests(loop: CurlLoop) -> None:
    endpoint = fixed_answer_endpoint(extra=LEAVING)
    bench = RelayHarness(loop, [endpoint])
    bench.call("/safe/")
    (entry,) = bench.catalog.entries().values()
    bench.catalog.put(replace(entry, started_ms=entry.started_ms + 1))
    assert status_of(bench.call("/safe/")) == 200


def test_leaving_state_survives_removal_and_return_of_the_entry(loop: CurlLoop) -> None:
    endpoint = fixed_answer_endpoint(extra=LEAVING)
    bench = RelayHarness(loop, [endpoint])
    bench.call("/safe/")
    (entry,) = bench.catalog.entries().values()
    bench.catalog.remove(entry.endpoint)
    bench.catalog.put(entry)
    assert status_of(bench.call("/safe/")) == 503


def test_endpoint_gets_no_requests_during_its_backoff(loop: CurlLoop) -> None:
    backed_off = fixed_answer_endpoint(OVERLOADED, extra="X-Not-Run: 1\r\nRetry-After: 0.9\r\n")
    bench = RelayHarness(loop, [backed_off])
    started_s = time.monotonic()
    data = bench.call("/once/")
    assert status_of(data) == 503
    again = bench.call("/once/")
    problem = json.loads(body_of(again))
    assert status_of(again) == 503
    assert problem["ran"] == "no"
    assert 0.5 < problem["retry_after_s"] < 0.9 + 1.5
    assert len(backed_off.requests) == 1
    assert time.monotonic() - started_s < 0.8
    time.sleep(max(0.0, started_s + 1.2 - time.monotonic()))
    bench.call("/once/")
    assert len(backed_off.requests) == 2


def test_requests_go_to_an_endpoint_that_is_not_backed_off(loop: CurlLoop) -> None:
    backed_off = fixed_answer_endpoint(OVERLOADED, extra="X-Not-Run: 1\r\nRetry-After: 30\r\n")
    free = fixed_answer_endpoint()
    bench = RelayHarness(loop, [backed_off, free])
    answers = [status_of(bench.call("/safe/")) for _ in range(12)]
    assert answers == [200] * 12
    assert len(backed_off.requests) <= 1


@pytest.mark.parametrize("value", ["-3", "inf", "nan", "0"])
def test_invalid_backoff_is_ignored(loop: CurlLoop, value: str) -> None:
    endpoint = fixed_answer_endpoint(OVERLOADED, extra=f"X-Not-Run: 1\r\nRetry-After: {value}\r\n")
    bench = RelayHarness(loop, [endpoint])
    bench.call("/once/")
    bench.call("/once/")
    assert len(endpoint.requests) == 2


def test_backoff_without_a_rejection_is_ignored(loop: CurlLoop) -> None:
    endpoint = ScriptedEndpoint(
        lambda connection, request: connection.sendall(
            answer(request, "500 Internal Server Error", extra="Retry-After: 30\r\n")
        )
    )
    bench = RelayHarness(loop, [endpoint])
    bench.call("/once/")
    bench.call("/once/")
    assert len(endpoint.requests) == 2
