"""How much of their time engines spend on reading prompts.

A step in which an engine reads a chunk of a prompt takes some twenty times as long as one that only
generates. An engine that reads all the time therefore slows its running streams to a crawl: none of
them ends in time, and all the work was in vain. Admission keeps the share of reading bounded.
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

# What was given so shortly before the region's last word is not in it yet.
TOLD_LAG_S = 0.05


class ReadingLoad:
    """Prompt tokens given to each engine in the last second."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._given: dict[EndpointId, RecentSum] = {}
        self._told: dict[EndpointId, tuple[float, int]] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: EndpointId, unread_tokens: int) -> None:
        """Note tokens that the engine was given to read."""
        with self._lock:
            self._given.setdefault(endpoint, RecentSum(self._clock_s)).add(unread_tokens)

    def hear_region(self, told: Mapping[EndpointId, int], is_full: bool) -> None:
        """Take in the tokens a second that all gateways of the region gave to engines."""
        now_s = self._clock_s()
        with self._lock:
            if is_full:
                self._told.clear()
            for endpoint, tokens in told.items():
                self._told[endpoint] = (now_s, tokens)

    def tokens_per_s(self, endpoint: EndpointId) -> int:
        """Return the tokens that the engine was given to read in the last second.

        What the region told includes this gateway's own up to shortly before; later ones are added.
        """
        with self._lock:
            given = self._given.get(endpoint) or RecentSum(self._clock_s)
            own = given.total()
            told_s, told = self._told.get(endpoint, (float("-inf"), 0))
            if told_s < self._clock_s() - WINDOW_S:
                return own
            return max(own, told + given.total(told_s - TOLD_LAG_S))

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an engine, because its process is new."""
        with self._lock:
            self._given.pop(endpoint, None)
            self._told.pop(endpoint, None)
