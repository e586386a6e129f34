"""Attempts that a gateway makes for one of another region."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import RequestId
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.peer_sync import PeerSync
from primroseferry_relay.control.watch_duty import WatchDuty
from primroseferry_relay.forwarding.hop import HOP_HEADER
from primroseferry_relay.forwarding.hop import HopOrder
from primroseferry_relay.forwarding.hop import decode_hop
from primroseferry_relay.forwarding.hop_server import HopServer
from primroseferry_relay.ingress.listener import Listener

from .relay_bench import LIMITS
from .relay_bench import NORTH
from .relay_bench import RelayBench
from .relay_bench import TestDialect
from .relay_bench import read_all
from .relay_bench import request_bytes
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .scripted_endpoint import reset
from .test_route_table import SERVICE

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

INCARNATION = IncarnationId("this-run")
ORDER = HopOrder(
    hop_id="h1",
    to_incarnation=INCARNATION,
    entry_region=RegionId("south"),
    request_id=RequestId("r1"),
    service=SERVICE.name,
    deadline_ms=1_000,
    priority=3,
    is_stream=False,
    is_repeatable=False,
    last_event_id="",
    excluded=(),
)


def say_done() -> ScriptedEndpoint:
    def script(connection: socket.socket, request: Received) -> None:
        connection.sendall(answer(request))

    return ScriptedEndpoint(script)


def hop_listener(loop: CurlLoop, *endpoints: ScriptedEndpoint) -> Listener:
    """Return a listener of a hop server before some endpoints."""
    bench = RelayBench(loop, endpoints)
    sync = PeerSync(loop, bench.peers, ControlState(lambda _item: None), WatchDuty(bench.peers))
    server = HopServer(
        NORTH, INCARNATION, loop, TestDialect(), lambda: bench.table, bench.local, sync
    )
    listener = Listener("hops", "127.0.0.1", 0, server.serve, lambda: LIMITS, loop, 8)
    listener.start()
    return listener


def send(bench: RelayBench, listener: Listener, order: HopOrder, path: str = "/once/") -> bytes:
    bench.listener = listener
    with bench.connect() as connection:
        headers = f"{HOP_HEADER}: {order.encode()}\r\nConnection: close\r\n"
        connection.sendall(request_bytes(path, "POST", headers, b"x"))
        return read_all(connection)


def test_order_survives_its_encoding() -> None:
    assert decode_hop(ORDER.encode()) == ORDER
    assert decode_hop("{}") is None
    assert decode_hop("[") is None


def test_order_is_run_once(loop: CurlLoop) -> None:
    endpoint = say_done()
    listener = hop_listener(loop, endpoint)
    bench = RelayBench(loop, [])
    assert b"X-Primroseferry-Outcome: answered" in send(bench, listener, ORDER)
    assert b"X-Primroseferry-Outcome: lost" in send(bench, listener, ORDER)
    assert len(endpoint.requests) == 1


def test_order_for_an_earlier_run_of_the_gateway_is_not_run(loop: CurlLoop) -> None:
    """libcurl sends a request again when a kept connection dies, also to a gateway that restarted.

    The restarted one knows nothing of what its last run did, so it must not run the copy.
    """
    endpoint = say_done()
    listener = hop_listener(loop, endpoint)
    order = replace(ORDER, to_incarnation=IncarnationId("last-run"))
    assert b"X-Primroseferry-Outcome: lost" in send(RelayBench(loop, []), listener, order)
    assert endpoint.requests == []


def test_request_without_an_order_is_refused(loop: CurlLoop) -> None:
    endpoint = say_done()
    listener = hop_listener(loop, endpoint)
    bench = RelayBench(loop, [])
    bench.listener = listener
    assert b"HTTP/1.1 400" in bench.call("/once/", "POST", body=b"x")
    assert endpoint.requests == []


def test_order_for_a_region_that_the_route_does_not_permit_is_refused(loop: CurlLoop) -> None:
    endpoint = say_done()
    bench = RelayBench(loop, [endpoint])
    assert bench.table is not None
    route = bench.table.by_host["a.example"]["/once/"]
    bound = replace(route, home_regions=frozenset({RegionId("south")}))
    table = replace(bench.table, by_host={"a.example": {"/once/": bound}})
    sync = PeerSync(loop, bench.peers, ControlState(lambda _item: None), WatchDuty(bench.peers))
    server = HopServer(NORTH, INCARNATION, loop, TestDialect(), lambda: table, bench.local, sync)
    listener = Listener("hops", "127.0.0.1", 0, server.serve, lambda: LIMITS, loop, 8)
    listener.start()
    assert b"X-Primroseferry-Outcome: refused" in send(bench, listener, ORDER)
    assert endpoint.requests == []


def test_deadly_request_of_another_region_is_given_no_third_endpoint(loop: CurlLoop) -> None:
    def mortal() -> ScriptedEndpoint:
        def script(connection: socket.socket, _request: Received) -> None:
            endpoint.close()
            reset(connection)

        endpoint = ScriptedEndpoint(script)
        return endpoint

    endpoints = [mortal() for _ in range(4)]
    listener = hop_listener(loop, *endpoints)
    bench = RelayBench(loop, [])
    for number in range(4):
        send(bench, listener, replace(ORDER, hop_id=f"h{number}"))
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2
