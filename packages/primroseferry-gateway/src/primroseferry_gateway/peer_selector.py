"""Selects the gateway of another region that a request is forwarded to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_policy.breaker import Breakers

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_peers.exchanger import PeerAddress

    from .fleet import FleetView

PEERS_TO_TRY = 2


class PeerSelector:
    """Orders the gateways of a region: those that failed recently come last.

    The instance list lags, so a stopped gateway may be listed for a while. One failure is enough to
    prefer another gateway. A failed gateway is still tried if there is no other.
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._circuits = Breakers(failures_to_open=1)

    def ordered(self, region: RegionId) -> list[PeerAddress]:
        """Return at most ``PEERS_TO_TRY`` gateways in the order in which to try them."""
        peers = self._fleet.remote_peers(region)
        peers.sort(key=lambda peer: not self._circuits.permits(_circuit(peer)))
        return peers[:PEERS_TO_TRY]

    def succeed(self, peer: PeerAddress) -> None:
        """Record that the gateway answered, even if with a problem."""
        self._circuits.succeed(_circuit(peer))

    def fail(self, peer: PeerAddress) -> None:
        """Record that the gateway was unreachable or disconnected during an answer."""
        self._circuits.fail(_circuit(peer))


def _circuit(peer: PeerAddress) -> EndpointId:
    return EndpointId(f"peer/{peer.instance}/{peer.address}")
