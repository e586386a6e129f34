"""How much of their time engines spend on reading prompts.

A step in which an engine reads a chunk of a prompt takes some twenty times as long as one that only
generates. An engine that reads all the time therefore slows its running streams to a crawl: none of
them ends in time, and all the work was in vain. Admission keeps the share of reading bounded.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId

WINDOW_S = 1.0
# What was given so shortly before the region's last word is not in it yet.
TOLD_LAG_S = 0.05


class ReadingLoad:
    """Prompt tokens given to each engine in the last second."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._given: dict[EndpointId, deque[tuple[float, int]]] = {}
        self._told: dict[EndpointId, tuple[float, int]] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: EndpointId, unread_tokens: int) -> None:
        """Note tokens that the engine was given to read."""
        with self._lock:
            given = self._given.setdefault(endpoint, deque())
            given.append((self._clock_s(), unread_tokens))

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
        start_s = self._clock_s() - WINDOW_S
        with self._lock:
            given = self._given.get(endpoint, deque())
            while given and given[0][0] < start_s:
                given.popleft()
            own = sum(tokens for _, tokens in given)
            told_s, told = self._told.get(endpoint, (0.0, 0))
            if told_s < start_s:
                return own
            newer = sum(tokens for at_s, tokens in given if at_s > told_s - TOLD_LAG_S)
            return max(own, told + newer)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an engine, because its process is new."""
        with self._lock:
            self._given.pop(endpoint, None)
            self._told.pop(endpoint, None)
