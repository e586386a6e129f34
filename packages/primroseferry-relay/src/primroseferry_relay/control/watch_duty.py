"""Which gateways of a region watch the store for the others.

A call on the store has its price, so a few gateways of each region watch it and the others hear of
changes from them. Every gateway works this out from the reports that it hears. Views that differ
for a moment cost a few calls, or a moment in which the regions' reports bring the change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order

if TYPE_CHECKING:
    from ..membership.peer_table import PeerTable
    from .store_watch import StoreWatch

WATCHERS_PER_REGION = 2
# A watch answers every few seconds; a peer whose last answer is older does not reach the store.
MAX_WATCH_AGE_MS = 4_000.0
_DUTY_KEY = "store-watch"


class WatchDuty:
    """Tells whether this gateway is to watch the store now."""

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers

    def is_on_duty(self) -> bool:
        """Whether this gateway is one of its region's watchers, or none of them gets through."""
        own_region = self._peers.own_region
        reports = {
            str(peer.instance): peer for peer in self._peers.live() if peer.region == own_region
        }
        names = [*reports, str(self._peers.own_instance)]
        chosen = rendezvous_order(_DUTY_KEY, names)[:WATCHERS_PER_REGION]
        if self._peers.own_instance in chosen:
            return True
        return not any(
            reports[name].store_age_ms <= MAX_WATCH_AGE_MS for name in chosen if name in reports
        )


def oldest_answer_ms(watches: list[StoreWatch]) -> float:
    """Return how long ago the watch that was answered last of all was answered."""
    return max((watch.age_ms for watch in watches), default=0.0)
