"""State exchange between gateways over real sockets."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.events import Event
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import InstanceId
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.endpoints.endpoint import EndpointRun
from primroseferry_relay.endpoints.endpoint_point import endpoint_hash
from primroseferry_relay.endpoints.endpoint_point import run_hash
from primroseferry_relay.endpoints.request_limits import RequestLimits
from primroseferry_relay.membership.codec import decode
from primroseferry_relay.membership.codec import encode
from primroseferry_relay.membership.datagrams import PermitReply
from primroseferry_relay.membership.datagrams import PermitRequest
from primroseferry_relay.membership.exchange import LocalState
from primroseferry_relay.membership.peer import ControlStatus
from primroseferry_relay.membership.peer import GatewayState
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.membership.permit_issuer import IssuerRole
from primroseferry_relay.membership.reporter import Reporter
from primroseferry_relay.membership.request_permits import RequestPermits
from primroseferry_relay.membership.stream_sync import StreamSync
from primroseferry_relay.relay_policy import PlacedRequest
from primroseferry_relay.streams.stream_origins import StreamOrigins

from .fleet_simulation import RecordingFeed
from .peer_samples import NORTH
from .peer_samples import SOUTH
from .peer_samples import peer_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RegionId

ENGINE = EndpointId("e-1")
SHARED = PromptPart(PartId("ab12"), 6_300)


@dataclass
class Gateway:
    """A gateway reduced to its state exchange."""

    peers: PeerTable
    feed: RecordingFeed
    reporter: Reporter
    loads: dict[EndpointId, OpenWork] = field(default_factory=dict)


def start_gateway(name: str, region: RegionId) -> Gateway:
    peers = PeerTable(InstanceId(name), region)
    feed = RecordingFeed()
    loads: dict[EndpointId, OpenWork] = {}

    def local_state(address: str) -> LocalState:
        own = peer_of(name, region, peers.own_state)
        own = replace(own, address=replace(own.address, report=address))
        return LocalState(own, ControlStatus(1, 10.0), dict(loads))

    peers.own_state = GatewayState.READY
    permits = RequestPermits(RequestLimits(), peers)
    streams = StreamSync(StreamOrigins(), peers)
    reporter = Reporter(
        "127.0.0.1", 0, peers, local_state, dict, feed, feed.quarantine, permits, streams
    )
    return Gateway(peers, feed, reporter, loads)


def wait_until(condition: Callable[[], bool]) -> None:
    limit_s = time.monotonic() + 8
    while not condition() and time.monotonic() < limit_s:
        time.sleep(0.02)
    assert condition()


def start_fleet() -> tuple[list[Gateway], list[Gateway]]:
    """Start three gateways in one region and two in another; the first of each is a seed."""
    north = [start_gateway(f"n-{number}", NORTH) for number in range(3)]
    south = [start_gateway(f"s-{number}", SOUTH) for number in range(2)]
    seeds = [north[0].reporter.address, south[0].reporter.address]
    for gateway in (*north, *south):
        gateway.peers.add_candidates(seeds)
        gateway.reporter.start()
    wait_until(lambda: all(gateway.peers.live_count() == 5 for gateway in (*north, *south)))
    return north, south


def test_gateways_find_each_other_by_their_seeds() -> None:
    north, south = start_fleet()
    assert north[1].peers.ready_in(SOUTH) == ["s-0", "s-1"]
    assert sorted(south[1].peers.ready_in(SOUTH)) == ["s-0", "s-1"]


def test_placement_is_known_in_the_region_and_its_parts_in_others() -> None:
    north, south = start_fleet()
    placed = PlacedRequest(
        ENGINE, OpenWork(1, 912, 8_960), (SHARED, PromptPart(PartId("own"), 2_900))
    )
    engine_hash = endpoint_hash(ENGINE)
    # Members do not accept digests of a new collector before it is warm.
    time.sleep(1.5)
    north[0].loads[ENGINE] = placed.work
    north[0].reporter.send_placement(placed)
    local_others = north[1:]
    wait_until(
        lambda: all(gateway.feed.loads.get(engine_hash) == placed.work for gateway in local_others)
    )
    assert all((engine_hash, placed.parts) in gateway.feed.parts for gateway in local_others)
    wait_until(lambda: all(gateway.feed.remote_parts for gateway in south))


def test_draining_gateway_is_known_at_once() -> None:
    north, south = start_fleet()
    north[2].peers.own_state = GatewayState.DRAINING
    north[2].reporter.send_state()
    wait_until(lambda: "n-2" not in north[0].peers.ready_in(NORTH))
    wait_until(lambda: "n-2" not in south[1].peers.ready_in(NORTH))


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:" + "9" * 5_000, "gateway.invalid:80", "", ":"],
)
def test_datagram_that_asks_for_a_reply_to_an_invalid_address_is_dropped(
    address: str, caplog: pytest.LogCaptureFixture
) -> None:
    gateway = start_gateway("n-0", NORTH)
    gateway.reporter.start()
    run = run_hash(EndpointRun(ENGINE, 1, "10.0.0.1:80"))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        sender.settimeout(5)
        own_address = f"127.0.0.1:{sender.getsockname()[1]}"
        host, _, port = gateway.reporter.address.rpartition(":")
        for reply_to in (address, address, own_address):
            request = PermitRequest(reply_to, 7, IssuerRole.PRIMARY, True, run, 1.0)
            sender.sendto(encode(request), (host, int(port)))
        reply = decode(sender.recv(65_536))
    assert isinstance(reply, PermitReply)
    messages = [record.getMessage() for record in caplog.records]
    assert Event.BACKGROUND_TASK_FAILED.sentence not in messages
    assert messages.count(Event.PEER_EXCHANGE_FAILED.sentence) == 1
