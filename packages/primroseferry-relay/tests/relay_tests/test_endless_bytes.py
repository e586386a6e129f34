"""Endpoints that send bytes without end that are not a valid answer."""

from __future__ import annotations

import itertools
import resource
import threading
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import START
from primroseferry_relay.control.peer_sync import PeerSync
from primroseferry_relay.control.watch_duty import WatchDuty
from primroseferry_relay.forwarding.hop import OUTCOME_HEADER

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import reset
from .scripted_endpoint import stream_head
from .test_partition import add_peers
from .test_partition import closed_endpoint
from .test_partition import wait_until
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

    from primroseferry_transport.curl_loop import CurlLoop

BLOCK = b"x" * 65_536
# An endless flood is aborted long before this much of it is buffered.
MAX_GROWTH_KB = 150_000
MAX_FLOOD_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nX-Signed: yes\r\nX-Id: r1\r\n"


def _flood(first: bytes, blocks: Iterable[bytes], pause_s: float = 0.0) -> ScriptedEndpoint:
    """Return an endpoint that sends ``first`` and then ``blocks``.

    It stops when the gateway closes the connection, at the latest after ``MAX_FLOOD_S``.
    """

    def script(connection: socket.socket, request: Received) -> None:
        until_s = time.monotonic() + MAX_FLOOD_S
        try:
            connection.sendall(first)
            for block in blocks:
                connection.sendall(block)
                if time.monotonic() > until_s:
                    return
                time.sleep(pause_s)
        except OSError:
            request.closed.set()

    return ScriptedEndpoint(script)


FLOODS = {
    "no-answer": lambda: _flood(b"", itertools.repeat(BLOCK)),
    "status-line": lambda: _flood(b"HTTP/1.1 200 ", itertools.repeat(BLOCK)),
    "one-header": lambda: _flood(HEAD + b"X-Long: ", itertools.repeat(BLOCK)),
    "headers": lambda: _flood(HEAD, itertools.repeat(b"X-More: y\r\n" * 500)),
    "interim": lambda: _flood(b"", itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 500)),
    "body": lambda: _flood(HEAD + b"\r\n", itertools.repeat(BLOCK)),
    "chunk-extension": lambda: _flood(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;", itertools.repeat(BLOCK)
    ),
    "chunk-trailers": lambda: _flood(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        itertools.repeat(b"X-More: y\r\n" * 500),
    ),
    "trickle": lambda: _flood(HEAD, itertools.repeat(b"X"), pause_s=0.02),
}


def _peak_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


@pytest.mark.parametrize("path", ["/once/", "/stream/", "/safe/"])
@pytest.mark.parametrize("kind", list(FLOODS))
def test_flood_is_bounded_and_is_not_an_answer(loop: CurlLoop, kind: str, path: str) -> None:
    endpoint = FLOODS[kind]()
    harness = RelayHarness(loop, [endpoint])
    before_kb = _peak_kb()
    started_s = time.monotonic()
    data = harness.call(path)
    # The time limit of the route is 1.5 s, 3 s for streams, and the endpoint is tried only once.
    assert time.monotonic() - started_s < 4.0
    assert _peak_kb() - before_kb < MAX_GROWTH_KB
    # The request may have run, so no status may deny that. A 200 would be wrong as well.
    if data:
        assert status_of(data) in (502, 504)
    if endpoint.requests:
        assert endpoint.requests[0].closed.wait(3)


def test_endless_event_is_bounded_and_not_reported_as_complete(loop: CurlLoop) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(stream_head(request))
        try:
            for _ in range(2_000):
                connection.sendall(b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK))
        except OSError:
            request.closed.set()

    endpoint = ScriptedEndpoint(script)
    harness = RelayHarness(loop, [endpoint])
    started_s = time.monotonic()
    data = harness.call("/stream/")
    assert time.monotonic() - started_s < 2.5
    assert not data or status_of(data) in (502, 504)
    assert endpoint.requests[0].closed.wait(3)


@pytest.mark.parametrize("kind", ["body", "headers", "chunk-extension"])
def test_other_requests_are_served_beside_a_flood(loop: CurlLoop, kind: str) -> None:
    flooding = FLOODS[kind]()
    healthy = fixed_answer_endpoint()
    flooded_harness = RelayHarness(loop, [flooding])
    harness = RelayHarness(loop, [healthy])
    threads = [threading.Thread(target=flooded_harness.call, args=("/once/",)) for _ in range(4)]
    for thread in threads:
        thread.start()
    try:
        for _ in range(10):
            assert status_of(harness.call("/safe/")) == 200
    finally:
        for thread in threads:
            thread.join()


HOP_HEAD = HEAD + f"{OUTCOME_HEADER}: answered\r\n".encode()
HOP_FLOODS = {
    "headers": (HOP_HEAD, b"X-More: y\r\n" * 500),
    "body": (HOP_HEAD + b"\r\n", BLOCK),
    "body-with-length": (HOP_HEAD + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "chunk-extension": (HOP_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;", BLOCK),
    "no-outcome": (HEAD + b"\r\n", BLOCK),
}


@pytest.mark.parametrize("path", ["/once/", "/stream/"])
@pytest.mark.parametrize("kind", list(HOP_FLOODS))
def test_flood_of_another_gateway_is_bounded_and_is_not_an_answer(
    loop: CurlLoop, kind: str, path: str
) -> None:
    first, block = HOP_FLOODS[kind]
    gateway = _flood(first, itertools.repeat(block))
    harness = RelayHarness(loop, [closed_endpoint()])
    add_peers(harness, gateway)
    before_kb = _peak_kb()
    data = harness.call(path)
    assert gateway.requests[0].closed.wait(3)
    assert _peak_kb() - before_kb < MAX_GROWTH_KB
    assert not data or status_of(data) in (502, 504)


PING_BLOCK_PAUSE_S = 0.01
MAX_PING_ANSWER_BYTES = 2_000_000


def test_flood_in_answer_to_a_ping_is_ended_at_once(loop: CurlLoop) -> None:
    sent_bytes: list[int] = []

    def script(connection: socket.socket, request: Received) -> None:
        if not request.header("x-endpoint").startswith("not-"):
            reset(connection)
            return
        sent_bytes.append(0)
        connection.sendall(HEAD + b"\r\n")
        until_s = time.monotonic() + MAX_FLOOD_S
        while time.monotonic() < until_s:
            connection.sendall(BLOCK)
            sent_bytes[-1] += len(BLOCK)
            time.sleep(PING_BLOCK_PAUSE_S)

    harness = RelayHarness(loop, [ScriptedEndpoint(script)])
    for _ in range(3):
        harness.call("/safe/")
    assert wait_until(lambda: len(sent_bytes) >= 2, harness)
    assert sent_bytes[0] < MAX_PING_ANSWER_BYTES
    assert harness.reach.unreachable() == ["e-0"]


NESTED_JSON = b"[" * 200_000
CONTROL_FLOODS = {
    "headers": (HEAD, b"X-More: y\r\n" * 500),
    "body": (HEAD + b"\r\n", BLOCK),
    "nested": (HEAD + b"Content-Length: %d\r\n\r\n" % len(NESTED_JSON) + NESTED_JSON, b""),
}


@pytest.mark.parametrize("kind", list(CONTROL_FLOODS))
def test_flood_in_answer_to_a_fetch_of_control_items_changes_nothing(
    loop: CurlLoop, kind: str
) -> None:
    first, block = CONTROL_FLOODS[kind]
    peer = _flood(first, itertools.repeat(block, 100_000 if block else 0))
    peers = RelayHarness(loop, []).peers
    state = ControlState(lambda _item: None)
    sync = PeerSync(loop, peers, state, WatchDuty(peers))
    assert sync._fetch_lock.acquire(blocking=False)
    sync._fetch(peer.address, START)
    assert state.position == START
    assert loop.buffers.total_bytes == 0
    assert sync._fetch_lock.acquire(blocking=False)
