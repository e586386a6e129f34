"""How fast endpoints are, learned from what was observed of each."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import ServiceId

LEARNING_RATE = 0.15
# Bounds of one observation against its expectation, so that a single odd answer decides little.
MIN_RATIO = 0.25
MAX_RATIO = 8.0
# What an endpoint is expected to take at most, so that it is tried again, and how fast an
# observation is forgotten: causes of slowness pass.
MAX_HELD_RATIO = 3.0
FORGET_HALF_S = 4.0
DEFAULT_CALL_MS = 80.0


@dataclass(frozen=True, slots=True)
class _Ratio:
    value: float
    observed_s: float


class Pace:
    """The ratio of observed to expected time of each endpoint, and calls' usual times."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._ratios: dict[EndpointId, _Ratio] = {}
        self._call_ms: dict[ServiceId, float] = {}
        self._lock = threading.Lock()

    def ratio(self, endpoint: EndpointId) -> float:
        """Return how many times as long as expected the endpoint takes."""
        held = self._ratios.get(endpoint)
        if held is None:
            return 1.0
        age_s = self._clock_s() - held.observed_s
        return 1.0 + (held.value - 1.0) * float(0.5 ** (age_s / FORGET_HALF_S))

    def call_ms(self, service: ServiceId) -> float:
        """Return the usual time of one call of a plain service on an idle endpoint."""
        return self._call_ms.get(service, DEFAULT_CALL_MS)

    def observe(self, endpoint: EndpointId, expected_ms: float, observed_ms: float) -> None:
        """Take in the time to the first byte of an answer, and what was expected."""
        observed_ratio = observed_ms / max(1.0, expected_ms)
        bounded = min(MAX_RATIO, max(MIN_RATIO, observed_ratio))
        held = self.ratio(endpoint)
        moved = held + LEARNING_RATE * (held * bounded - held)
        kept = min(MAX_HELD_RATIO, max(MIN_RATIO, moved))
        with self._lock:
            self._ratios[endpoint] = _Ratio(kept, self._clock_s())

    def observe_call(self, service: ServiceId, observed_ms: float) -> None:
        """Take in the time of a call that found a free slot."""
        with self._lock:
            held = self._call_ms.get(service, DEFAULT_CALL_MS)
            self._call_ms[service] = held + LEARNING_RATE * (observed_ms - held)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint, because its process is new."""
        with self._lock:
            self._ratios.pop(endpoint, None)
