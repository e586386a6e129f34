"""Chooses the gateways of a region that check a run of an endpoint that may have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..membership.peer_table import PeerTable
    from .endpoint import EndpointRun
    from .run_doubt import RunDoubt

# Gateways that are told of a loss, tell all others and check the run.
CHECKERS = 2
# The second one checks only if the first has not verified the run within this time.
SECOND_CHECK_S = 0.3
# Without an answer a third gateway checks too, each of the others in turn for this long.
TURN_S = 1.0
# A gateway that knows no other one checks a run itself after this time.
LONE_CHECK_S = 0.3
CHECK_INTERVAL_S = 0.25
# The interval between checks of a run that has been in doubt for ``LONG_DOUBT_S``.
LONG_CHECK_INTERVAL_S = 1.0
LONG_DOUBT_S = 2.0
# The least time between two checks of a run. Many gateways may report one loss.
MIN_CHECK_INTERVAL_S = 0.05
# How old a gateway's place in the order of the region's gateways may be.
RANK_LIFETIME_S = 0.5


class RunCheckers:
    """Which gateways check a run, by rendezvous hashing of its endpoint, and when this one does."""

    def __init__(self, peers: PeerTable, clock_s: Callable[[], float]) -> None:
        self._peers = peers
        self._clock_s = clock_s

    def includes_own(self, run: EndpointRun) -> bool:
        """Whether this gateway is one of the ``CHECKERS`` of a run."""
        return self._peers.own_instance in self._peers.order_by_key(run.endpoint)[:CHECKERS]

    def other_addresses(self, run: EndpointRun) -> list[str]:
        """Return the datagram addresses of a run's ``CHECKERS`` other than this gateway."""
        names = self._peers.order_by_key(run.endpoint)[:CHECKERS]
        addresses = [self._peers.report_address(name) for name in names]
        return [address for address in addresses if address]

    def is_first(self, doubt: RunDoubt) -> bool:
        """Whether this gateway is one of the ``CHECKERS``, by its place of a moment ago."""
        return self._rank(doubt) < CHECKERS

    def is_check_due(self, doubt: RunDoubt) -> bool:
        """Whether this gateway is to check a run now."""
        now_s = self._clock_s()
        if doubt.is_checking or not self._is_turn(doubt, now_s - doubt.since_s):
            return False
        is_long = now_s - doubt.since_s >= LONG_DOUBT_S or doubt.answered_s is not None
        interval_s = LONG_CHECK_INTERVAL_S if is_long else CHECK_INTERVAL_S
        if doubt.lost_s >= doubt.checked_s:
            interval_s = MIN_CHECK_INTERVAL_S
        return now_s - doubt.checked_s >= interval_s

    def _is_turn(self, doubt: RunDoubt, age_s: float) -> bool:
        rank = self._rank(doubt)
        if doubt.gateways == 0:
            return age_s >= LONE_CHECK_S
        if rank < CHECKERS:
            return rank == 0 or age_s >= SECOND_CHECK_S
        others = doubt.gateways - CHECKERS
        turn = int(age_s / TURN_S)
        return others > 0 and turn > 0 and rank == CHECKERS + (turn - 1) % others

    def _rank(self, doubt: RunDoubt) -> int:
        """Return this gateway's place in the order of checkers, 0 if it knows no other one."""
        now_s = self._clock_s()
        if now_s - doubt.ranked_s >= RANK_LIFETIME_S:
            order = self._peers.order_by_key(doubt.run.endpoint)
            own = self._peers.own_instance
            doubt.gateways = len(order)
            doubt.rank = order.index(own) if own in order else len(order) + CHECKERS
            if not order:
                doubt.rank = 0
            doubt.ranked_s = now_s
        return doubt.rank
