"""Issues permits to send requests to endpoints that named a limit."""

from __future__ import annotations

import random
import threading
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..endpoints.endpoint import EndpointRun

MAX_BUCKETS = 4_096
# The least rate of permits, so that an endpoint that takes nothing is asked now and then whether
# it still does.
MIN_RATE_PER_S = 0.1
# A gateway that is denied a permit waits for the next one, and while more than so many gateways
# ask, until they ask for a few permits more than there are.
MIN_CONTENDERS = 8
ASKS_PER_PERMIT = 3.0
MAX_CONTENTION_WAIT_S = 1.0
# A gateway counts as asking for this long.
ASKER_RETENTION_S = 2.0
MAX_ASKERS = 1_024
# Permits for this much time may be issued at once, and always one.
BURST_S = 0.1


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


class _Askers:
    """The gateways that asked for an endpoint's permits lately."""

    def __init__(self) -> None:
        self._asked_s: BoundedMap[str, float] = BoundedMap(MAX_ASKERS)

    def note(self, asker: str, now_s: float) -> int:
        """Record that a gateway asks and return the number of gateways that do."""
        self._asked_s.put(asker, now_s)
        while now_s - next(iter(self._asked_s.values())) > ASKER_RETENTION_S:
            self._asked_s.popitem(last=False)
        return len(self._asked_s)


@dataclass(slots=True)
class _Issued:
    bucket: TokenBucket
    limit_per_s: float
    askers: _Askers = field(default_factory=_Askers)


class PermitIssuer:
    """A token bucket for each endpoint whose permits this gateway issues."""

    def __init__(self, clock_s: Callable[[], float]) -> None:
        self._clock_s = clock_s
        self._issued: BoundedMap[_BucketKey, _Issued] = BoundedMap(MAX_BUCKETS)
        self._lock = threading.Lock()

    def take(self, run: EndpointRun, limit_per_s: float, role: IssuerRole, asker: str) -> float:
        """Issue one permit and return 0, or return the seconds after which to ask again.

        ``asker`` names the gateway that asks.
        """
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s * role.share)
        capacity = max(1.0, rate_per_s * BURST_S)
        key = _BucketKey(run, role)
        with self._lock:
            issued = self._issued.get(key)
            if issued is None:
                # A standby is asked only after some time without permits.
                tokens = 1.0 if role is IssuerRole.STANDBY else 0.0
                bucket = TokenBucket(rate_per_s, capacity, self._clock_s, tokens)
                issued = _Issued(bucket, limit_per_s)
                self._issued.put(key, issued)
            elif issued.limit_per_s != limit_per_s:
                issued.bucket.set_rate(rate_per_s, capacity)
                issued.limit_per_s = limit_per_s
            askers = issued.askers.note(asker, self._clock_s())
        wait_s = issued.bucket.take()
        if wait_s > 0 and askers > MIN_CONTENDERS:
            contention_s = (askers - MIN_CONTENDERS) / (ASKS_PER_PERMIT * rate_per_s)
            return max(wait_s, min(MAX_CONTENTION_WAIT_S, contention_s) * random.uniform(0.5, 1.5))
        return wait_s
