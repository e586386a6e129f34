"""Sample gateways and rosters for tests."""

from __future__ import annotations

from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_relay.membership.collector import roster_version
from primroseferry_relay.membership.datagrams import Roster
from primroseferry_relay.membership.peer import GatewayState
from primroseferry_relay.membership.peer import Peer
from primroseferry_relay.membership.peer import PeerAddress

NORTH = RegionId("north")
SOUTH = RegionId("south")
PEER = Peer(
    InstanceId("g-2"),
    IncarnationId("one"),
    NORTH,
    FailureDomainId("north-a"),
    PeerAddress("10.0.0.2:80", "10.0.0.2:81", "10.0.0.2:82"),
    GatewayState.READY,
)


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now_s = 10.0

    def __call__(self) -> float:
        return self.now_s


def peer_of(name: str, region: RegionId, state: GatewayState = GatewayState.READY) -> Peer:
    """Return a gateway of a region."""
    address = PeerAddress(f"{name}:80", f"{name}:81", f"{name}:82")
    return Peer(
        InstanceId(name),
        IncarnationId("one"),
        region,
        FailureDomainId(f"{region}-a"),
        address,
        state,
    )


def roster_of(region: RegionId, *peers: Peer) -> Roster:
    """Return a roster as built by a region's collector."""
    return Roster(region, roster_version(peers), peers, InstanceId("collector"))
