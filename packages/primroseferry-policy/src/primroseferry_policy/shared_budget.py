"""Limits that all gateways keep together without asking each other for each request."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING

from .recent_maximum import RecentMaximum

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import ServiceId

# Gateways do not see each other's windows; what is kept back covers views that differ.
USED_RATIO_SHARE = 0.8
USED_SLACK_SHARE = 0.6
# A cold endpoint is sent to at no more than this share of the rate it bears.
USED_COLD_SHARE = 0.9


# A gateway that loses sight of others divides the slack by all that it knew in this time: they may
# live on behind a cut and spend their shares.
FLEET_MEMORY_S = 7_200.0


class _Window:
    """Events of the last seconds, oldest first."""

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def drop_before(self, start_s: float) -> None:
        for events in (self.requests, self.repeats):
            while events and events[0] < start_s:
                events.popleft()


class SharedRetryBudget:
    """Repeats of each service: a share of its requests and a fixed slack, in a sliding window.

    The slack is divided by the most gateways that were known to live lately. A process that takes
    another one's place keeps it back for a whole window: the one before may have spent it.
    """

    def __init__(
        self,
        window_s: float,
        ratio: float,
        slack: float,
        clock_s: Callable[[], float] = time.monotonic,
        *,
        replaces_another: bool = False,
    ) -> None:
        self._slack_from_s = clock_s() + window_s if replaces_another else float("-inf")
        self._most_live = RecentMaximum(FLEET_MEMORY_S, clock_s)
        self._window_s = window_s
        self._ratio = ratio
        self._slack = slack
        self._clock_s = clock_s
        self._windows: dict[ServiceId, _Window] = {}
        self._lock = threading.Lock()

    def set_limits(self, window_s: float, ratio: float, slack: float) -> None:
        """Keep other limits from now on."""
        with self._lock:
            self._window_s, self._ratio, self._slack = window_s, ratio, slack

    def note_request(self, service: ServiceId, live_gateways: int = 1) -> None:
        """Count a request of a caller, and the gateways that live as it comes."""
        with self._lock:
            self._most_live.note(max(1, live_gateways))
            self._current(service).requests.append(self._clock_s())

    def spend(self, service: ServiceId, live_gateways: int) -> bool:
        """Take one repeat from the budget; ``False`` where none is left."""
        with self._lock:
            window = self._current(service)
            earned = len(window.requests) * self._ratio * USED_RATIO_SHARE
            share = self._slack_share(live_gateways)
            if len(window.repeats) + 1 > earned + share:
                return False
            window.repeats.append(self._clock_s())
            return True

    def _slack_share(self, live_gateways: int) -> float:
        most_live = self._most_live.note(max(1, live_gateways))
        if self._clock_s() < self._slack_from_s:
            return 0.0
        return self._slack * USED_SLACK_SHARE / most_live

    def _current(self, service: ServiceId) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.drop_before(self._clock_s() - self._window_s)
        return window


class ColdGate:
    """Spaces what is sent to a cold endpoint, by the rate that it bears."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._next_s: dict[EndpointId, float] = {}
        self._lock = threading.Lock()

    def may_send(self, endpoint: EndpointId) -> bool:
        """Whether a request may be sent now."""
        return self._clock_s() >= self._next_s.get(endpoint, 0.0)

    def take(self, endpoint: EndpointId, per_s: float) -> bool:
        """Take the next place; ``False`` where it is too early."""
        with self._lock:
            now_s = self._clock_s()
            if now_s < self._next_s.get(endpoint, 0.0):
                return False
            self._next_s[endpoint] = now_s + 1.0 / max(0.1, per_s * USED_COLD_SHARE)
            return True
