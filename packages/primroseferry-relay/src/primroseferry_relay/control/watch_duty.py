"""Which gateways of a region watch the store for the others.

A call on the store has its price, so a few gateways of each region watch it and the others hear of
changes from them. Every gateway works this out from the region's roster. While none of the watchers
gets an answer, a few others try too, others again each second, so that a store that turns some
gateways away is reached by one that it serves, and calls grow with time and not with gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order

if TYPE_CHECKING:
    from ..membership.peer_table import PeerTable
    from .store_watch import StoreWatch

WATCHERS_PER_REGION = 2
# A watch answers every few seconds; watchers whose last answer is older do not reach the store.
MAX_WATCH_AGE_MS = 4_000.0
# How long the gateways that try beside the watchers have, before others try.
TRY_MS = 1_000.0
_DUTY_KEY = "store-watch"


class WatchDuty:
    """Tells whether this gateway is to watch the store now."""

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers

    def is_on_duty(self) -> bool:
        """Whether this gateway is one of its region's watchers, or tries in their place."""
        own = str(self._peers.own_instance)
        names = [str(peer.instance) for peer in self._peers.live_in(self._peers.own_region)]
        order = rendezvous_order(_DUTY_KEY, [*names, own])
        rank = order.index(own)
        if rank < WATCHERS_PER_REGION:
            return True
        overdue_ms = min(self._peers.store_age_ms(), 1e9) - MAX_WATCH_AGE_MS
        if overdue_ms <= 0:
            return False
        turn = int(overdue_ms / TRY_MS)
        substitutes = len(order) - WATCHERS_PER_REGION
        first = turn * WATCHERS_PER_REGION % substitutes
        return (rank - WATCHERS_PER_REGION - first) % substitutes < WATCHERS_PER_REGION


def oldest_answer_ms(watches: list[StoreWatch]) -> float:
    """Return how long ago the watch that was answered last of all was answered."""
    return max((watch.age_ms for watch in watches), default=0.0)
