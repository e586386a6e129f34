"""Refuses requests that a stopping gateway could not answer before its process ends."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from primroseferry_policy.recent_maximum import RecentMaximum

from ..open_requests import OpenRequests

if TYPE_CHECKING:
    from collections.abc import Callable

LATE_FOR_STOP_DETAIL = "the answer would come after the stop"
STOP_DETAIL = "the gateway stops before the endpoint has answered"
# Another gateway serves the request at once.
STOPPING_RETRY_AFTER_S = 0.1
# How long the duration of an answered request is remembered.
DURATION_RETENTION_S = 30.0
# A request may take longer than the longest of the recent ones, by this factor.
DURATION_MARGIN = 2.0
# Endpoints may stand still for a while; the requests that they serve take longer by as much.
ENDPOINT_PAUSE_S = 1.5


class StopGate:
    """Compares the longest recent duration of a route's requests with the time that is left.

    The durations are those of this process. They say nothing if the first one was recorded within
    the length of a stop before it: only short requests can have ended since then. A request of a
    route for which none is known is refused too, unless its own time limit is before the end of the
    process. ``open_requests`` are those that are being served.
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self.open_requests = OpenRequests()
        self._clock_s = clock_s
        self._limit_s: float | None = None
        self._known_before_s = 0.0
        self._recent: dict[str, RecentMaximum] = {}
        self._first_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def note_duration(self, route: str, elapsed_ms: int) -> None:
        """Record how long a request took that was answered with success."""
        with self._lock:
            recent = self._recent.setdefault(
                route, RecentMaximum(DURATION_RETENTION_S, self._clock_s)
            )
            if recent.current() is None:
                self._first_s[route] = self._clock_s()
            recent.add(elapsed_ms)

    def stop_at(self, limit_s: float) -> None:
        """Set the monotonic time at which open requests are aborted."""
        now_s = self._clock_s()
        self._known_before_s = now_s - (limit_s - now_s)
        self._limit_s = limit_s

    def close(self) -> None:
        """Refuse each request from now on."""
        self._limit_s = float("-inf")

    def refuses(self, route: str, time_limit_s: float) -> bool:
        """Whether a request that begins now might be aborted.

        ``time_limit_s`` is the monotonic time at which the request is given up in any case.
        """
        if self._limit_s is None or time_limit_s <= self._limit_s:
            return False
        longest_s = self._longest_s(route)
        if longest_s is None:
            return True
        return self._clock_s() + longest_s * DURATION_MARGIN + ENDPOINT_PAUSE_S >= self._limit_s

    def _longest_s(self, route: str) -> float | None:
        """Return the longest known duration of a route's requests, also of those still open."""
        with self._lock:
            recent = self._recent.get(route)
            answered_ms = recent.current() if recent is not None else None
            if answered_ms is None or self._first_s[route] > self._known_before_s:
                return None
        return max(answered_ms, self.open_requests.longest_ms(route)) / 1000
