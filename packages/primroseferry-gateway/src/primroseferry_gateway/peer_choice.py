"""Which gateway of another region a request is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_policy.breaker import Breakers

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_peers.exchanger import PeerAddress

    from .fleet import FleetView

PEERS_TO_TRY = 2


class PeerChoice:
    """Orders the gateways of a region: those that failed last come last.

    The instance list lags, so a gateway that is gone may be listed for a while. One failure is
    enough to prefer another gateway, and costs nothing where there is none.
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet
        self._circuits = Breakers(failures_to_open=1)

    def ordered(self, region: RegionId) -> list[PeerAddress]:
        """Return the gateways to try, in this order."""
        peers = self._fleet.remote_peers(region)
        peers.sort(key=lambda peer: not self._circuits.permits(_circuit(peer)))
        return peers[:PEERS_TO_TRY]

    def succeed(self, peer: PeerAddress) -> None:
        """Note that the gateway answered, if only with a problem."""
        self._circuits.succeed(_circuit(peer))

    def fail(self, peer: PeerAddress) -> None:
        """Note that the gateway could not be reached or broke off."""
        self._circuits.fail(_circuit(peer))


def _circuit(peer: PeerAddress) -> EndpointId:
    return EndpointId(f"peer/{peer.instance}/{peer.address}")
