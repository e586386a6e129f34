"""Endpoints that say that they leave, or that they want to be left alone for a while."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from .relay_bench import RelayBench
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import chunk
from .scripted_endpoint import stream_head
from .test_relay import body_of
from .test_relay import say
from .test_relay import status_of

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

LEAVING = "X-Leaving: 1\r\n"
FULL = "503 Service Unavailable"


def _leaving_stream() -> ScriptedEndpoint:
    def script(connection: socket.socket, request: Received) -> None:
        head = stream_head(request).replace(b"\r\n\r\n", b"\r\nX-Leaving: 1\r\n\r\n")
        connection.sendall(head + chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")

    return ScriptedEndpoint(script)


@pytest.mark.parametrize(
    ("path", "endpoint"),
    [
        ("/safe/", say(extra=LEAVING)),
        ("/once/", say(FULL, extra=LEAVING + "X-Not-Run: 1\r\n")),
        ("/safe/", say("500 Internal Server Error", extra=LEAVING)),
        ("/stream/", _leaving_stream()),
    ],
)
def test_endpoint_that_says_it_leaves_gets_no_new_work(
    loop: CurlLoop, path: str, endpoint: ScriptedEndpoint
) -> None:
    bench = RelayBench(loop, [endpoint])
    bench.call(path)
    assert status_of(bench.call("/safe/")) == 503
    assert len(endpoint.requests) == 1
    assert [run.endpoint for run in bench.leaving] == ["e-0"]


def test_new_run_at_the_same_address_is_not_blamed(loop: CurlLoop) -> None:
    endpoint = say(extra=LEAVING)
    bench = RelayBench(loop, [endpoint])
    bench.call("/safe/")
    (entry,) = bench.catalog.entries().values()
    bench.catalog.put(replace(entry, started_ms=entry.started_ms + 1))
    assert status_of(bench.call("/safe/")) == 200


def test_leaving_outlives_an_entry_that_comes_back(loop: CurlLoop) -> None:
    endpoint = say(extra=LEAVING)
    bench = RelayBench(loop, [endpoint])
    bench.call("/safe/")
    (entry,) = bench.catalog.entries().values()
    bench.catalog.remove(entry.endpoint)
    bench.catalog.put(entry)
    assert status_of(bench.call("/safe/")) == 503


def test_endpoint_that_asks_for_rest_is_left_alone_so_long(loop: CurlLoop) -> None:
    resting = say(FULL, extra="X-Not-Run: 1\r\nRetry-After: 0.9\r\n")
    bench = RelayBench(loop, [resting])
    started_s = time.monotonic()
    data = bench.call("/once/")
    assert status_of(data) == 503
    again = bench.call("/once/")
    problem = json.loads(body_of(again))
    assert status_of(again) == 503
    assert problem["ran"] == "no"
    assert 0.5 < problem["retry_after_s"] < 0.9 + 1.5
    assert len(resting.requests) == 1
    assert time.monotonic() - started_s < 0.8
    time.sleep(max(0.0, started_s + 1.2 - time.monotonic()))
    bench.call("/once/")
    assert len(resting.requests) == 2


def test_waiting_work_goes_to_an_endpoint_that_does_not_rest(loop: CurlLoop) -> None:
    resting = say(FULL, extra="X-Not-Run: 1\r\nRetry-After: 30\r\n")
    free = say()
    bench = RelayBench(loop, [resting, free])
    answers = [status_of(bench.call("/safe/")) for _ in range(12)]
    assert answers == [200] * 12
    assert len(resting.requests) <= 1


@pytest.mark.parametrize("value", ["-3", "inf", "nan", "0"])
def test_rest_that_cannot_be_meant_is_ignored(loop: CurlLoop, value: str) -> None:
    endpoint = say(FULL, extra=f"X-Not-Run: 1\r\nRetry-After: {value}\r\n")
    bench = RelayBench(loop, [endpoint])
    bench.call("/once/")
    bench.call("/once/")
    assert len(endpoint.requests) == 2


def test_rest_without_a_refusal_is_ignored(loop: CurlLoop) -> None:
    endpoint = ScriptedEndpoint(
        lambda connection, request: connection.sendall(
            answer(request, "500 Internal Server Error", extra="Retry-After: 30\r\n")
        )
    )
    bench = RelayBench(loop, [endpoint])
    bench.call("/once/")
    bench.call("/once/")
    assert len(endpoint.requests) == 2
