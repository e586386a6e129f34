"""Gateways of one region that do not know each other yet, and who brings them together.

A gateway whose region has no live seed asks gateways of other regions; each of those names to it
the others of its region that asked there too. Members of one region that follow different
collectors learn of each other by the rosters that they are sent on request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId

    from .peer import Peer

# How long a gateway is remembered that is known by its own word or by one roster only.
REMEMBERED_S = 5.0
MAX_REFERRED = 8


class Introductions:
    """Strangers of the own region, and guests of other regions that asked here."""

    def __init__(self) -> None:
        self._strangers: dict[InstanceId, tuple[Peer, float]] = {}
        self._guests: dict[str, tuple[RegionId, float]] = {}

    def note_strangers(self, peers: Iterable[Peer], now_s: float) -> None:
        """Note gateways of the own region that another collector's roster names."""
        for peer in peers:
            self._strangers[peer.instance] = (peer, now_s + REMEMBERED_S)

    def strangers(self, now_s: float) -> list[Peer]:
        """Return the strangers that were named lately."""
        self._strangers = {
            name: (peer, until_s)
            for name, (peer, until_s) in self._strangers.items()
            if until_s >= now_s
        }
        return [peer for peer, _ in self._strangers.values()]

    def refer(self, peer: Peer, known: Iterable[str], now_s: float) -> tuple[str, ...]:
        """Note a guest and return where others of its region are reached."""
        self._guests = {
            address: (region, until_s)
            for address, (region, until_s) in self._guests.items()
            if until_s > now_s
        }
        self._guests[peer.address.report] = (peer.region, now_s + REMEMBERED_S)
        guests = [address for address, (region, _) in self._guests.items() if region == peer.region]
        return tuple(sorted({*known, *guests} - {peer.address.report})[:MAX_REFERRED])
