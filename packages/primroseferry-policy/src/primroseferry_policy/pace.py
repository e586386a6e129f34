"""Speed of endpoints, learned from their observed response times."""

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
# Bounds of one observation relative to its expectation, so that a single outlier has little effect.
MIN_RATIO = 0.25
MAX_RATIO = 8.0
# Slowness is usually temporary. The bound ensures that a slow endpoint is tried again, and the
# half-life lets old observations decay towards the expected time.
MAX_STORED_RATIO = 3.0
RATIO_HALF_LIFE_S = 4.0
DEFAULT_CALL_MS = 80.0


@dataclass(frozen=True, slots=True)
class _Ratio:
    value: float
    observed_s: float


class Pace:
    """Ratio of observed to expected time of each endpoint, and usual call times of services."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._ratios: dict[EndpointId, _Ratio] = {}
        self._call_ms: dict[ServiceId, float] = {}
        self._lock = threading.Lock()

    def ratio(self, endpoint: EndpointId) -> float:
        """Return the ratio of observed to expected time of the endpoint, 1 if it is unknown."""
        current = self._ratios.get(endpoint)
        if current is None:
            return 1.0
        age_s = self._clock_s() - current.observed_s
        return 1.0 + (current.value - 1.0) * float(0.5 ** (age_s / RATIO_HALF_LIFE_S))

    def call_ms(self, service: ServiceId) -> float:
        """Return the usual time of one call of a plain service on an idle endpoint."""
        return self._call_ms.get(service, DEFAULT_CALL_MS)

    def observe(self, endpoint: EndpointId, expected_ms: float, observed_ms: float) -> None:
        """Record the time to the first byte of an answer, with the time that was expected."""
        observed_ratio = observed_ms / max(1.0, expected_ms)
        bounded = min(MAX_RATIO, max(MIN_RATIO, observed_ratio))
        current = self.ratio(endpoint)
        moved = current + LEARNING_RATE * (current * bounded - current)
        updated = min(MAX_STORED_RATIO, max(MIN_RATIO, moved))
        with self._lock:
            self._ratios[endpoint] = _Ratio(updated, self._clock_s())

    def observe_call(self, service: ServiceId, observed_ms: float) -> None:
        """Record the time of a call that found a free slot."""
        with self._lock:
            current = self._call_ms.get(service, DEFAULT_CALL_MS)
            self._call_ms[service] = current + LEARNING_RATE * (observed_ms - current)

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the ratio of an endpoint whose process is new."""
        with self._lock:
            self._ratios.pop(endpoint, None)
