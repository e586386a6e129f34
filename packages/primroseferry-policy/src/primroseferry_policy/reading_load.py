"""How much of their time engines spend on prefill.

A step with a chunk of prefill takes about twenty times as long as a step that only generates. If an
engine does prefill all the time, none of its running streams ends in time and their work is wasted.
Admission therefore limits the share of prefill.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from .recent_sum import WINDOW_S
from .recent_sum import RecentSum

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId

# Tokens that were sent less than this time before a region's report arrived are not yet part of it.
REPORT_LAG_S = 0.05


class PrefillLoad:
    """Prompt tokens sent to each engine for prefill in the last second."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._assigned: dict[EndpointId, RecentSum] = {}
        self._reported: dict[EndpointId, tuple[float, int]] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: EndpointId, uncached_tokens: int) -> None:
        """Record uncached tokens that are sent to the engine."""
        with self._lock:
            self._assigned.setdefault(endpoint, RecentSum(self._clock_s)).add(uncached_tokens)

    def update_region(self, reported: Mapping[EndpointId, int], is_full: bool) -> None:
        """Store the tokens per second that all gateways of the region sent to each engine.

        ``reported`` holds the changed engines, or all engines if ``is_full``.
        """
        now_s = self._clock_s()
        with self._lock:
            if is_full:
                self._reported.clear()
            for endpoint, tokens in reported.items():
                self._reported[endpoint] = (now_s, tokens)

    def tokens_per_s(self, endpoint: EndpointId) -> int:
        """Return the uncached tokens that were sent to the engine in the last second.

        The report of the region includes this gateway's own tokens up to ``REPORT_LAG_S`` before it
        arrived; later ones are added.
        """
        with self._lock:
            assigned = self._assigned.get(endpoint) or RecentSum(self._clock_s)
            own = assigned.total()
            reported_s, reported = self._reported.get(endpoint, (float("-inf"), 0))
            if reported_s < self._clock_s() - WINDOW_S:
                return own
            return max(own, reported + assigned.total(reported_s - REPORT_LAG_S))

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the load of an engine whose process is new."""
        with self._lock:
            self._assigned.pop(endpoint, None)
            self._reported.pop(endpoint, None)
