"""An endpoint that takes requests and answers none of them soon gets no more of them."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import pytest

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .test_partition import add_peers
from .test_partition import remote_gateway
from .test_partition import wait_until
from .test_relay import fixed_answer_endpoint

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_transport.curl_loop import CurlLoop

SILENT_S = 6.0
LONG_WORK_S = 1.2
# Time within which a gateway knows that an endpoint is silent: a suspicious wait, a ping's limit,
# and ticks.
KNOWN_WITHIN_S = 1.5


def is_ping(request: Received) -> bool:
    return request.header("x-endpoint").startswith("not-")


def pings_of(endpoint: ScriptedEndpoint) -> list[Received]:
    return [request for request in endpoint.requests if is_ping(request)]


def runs_of(endpoint: ScriptedEndpoint) -> list[Received]:
    return [request for request in endpoint.requests if not is_ping(request)]


def silent_endpoint(is_silent: Callable[[], bool] = lambda: True) -> ScriptedEndpoint:
    """Return an endpoint that takes all requests, pings too, and answers none while silent."""

    def script(connection: socket.socket, request: Received) -> None:
        if is_silent():
            time.sleep(SILENT_S)
        else:
            connection.sendall(answer(request))

    return ScriptedEndpoint(script)


def slow_endpoint() -> ScriptedEndpoint:
    """Return an endpoint that works long on each request and answers pings at once."""

    def script(connection: socket.socket, request: Received) -> None:
        if not is_ping(request):
            time.sleep(LONG_WORK_S)
        connection.sendall(answer(request))

    return ScriptedEndpoint(script)


@pytest.fixture
def ticking() -> Iterator[Callable[[RelayHarness], None]]:
    """Give a function that lets the pings of a relay go on beside the test."""
    is_over = threading.Event()

    def tick(harness: RelayHarness) -> None:
        while not is_over.wait(0.05):
            harness.reach.tick()

    def start(harness: RelayHarness) -> None:
        threading.Thread(target=tick, args=(harness,), daemon=True).start()

    yield start
    is_over.set()


def call_beside(harness: RelayHarness, path: str, headers: str = "") -> threading.Thread:
    thread = threading.Thread(target=harness.call, args=(path, "POST", headers, b"x"), daemon=True)
    thread.start()
    return thread


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
def test_silent_endpoint_gets_no_more_requests_once_it_answers_no_ping(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None], path: str
) -> None:
    endpoint = silent_endpoint()
    harness = RelayHarness(loop, [endpoint])
    add_peers(harness, remote_gateway("answered"))
    ticking(harness)
    first = call_beside(harness, path)
    time.sleep(KNOWN_WITHIN_S)
    answers = [harness.call(path, "POST", body=b"x") for _ in range(3)]
    first.join()
    assert all(b"through another" in data for data in answers)
    assert len(runs_of(endpoint)) == 1


def test_silent_endpoint_is_known_from_requests_that_end_before_a_suspicious_wait(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    endpoint = silent_endpoint()
    harness = RelayHarness(loop, [endpoint])
    add_peers(harness, remote_gateway("answered"))
    ticking(harness)
    harness.call("/once/", "POST", "X-Deadline: 200\r\n", b"x")
    time.sleep(KNOWN_WITHIN_S)
    assert b"through another" in harness.call("/once/", "POST", body=b"x")
    assert len(runs_of(endpoint)) == 1


def test_endpoint_that_speaks_again_gets_requests_again(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    is_silent = True
    endpoint = silent_endpoint(lambda: is_silent)
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    first = call_beside(harness, "/once/")
    is_known = wait_until(lambda: harness.reach.unreachable() == ["e-0"], harness)
    first.join()
    assert is_known
    is_silent = False
    assert wait_until(lambda: harness.reach.unreachable() == [], harness)
    assert b"done" in harness.call("/once/", "POST", body=b"x")


def test_slow_endpoint_answers_the_ping_and_is_not_held_silent(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    endpoint = slow_endpoint()
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    calls = [call_beside(harness, "/once/") for _ in range(3)]
    time.sleep(LONG_WORK_S / 2)
    assert b"done" in harness.call("/once/", "POST", body=b"x")
    for call in calls:
        call.join()
    assert 1 <= len(pings_of(endpoint)) <= 3
    assert harness.reach.unreachable() == []


def test_endpoint_that_answers_others_meanwhile_gets_no_ping(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        if "/once/slow" in request.head:
            time.sleep(LONG_WORK_S)
        connection.sendall(answer(request))

    endpoint = ScriptedEndpoint(script)
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    slow = call_beside(harness, "/once/slow")
    while slow.is_alive():
        assert b"done" in harness.call("/once/", "POST", body=b"x")
        time.sleep(0.05)
    assert pings_of(endpoint) == []


def test_requests_with_tiny_deadlines_are_not_held_against_an_endpoint(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    endpoint = slow_endpoint()
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    for _ in range(8):
        harness.call("/once/", "POST", "X-Deadline: 20\r\n", b"x")
    assert pings_of(endpoint) == []
    assert b"done" in harness.call("/once/", "POST", body=b"x")


def test_ping_is_no_evidence_against_an_endpoint_that_answers_requests_meanwhile(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        if is_ping(request):
            time.sleep(SILENT_S)
        elif "/once/slow" in request.head:
            time.sleep(LONG_WORK_S)
        connection.sendall(answer(request))

    endpoint = ScriptedEndpoint(script)
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    slow = call_beside(harness, "/once/slow")
    wait_until(lambda: pings_of(endpoint) != [], harness)
    assert b"done" in harness.call("/once/", "POST", body=b"x")
    slow.join()
    time.sleep(0.3)
    assert len(pings_of(endpoint)) == 1
    assert harness.reach.unreachable() == []


def test_cost_of_suspicion_is_bounded_by_time_and_not_by_requests(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    endpoint = slow_endpoint()
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    started_s = time.monotonic()
    while time.monotonic() - started_s < 2:
        calls = [call_beside(harness, "/once/", "X-Deadline: 300\r\n") for _ in range(4)]
        for call in calls:
            call.join()
    assert len(pings_of(endpoint)) <= 6


def test_endpoint_that_answers_gets_no_ping(
    loop: CurlLoop, ticking: Callable[[RelayHarness], None]
) -> None:
    endpoint = fixed_answer_endpoint()
    harness = RelayHarness(loop, [endpoint])
    ticking(harness)
    for _ in range(20):
        harness.call("/once/", "POST", body=b"x")
    time.sleep(0.6)
    assert pings_of(endpoint) == []
