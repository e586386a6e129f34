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

    from ..endpoints.endpoint import EndpointRun

MAX_BUCKETS = 4_096
# The least rate of permits, so that an endpoint that takes nothing is asked now and then whether
# it still does.
MIN_RATE_PER_S = 0.1
# While permits are scarce, gateways ask one after another, somewhat more often than there are
# permits, because a gateway may have no request left at its turn.
TURNS_PER_PERMIT = 1.25
MAX_TURN_WAIT_S = 1.0
# Permits for this much time may be issued at once, and always ``MIN_BURST``, so that a permit is
# not lost when the next request for it is a little late.
BURST_S = 0.1
MIN_BURST = 2.0


class IssuerRole(Enum):
    """Whether a gateway issues an endpoint's permits, or does so while the issuer does
    not respond.

    Both may issue at the same time while gateways disagree on which of them responds, so the
    shares of the limit that they issue add up to little more than the whole.
    """

    PRIMARY = 0.95
    STANDBY = 0.25

    @property
    def share(self) -> float:
        """The share of an endpoint's limit that a gateway in this role issues."""
        return float(self.value)


@dataclass(frozen=True, slots=True)
class _BucketKey:
    run: EndpointRun
    role: IssuerRole


@dataclass(slots=True)
class _Issued:
    bucket: TokenBucket
    limit_per_s: float
    last_turn_s: float


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

    def take(self, run: EndpointRun, limit_per_s: float, role: IssuerRole) -> PermitDecision:
        """Issue one permit if there is one, and tell when the gateway's next turn is."""
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s * role.share)
        capacity = max(MIN_BURST, rate_per_s * BURST_S)
        key = _BucketKey(run, role)
        with self._lock:
            now_s = self._clock_s()
            issued = self._issued.get(key)
            if issued is None:
                # A standby is asked only after some time without permits.
                tokens = 1.0 if role is IssuerRole.STANDBY else 0.0
                bucket = TokenBucket(rate_per_s, capacity, self._clock_s, tokens)
                issued = _Issued(bucket, limit_per_s, last_turn_s=now_s)
                self._issued.put(key, issued)
            elif issued.limit_per_s != limit_per_s:
                issued.bucket.set_rate(rate_per_s, capacity)
                issued.limit_per_s = limit_per_s
            wait_s = issued.bucket.take()
            is_granted = wait_s <= 0
            if is_granted and issued.last_turn_s <= now_s:
                return PermitDecision(is_granted, 0.0)
            next_turn_s = issued.last_turn_s + 1.0 / (TURNS_PER_PERMIT * rate_per_s)
            turn_wait_s = max(wait_s, next_turn_s - now_s)
            max_wait_s = max(wait_s, MAX_TURN_WAIT_S)
            if turn_wait_s > max_wait_s:
                return PermitDecision(is_granted, max_wait_s * self._rng.uniform(0.5, 1.0))
            issued.last_turn_s = now_s + turn_wait_s
            return PermitDecision(is_granted, turn_wait_s)
