"""How far less urgent requests yield to urgent ones of the same engines.

Answers the load in which urgent requests find no engine while less urgent ones are still admitted:
what both add to an engine counts in one sum, so the less urgent ones use up what urgent ones would
need a moment later. Nobody knows the urgent demand of the next second; the yield factor follows it
like a congestion window, by falling at once when urgent requests find no engine and growing back
slowly.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

# How much of their limits less urgent requests keep, for each shortage of urgent ones.
DECREASE_FACTOR = 0.6
# Shortages within this time count as one: the loads that a gateway sees are as old.
DECREASE_INTERVAL_S = 0.1
INCREASE_PER_S = 0.4
# Less urgent requests are never shut out.
MIN_FACTOR = 0.1
MAX_PLACES = 1_024


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """The engines of a service in one region."""

    service: ServiceId
    region: RegionId


@dataclass(frozen=True, slots=True)
class _Yield:
    factor: float
    changed_s: float


class UrgentDemand:
    """Yield factors by service and region, from what this gateway's own requests found."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._yields: BoundedMap[EnginePlace, _Yield] = BoundedMap(MAX_PLACES)
        self._lock = threading.Lock()

    def note_shortage(self, place: EnginePlace) -> bool:
        """Record that an urgent request found all engines of a place saturated.

        Return whether this begins a shortage, after which less urgent requests yield.
        """
        now_s = self._clock_s()
        with self._lock:
            known = self._yields.get(place)
            if known is not None and now_s - known.changed_s < DECREASE_INTERVAL_S:
                return False
            before = _factor_at(known, now_s)
            self._yields.put(place, _Yield(max(MIN_FACTOR, before * DECREASE_FACTOR), now_s))
            return before == 1.0

    def yield_factors(self) -> dict[EnginePlace, float]:
        """Return the yield factor of each place that has had a shortage."""
        with self._lock:
            now_s = self._clock_s()
            return {place: _factor_at(known, now_s) for place, known in self._yields.items()}

    def yield_factor(self, place: EnginePlace) -> float:
        """Return the part of their limits that less urgent requests may use, at most 1."""
        with self._lock:
            return _factor_at(self._yields.get(place), self._clock_s())


def _factor_at(known: _Yield | None, now_s: float) -> float:
    if known is None:
        return 1.0
    return min(1.0, known.factor + (now_s - known.changed_s) * INCREASE_PER_S)
