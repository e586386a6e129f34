"""Limits that all gateways share without coordinating on each request."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

from .recent_maximum import RecentMaximum

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import ServiceId

# Gateways do not see each other's windows. The unused part of the limits covers differences between
# their views.
RATIO_SAFETY_FACTOR = 0.8
SLACK_SAFETY_FACTOR = 0.6
# Upper bound of the rate to a cold endpoint, as a share of the rate that it sustains.
COLD_RATE_SAFETY_FACTOR = 0.9
# A gateway that loses contact with others divides the slack by the most gateways seen in this time:
# behind a network partition they may still run and spend their shares.
LIVE_GATEWAYS_RETENTION_S = 7_200.0
# Far more endpoints than are cold at one time.
MAX_COLD_ENDPOINTS = 4_096


class _Window:
    """Times of requests and retries within the window, oldest first."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def drop_before(self, start_s: float) -> None:
        for events in (self.requests, self.retries):
            while events and events[0] < start_s:
                events.popleft()


class SharedRetryBudget:
    """Retry budget of each service: a share of its requests plus a fixed slack in a sliding window.

    The slack is divided by the largest number of gateways that were recently live. A process that
    replaces another one gets no slack until one window has passed, because its predecessor may have
    spent it.
    """

    def __init__(
        self,
        window_s: float,
        ratio: float,
        slack: float,
        clock_s: Callable[[], float] = time.monotonic,
        *,
        is_replacement: bool = False,
    ) -> None:
        self._slack_available_from_s = clock_s() + window_s if is_replacement else float("-inf")
        self._max_live_gateways = RecentMaximum(LIVE_GATEWAYS_RETENTION_S, clock_s)
        self._window_s = window_s
        self._ratio = ratio
        self._slack = slack
        self._clock_s = clock_s
        self._windows: dict[ServiceId, _Window] = {}
        self._lock = threading.Lock()

    def set_limits(self, window_s: float, ratio: float, slack: float) -> None:
        """Apply new limits from now on."""
        with self._lock:
            self._window_s, self._ratio, self._slack = window_s, ratio, slack

    def note_request(self, service: ServiceId, live_gateways: int = 1) -> None:
        """Count a caller's request and record the number of live gateways at its arrival."""
        with self._lock:
            self._max_live_gateways.add(max(1, live_gateways))
            self._current_window(service).requests.append(self._clock_s())

    def spend(self, service: ServiceId, live_gateways: int) -> bool:
        """Take one retry from the budget; ``False`` if none is left."""
        with self._lock:
            window = self._current_window(service)
            earned = len(window.requests) * self._ratio * RATIO_SAFETY_FACTOR
            share = self._slack_share(live_gateways)
            if len(window.retries) + 1 > earned + share:
                return False
            window.retries.append(self._clock_s())
            return True

    def refund(self, service: ServiceId) -> None:
        """Return a retry that was taken from the budget but not sent."""
        with self._lock:
            retries = self._current_window(service).retries
            if retries:
                retries.pop()

    def _slack_share(self, live_gateways: int) -> float:
        max_live_gateways = self._max_live_gateways.add(max(1, live_gateways))
        if self._clock_s() < self._slack_available_from_s:
            return 0.0
        return self._slack * SLACK_SAFETY_FACTOR / max_live_gateways

    def _current_window(self, service: ServiceId) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(self._clock_s() - self._window_s)
        return window


class ColdEndpointLimiter:
    """Limits the request rate to each cold endpoint to what the endpoint sustains."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._next_s: BoundedMap[EndpointId, float] = BoundedMap(MAX_COLD_ENDPOINTS)
        self._lock = threading.Lock()

    @property
    def size(self) -> int:
        """The number of endpoints whose next send time is kept."""
        return len(self._next_s)

    def may_send(self, endpoint: EndpointId) -> bool:
        """Whether a request may be sent now."""
        return self._clock_s() >= self._next_s.get(endpoint, 0.0)

    def take(self, endpoint: EndpointId, per_s: float) -> bool:
        """Take the next send time; ``False`` if it is too early.

        ``per_s`` is the number of requests per second that the endpoint sustains.
        """
        with self._lock:
            now_s = self._clock_s()
            if now_s < self._next_s.get(endpoint, 0.0):
                return False
            self._next_s.put(endpoint, now_s + 1.0 / max(0.1, per_s * COLD_RATE_SAFETY_FACTOR))
            return True
