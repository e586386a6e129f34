"""Issues permits to send requests to endpoints that named a limit."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..endpoints.endpoint_point import RunHash

MAX_BUCKETS = 4_096
# The least rate of permits, so that an endpoint that takes nothing is asked now and then whether
# it still does.
MIN_RATE_PER_S = 0.1
# While permits are scarce, gateways ask one after another, somewhat more often than there are
# permits, because a gateway may have no request left at its turn.
TURNS_PER_PERMIT = 1.25
MAX_TURN_WAIT_S = 1.0
# A permit is reserved for urgent requests until this time after the next turn of the last one.
URGENT_RETENTION_S = 1.0
# After so many urgent requests in a row, the next permit may go to any request.
MAX_URGENT_IN_ROW = 3
# Permits for this much time may be issued at once, and always one; the issuer, at which one may be
# reserved, holds more, so that none is lost when the next request for it is a little late.
BURST_S = 0.1
MIN_BURST = 3.0
MIN_STANDBY_BURST = 1.0


class IssuerRole(Enum):
    """Whether a gateway is an endpoint's issuer, or stands in while that one does not respond.

    Both may issue at the same time while gateways disagree on whether the issuer responds, so their
    shares of the limit add up to little more than the whole.
    """

    PRIMARY = 0.95
    STANDBY = 0.25

    @property
    def share(self) -> float:
        """The share of an endpoint's limit that a gateway in this role issues."""
        return float(self.value)


@dataclass(frozen=True, slots=True)
class _BucketKey:
    run: RunHash
    role: IssuerRole


@dataclass(slots=True)
class _Turns:
    """The turns of the gateways that ask for permits of one urgency."""

    last_turn_s: float

    def next_wait_s(self, now_s: float, wait_s: float, rate_per_s: float) -> float | None:
        """Return the seconds until the next turn, which is not before ``wait_s``.

        Return ``None`` if that is more than ``MAX_TURN_WAIT_S`` away.
        """
        next_turn_s = self.last_turn_s + 1.0 / (TURNS_PER_PERMIT * rate_per_s)
        turn_wait_s = max(wait_s, next_turn_s - now_s)
        if turn_wait_s > max(wait_s, MAX_TURN_WAIT_S):
            return None
        self.last_turn_s = now_s + turn_wait_s
        return turn_wait_s


@dataclass(slots=True)
class _Issued:
    """The permits of an endpoint; ``urgent_in_row`` were issued since the last less urgent one."""

    bucket: TokenBucket
    limit_per_s: float
    urgent_turns: _Turns
    other_turns: _Turns
    urgent_until_s: float = 0.0
    urgent_in_row: int = 0

    def reserved(self, now_s: float) -> float:
        """Return the permits that less urgent requests leave to urgent ones."""
        are_urgent_asking = now_s < self.urgent_until_s
        return 1.0 if are_urgent_asking and self.urgent_in_row < MAX_URGENT_IN_ROW else 0.0


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Whether a permit is issued, and after how many seconds the gateway may ask again."""

    is_granted: bool
    ask_again_s: float


class PermitIssuer:
    """A token bucket for each endpoint whose permits this gateway issues."""

    def __init__(self, clock_s: Callable[[], float], rng: random.Random) -> None:
        self._clock_s = clock_s
        self._rng = rng
        self._issued: BoundedMap[_BucketKey, _Issued] = BoundedMap(MAX_BUCKETS)
        self._lock = threading.Lock()

    def take(
        self, run: RunHash, limit_per_s: float, role: IssuerRole, is_urgent: bool
    ) -> PermitDecision:
        """Issue one permit if there is one, and tell when the gateway's next turn is.

        Urgent requests go first; others get what these leave, and may get one permit after
        ``MAX_URGENT_IN_ROW`` urgent ones.
        """
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s * role.share)
        with self._lock:
            now_s = self._clock_s()
            issued = self._issued_permits(_BucketKey(run, role), limit_per_s, rate_per_s)
            turns = issued.urgent_turns if is_urgent else issued.other_turns
            wait_s = issued.bucket.take(0.0 if is_urgent else issued.reserved(now_s))
            is_granted = wait_s <= 0
            is_scarce = not is_granted or turns.last_turn_s > now_s
            ask_again_s = self._next_turn_s(turns, wait_s, rate_per_s) if is_scarce else 0.0
            if is_granted:
                issued.urgent_in_row = issued.urgent_in_row + 1 if is_urgent else 0
            if is_urgent:
                issued.urgent_until_s = now_s + ask_again_s + URGENT_RETENTION_S
            return PermitDecision(is_granted, ask_again_s)

    def _next_turn_s(self, turns: _Turns, wait_s: float, rate_per_s: float) -> float:
        """Return the seconds until a gateway's turn; it is random if there are too many turns."""
        turn_wait_s = turns.next_wait_s(self._clock_s(), wait_s, rate_per_s)
        if turn_wait_s is None:
            return max(wait_s, MAX_TURN_WAIT_S) * self._rng.uniform(0.5, 1.0)
        return turn_wait_s

    def _issued_permits(self, key: _BucketKey, limit_per_s: float, rate_per_s: float) -> _Issued:
        min_burst = MIN_BURST if key.role is IssuerRole.PRIMARY else MIN_STANDBY_BURST
        capacity = max(min_burst, rate_per_s * BURST_S)
        issued = self._issued.get(key)
        if issued is None:
            now_s = self._clock_s()
            # A standby is asked only after some time without permits.
            tokens = 1.0 if key.role is IssuerRole.STANDBY else 0.0
            bucket = TokenBucket(rate_per_s, capacity, self._clock_s, tokens)
            issued = _Issued(bucket, limit_per_s, _Turns(now_s), _Turns(now_s))
            self._issued.put(key, issued)
        elif issued.limit_per_s != limit_per_s:
            issued.bucket.set_rate(rate_per_s, capacity)
            issued.limit_per_s = limit_per_s
        return issued
