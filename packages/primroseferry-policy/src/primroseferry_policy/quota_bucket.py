"""One region's share of a workspace's quota, as a token bucket that may go into debt."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .recent_sum import WINDOW_S
from .recent_sum import RecentSum

if TYPE_CHECKING:
    from collections.abc import Callable

# A region passes on what exceeds its own demand of this time.
RESERVED_DEMAND_S = 0.5
# A region asks others for the demand of this time, so that a transfer lasts for a few round trips.
BORROWED_DEMAND_S = 0.6
# Units of other regions that were not issued for so long are lost. Kept beyond the capacity, they
# would add to the bursts of all regions, whose buckets fill again.
BORROWED_LIFETIME_S = 1.0
# The bucket asks for a transfer when it holds less than the demand of this time.
LOW_DEMAND_S = 0.4


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """The part of a quota that a bucket issues: units a second, and how many it may hold."""

    rate_per_s: float
    capacity: float


@dataclass(frozen=True, slots=True)
class Issued:
    """Units that a bucket gave out, at least the asked cost or 0, and when there will be more."""

    units: float
    wait_s: float = 0.0


class QuotaBucket:
    """Answers load beyond a workspace's quota. Not thread-safe; callers hold a lock.

    The bucket starts empty: a process that takes it over from another one does not know what was
    issued there a moment ago. A request is admitted whenever the bucket is not empty, whatever it
    costs, and may take the bucket below 0. Large requests therefore wait no longer than small ones,
    and one that costs more than the whole capacity is admitted too.

    >>> now_s = 0.0
    >>> share = QuotaShare(rate_per_s=100.0, capacity=100.0)
    >>> bucket = QuotaBucket(lambda: now_s)
    >>> now_s = 1.0
    >>> bucket.take(share, cost=250.0).units, bucket.take(share, cost=10.0).wait_s
    (250.0, 1.5)
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._units = 0.0
        self._filled_s = clock_s()
        self._borrowed_until_s = float("-inf")
        self._demand = RecentSum(clock_s)

    def units(self, share: QuotaShare) -> float:
        """Return what the bucket holds now, below 0 while it is in debt."""
        now_s = self._clock_s()
        gained = (now_s - self._filled_s) * share.rate_per_s
        self._filled_s = now_s
        # What was transferred from other regions may exceed the capacity for a while; it does not
        # grow.
        if now_s >= self._borrowed_until_s:
            self._units = min(self._units, share.capacity)
        if self._units < share.capacity:
            self._units = min(share.capacity, self._units + gained)
        return self._units

    def take(self, share: QuotaShare, cost: float, extra: float = 0.0) -> Issued:
        """Issue ``cost`` units and up to ``extra`` more of what is left, or say when to ask again.

        ``extra`` never takes the bucket below 0. Only whole units are added to ``cost``, since
        datagrams carry no others.
        """
        self._demand.add(round(cost))
        units = self.units(share)
        if units <= 0:
            return Issued(0.0, -units / share.rate_per_s if share.rate_per_s > 0 else WINDOW_S)
        issued = cost + math.floor(min(extra, max(0.0, units - cost)))
        self._units -= issued
        return Issued(issued)

    def add(self, share: QuotaShare, units: float) -> None:
        """Add units that another region gave."""
        self._units = self.units(share) + units
        self._borrowed_until_s = self._clock_s() + BORROWED_LIFETIME_S

    def give(self, share: QuotaShare, wanted: int) -> int:
        """Take out up to ``wanted`` whole units for another region, less the own demand."""
        spare = self.units(share) - self._demand.total() / WINDOW_S * RESERVED_DEMAND_S
        given = max(0, min(wanted, math.floor(spare)))
        self._units -= given
        return given

    def limit(self, share: QuotaShare) -> None:
        """Drop what exceeds the capacity of a quota that was lowered."""
        self._units = min(self.units(share), share.capacity)

    def wanted(self, share: QuotaShare) -> float:
        """Return how many units other regions are to give, 0 if the bucket holds enough."""
        demand_per_s = self._demand.total() / WINDOW_S
        units = self.units(share)
        if units >= demand_per_s * LOW_DEMAND_S:
            return 0.0
        return demand_per_s * BORROWED_DEMAND_S - units
