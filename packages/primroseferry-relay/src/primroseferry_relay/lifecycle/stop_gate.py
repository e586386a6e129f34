"""Refuses requests that a stopping gateway could not answer before its process ends."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from primroseferry_policy.recent_maximum import RecentMaximum

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import ServiceId

    from ..decision import DecisionRecord

# How long the duration of an answered request is remembered.
DURATION_RETENTION_S = 30.0


class StopGate:
    """The longest recent duration of each service's requests, against the time that is left."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._limit_s: float | None = None
        self._recent: dict[str, RecentMaximum] = {}
        self._longest_ms: dict[str, int] = {}
        self._lock = threading.Lock()

    def note(self, record: DecisionRecord) -> None:
        """Record how long a request took, if it was answered."""
        if record.outcome != "answered":
            return
        with self._lock:
            recent = self._recent.setdefault(
                record.service, RecentMaximum(DURATION_RETENTION_S, self._clock_s)
            )
            self._longest_ms[record.service] = recent.add(record.elapsed_ms)

    def stop_at(self, limit_s: float) -> None:
        """Set the monotonic time at which open requests are aborted."""
        self._limit_s = limit_s

    def refuses(self, service: ServiceId) -> bool:
        """Whether a request that begins now would probably be aborted."""
        if self._limit_s is None:
            return False
        longest_s = self._longest_ms.get(service, 0) / 1000
        return self._clock_s() + longest_s >= self._limit_s
