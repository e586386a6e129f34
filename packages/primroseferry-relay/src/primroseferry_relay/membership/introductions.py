"""Introductions of gateways of the same region that do not know each other yet.

A gateway whose region has no live seed contacts gateways of other regions; each of those refers it
to the other gateways of its region that did the same. Members of one region that follow different
collectors discover each other by the rosters that they request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId

    from .peer import Peer

# How long to remember a gateway that is known only from its own update or from another collector's
# roster.
RETENTION_S = 5.0
MAX_REFERRED = 8


class Introductions:
    """Unknown peers of the own region, and gateways of other regions that contacted this one."""

    def __init__(self) -> None:
        self._unknown_peers: dict[InstanceId, tuple[Peer, float]] = {}
        self._remote_requesters: dict[str, tuple[RegionId, float]] = {}

    def add_unknown_peers(self, peers: Iterable[Peer], now_s: float) -> None:
        """Add gateways of the own region that another collector's roster contains."""
        for peer in peers:
            self._unknown_peers[peer.instance] = (peer, now_s + RETENTION_S)

    def unknown_peers(self, now_s: float) -> list[Peer]:
        """Return the peers added within the last ``RETENTION_S``."""
        self._unknown_peers = {
            name: (peer, until_s)
            for name, (peer, until_s) in self._unknown_peers.items()
            if until_s >= now_s
        }
        return [peer for peer, _ in self._unknown_peers.values()]

    def refer(self, peer: Peer, known: Iterable[str], now_s: float) -> tuple[str, ...]:
        """Record a gateway of another region; return addresses of others of its region.

        ``known`` are the addresses of that region's live gateways.
        """
        self._remote_requesters = {
            address: (region, until_s)
            for address, (region, until_s) in self._remote_requesters.items()
            if until_s > now_s
        }
        self._remote_requesters[peer.address.report] = (peer.region, now_s + RETENTION_S)
        requesters = [
            address
            for address, (region, _) in self._remote_requesters.items()
            if region == peer.region
        ]
        return tuple(sorted({*known, *requesters} - {peer.address.report})[:MAX_REFERRED])
