from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_relay.ingress.directory import Directory
from primroseferry_relay.ingress.directory import DirectoryQuery
from primroseferry_relay.membership.peer import GatewayState
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.messages import json_answer
from primroseferry_relay.routes.route_table import build_route_table

from .peer_samples import NORTH
from .peer_samples import SOUTH
from .peer_samples import peer_of
from .peer_samples import roster_of
from .test_route_table import ROUTE
from .test_route_table import SERVICE

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_relay.messages import CompleteAnswer
    from primroseferry_relay.messages import RelayRequest

OWN = "10.0.0.1:80"
EAST = RegionId("east")


class PlainAdapter:
    ready_path = "/ready"

    def read_query(self, _request: RelayRequest) -> DirectoryQuery | None:
        return None

    def answer(self, addresses: Sequence[str], ttl_s: int) -> CompleteAnswer:
        return json_answer(200, {"addresses": list(addresses), "ttl_s": ttl_s})


def _directory(peers: PeerTable, is_working: Callable[[], bool] = lambda: True) -> Directory:
    bound = replace(ROUTE, prefix="/bound/", home_regions=frozenset({NORTH, EAST}))
    other = replace(ROUTE, prefix="/other/", home_regions=frozenset({SOUTH}))
    bound_too = replace(bound, prefix="/bound-too/")
    table = build_route_table(1, [ROUTE, bound, bound_too, other], [SERVICE])
    return Directory(peers, OWN, PlainAdapter(), lambda: table, is_working)


def _peers(state: GatewayState) -> PeerTable:
    peers = PeerTable(InstanceId("g-1"), NORTH)
    peers.own_state = state
    return peers


def _add_peer(peers: PeerTable, name: str, region: RegionId, state: GatewayState) -> None:
    roster = peers.roster(region)
    members = roster.peers if roster is not None else ()
    peers.put_roster(roster_of(region, *members, peer_of(name, region, state)))


def test_ready_gateways_of_the_own_region_are_listed() -> None:
    peers = _peers(GatewayState.READY)
    _add_peer(peers, "north-2", NORTH, GatewayState.READY)
    _add_peer(peers, "north-3", NORTH, GatewayState.DRAINING)
    _add_peer(peers, "south-1", SOUTH, GatewayState.READY)
    query = DirectoryQuery("a.example", NORTH)
    assert _directory(peers).addresses(query) == [OWN, "north-2:80"]


def test_gateway_whose_threads_fail_does_not_list_itself() -> None:
    peers = _peers(GatewayState.READY)
    _add_peer(peers, "north-2", NORTH, GatewayState.READY)
    query = DirectoryQuery("a.example", NORTH)
    assert _directory(peers, lambda: False).addresses(query) == ["north-2:80"]


def test_without_a_local_gateway_regions_permitted_by_most_routes_are_listed() -> None:
    """The bound routes have no region in common; the region that permits most of them wins."""
    peers = _peers(GatewayState.DRAINING)
    _add_peer(peers, "east-1", EAST, GatewayState.READY)
    _add_peer(peers, "south-1", SOUTH, GatewayState.READY)
    query = DirectoryQuery("a.example", NORTH)
    assert _directory(peers).addresses(query) == ["east-1:80"]


def test_draining_gateways_of_a_restarting_region_precede_a_region_not_permitted() -> None:
    peers = _peers(GatewayState.DRAINING)
    _add_peer(peers, "north-2", NORTH, GatewayState.DRAINING)
    _add_peer(peers, "south-1", SOUTH, GatewayState.READY)
    query = DirectoryQuery("a.example", NORTH)
    assert _directory(peers).addresses(query) == ["north-2:80"]


def test_callers_of_a_lost_region_get_any_ready_gateway() -> None:
    peers = _peers(GatewayState.READY)
    query = DirectoryQuery("a.example", RegionId("west"))
    assert _directory(peers).addresses(query) == [OWN]


def test_starting_gateway_lists_no_gateways() -> None:
    peers = _peers(GatewayState.STARTING)
    _add_peer(peers, "north-2", NORTH, GatewayState.READY)
    assert _directory(peers).addresses(DirectoryQuery("a.example", NORTH)) == []
