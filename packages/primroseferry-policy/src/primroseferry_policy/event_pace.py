"""The time between events of a service's streams while their engine does prefill.

Answers streams whose events pause for too long beside prefill. An engine adds a chunk of prefill to
its steps, and an event of several tokens takes as many steps; how long such a step takes depends on
the engine. The longest pause of a stream tells, since most streams meet some prefill.
"""

from __future__ import annotations

import threading
from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId

# Shorter streams may have met no prefill.
MIN_EVENTS = 4
# The median of so many streams: single long pauses are preemptions or slow endpoints.
REMEMBERED_STREAMS = 64
MIN_STREAMS = 8
MAX_SERVICES = 256


class EventPace:
    """Longest pauses of the last streams, by service."""

    def __init__(self) -> None:
        self._pauses_ms: BoundedMap[ServiceId, deque[float]] = BoundedMap(MAX_SERVICES)
        self._lock = threading.Lock()

    def observe(self, service: ServiceId, events: int, longest_pause_ms: float) -> None:
        """Record a stream that has ended."""
        if events < MIN_EVENTS:
            return
        with self._lock:
            pauses_ms = self._pauses_ms.get(service)
            if pauses_ms is None:
                pauses_ms = deque(maxlen=REMEMBERED_STREAMS)
                self._pauses_ms.put(service, pauses_ms)
            pauses_ms.append(longest_pause_ms)

    def services(self) -> list[ServiceId]:
        """Return the services of which streams have ended."""
        with self._lock:
            return list(self._pauses_ms)

    def event_ms(self, service: ServiceId) -> float:
        """Return the time between events beside prefill, 0 while too few streams have ended."""
        with self._lock:
            pauses_ms = self._pauses_ms.get(service)
            if pauses_ms is None or len(pauses_ms) < MIN_STREAMS:
                return 0.0
            return median(pauses_ms)
