"""Selects the gateways of a region that watch the store for the others.

Calls to the store are expensive, so a few gateways of each region watch it and the others receive
changes from them. Every gateway computes the selection from the region's roster. While no watcher
gets an answer, a few substitutes also try, a different group each second. A store that rejects some
gateways is thus still reached by one that it accepts, and the number of calls grows with time, not
with the number of gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order

if TYPE_CHECKING:
    from ..membership.peer_table import PeerTable
    from .store_watch import StoreWatch

WATCHERS_PER_REGION = 2
# Each watch call ends within ``WATCH_TIMEOUT_MS``, so watchers whose last answer is older than this
# cannot reach the store.
MAX_WATCH_AGE_MS = 4_000.0
# How long one group of substitutes tries before the next group takes over.
SUBSTITUTE_TURN_MS = 1_000.0
_DUTY_KEY = "store-watch"


class WatchDuty:
    """Decides whether this gateway watches the store, from the region's roster."""

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers

    def is_on_duty(self) -> bool:
        """Return whether this gateway is a watcher of its region or a substitute at this time."""
        own = str(self._peers.own_instance)
        names = [str(peer.instance) for peer in self._peers.live_in(self._peers.own_region)]
        order = rendezvous_order(_DUTY_KEY, [*names, own])
        rank = order.index(own)
        if rank < WATCHERS_PER_REGION:
            return True
        overdue_ms = min(self._peers.store_age_ms(), 1e9) - MAX_WATCH_AGE_MS
        if overdue_ms <= 0:
            return False
        turn = int(overdue_ms / SUBSTITUTE_TURN_MS)
        substitutes = len(order) - WATCHERS_PER_REGION
        first = turn * WATCHERS_PER_REGION % substitutes
        return (rank - WATCHERS_PER_REGION - first) % substitutes < WATCHERS_PER_REGION


def oldest_answer_age_ms(watches: list[StoreWatch]) -> float:
    """Return the time in ms since the last answer of the stalest watch, 0 without watches."""
    return max((watch.age_ms for watch in watches), default=0.0)
