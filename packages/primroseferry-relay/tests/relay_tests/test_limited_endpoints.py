"""What a gateway does with endpoints that named a request limit."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_policy.prompt import Generation
from primroseferry_relay.membership.request_permits import PermitOutcome
from primroseferry_relay.request_run import MAX_TRIES

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

LIMITED = "X-Limit: 1.0\r\n"
OVERLOADED = "503 Service Unavailable"


def _limited_stream_endpoint() -> ScriptedEndpoint:
    def script(connection: socket.socket, request: Received) -> None:
        head = stream_head(request).replace(b"\r\n\r\n", b"\r\nX-Limit: 1.0\r\n\r\n")
        connection.sendall(head + chunk(b"id: 1\ndata: a\n\n"))
        time.sleep(0.3)
        connection.sendall(b"0\r\n\r\n")

    return ScriptedEndpoint(script)


def _limit_of(bench: RelayHarness) -> float | None:
    entry, *_ = bench.catalog.entries().values()
    return bench.policy.request_limits.limit_per_s(entry.run)


def test_endpoint_gets_no_more_requests_than_the_limit_that_it_named(loop: CurlLoop) -> None:
    endpoint = fixed_answer_endpoint(extra=LIMITED)
    bench = RelayHarness(loop, [endpoint])
    started_s = time.monotonic()
    while time.monotonic() - started_s < 4.0:
        bench.call("/safe/")
    # The first request was sent before the limit was known.
    assert 2 <= len(endpoint.requests) <= 1 + 4


def test_request_above_the_limit_is_rejected_at_once_as_not_run(loop: CurlLoop) -> None:
    endpoint = fixed_answer_endpoint(extra=LIMITED)
    bench = RelayHarness(loop, [endpoint])
    bench.call("/once/")
    started_s = time.monotonic()
    data = bench.call("/once/")
    assert time.monotonic() - started_s < 0.5
    problem = json.loads(body_of(data))
    assert status_of(data) == 503
    assert problem["ran"] == "no"
    assert problem["retry_after_s"] > 0
    assert "limit" in problem["detail"]
    assert len(endpoint.requests) == 1


def test_other_endpoints_take_the_requests_above_a_limit(loop: CurlLoop) -> None:
    limited = fixed_answer_endpoint(extra=LIMITED)
    bench = RelayHarness(loop, [limited, fixed_answer_endpoint()])
    assert [status_of(bench.call("/safe/")) for _ in range(30)] == [200] * 30
    assert len(limited.requests) <= 1 + 1


def test_less_urgent_request_that_is_denied_does_not_block_urgent_ones(loop: CurlLoop) -> None:
    bench = RelayHarness(loop, [fixed_answer_endpoint(extra="X-Limit: 0.01\r\n")])
    bench.end_discovery()
    bench.call("/safe/")
    for _ in range(3):
        bench.call("/later/")
    # After the first one was denied, the others do not ask.
    assert bench.permits.outcomes()[PermitOutcome.DENIED] == 1
    bench.call("/safe/")
    assert bench.permits.outcomes()[PermitOutcome.DENIED] == 2


def test_request_that_many_limited_endpoints_deny_reaches_one_without_a_limit(
    loop: CurlLoop,
) -> None:
    limited = [fixed_answer_endpoint(extra=LIMITED) for _ in range(MAX_TRIES + 1)]
    bench = RelayHarness(loop, [*limited, fixed_answer_endpoint()])
    *runs, busy = [entry.run for entry in bench.catalog.entries().values()]
    limits = bench.policy.request_limits
    for run in runs:
        limits.note_answer(run, 1.0, limits.now_s())
    for _ in range(3):
        bench.policy.loads.begin(busy.endpoint, Generation(), 0, 100.0)
    assert status_of(bench.call("/safe/")) == 200
    assert not any(endpoint.requests for endpoint in limited)


@pytest.mark.parametrize(
    ("path", "endpoint"),
    [
        ("/safe/", fixed_answer_endpoint(extra=LIMITED)),
        ("/once/", fixed_answer_endpoint(OVERLOADED, extra=LIMITED + "X-Not-Run: 1\r\n")),
        ("/safe/", fixed_answer_endpoint("500 Internal Server Error", extra=LIMITED)),
        ("/stream/", _limited_stream_endpoint()),
    ],
)
def test_limit_is_read_from_every_kind_of_answer(
    loop: CurlLoop, path: str, endpoint: ScriptedEndpoint
) -> None:
    bench = RelayHarness(loop, [endpoint])
    bench.call(path)
    assert _limit_of(bench) == 1.0
    assert bench.limit_reports == 1


def test_limit_named_by_the_head_of_a_stream_applies_before_its_end(loop: CurlLoop) -> None:
    endpoint = _limited_stream_endpoint()
    bench = RelayHarness(loop, [endpoint])
    with bench.connect() as connection:
        connection.sendall(b"GET /stream/ HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n\r\n")
        assert connection.recv(65_536)
        assert _limit_of(bench) == 1.0


def test_answer_of_another_endpoint_at_the_address_names_no_limit(loop: CurlLoop) -> None:
    other = fixed_answer_endpoint("421 Misdirected Request", extra=LIMITED + "X-Not-Run: 1\r\n")
    bench = RelayHarness(loop, [other])
    bench.call("/once/")
    assert _limit_of(bench) is None


def test_unsigned_answer_lifts_no_limit(loop: CurlLoop) -> None:
    answers = [answer_with_limit, unsigned_answer]
    endpoint = ScriptedEndpoint(
        lambda connection, request: answers[min(1, len(endpoint.requests) - 1)](connection, request)
    )
    bench = RelayHarness(loop, [endpoint])
    bench.call("/safe/")
    started_s = time.monotonic()
    while len(endpoint.requests) < 2 and time.monotonic() - started_s < 8.0:
        time.sleep(0.2)
        bench.call("/safe/")
    assert len(endpoint.requests) >= 2
    assert _limit_of(bench) == 1.0


def answer_with_limit(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request, extra=LIMITED))


def unsigned_answer(connection: socket.socket, request: Received) -> None:
    connection.sendall(answer(request).replace(b"X-Signed", b"X-Other"))
