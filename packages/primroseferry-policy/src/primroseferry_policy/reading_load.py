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

    from primroseferry_core.ids import EndpointId

WINDOW_S = 1.0


class ReadingLoad:
    """Prompt tokens given to each engine in the last second."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._given: dict[EndpointId, deque[tuple[float, int]]] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: EndpointId, unread_tokens: int) -> None:
        """Note tokens that the engine was given to read."""
        with self._lock:
            given = self._given.setdefault(endpoint, deque())
            given.append((self._clock_s(), unread_tokens))

    def tokens_per_s(self, endpoint: EndpointId) -> int:
        """Return the tokens that the engine was given to read in the last second."""
        start_s = self._clock_s() - WINDOW_S
        with self._lock:
            given = self._given.get(endpoint)
            if given is None:
                return 0
            while given and given[0][0] < start_s:
                given.popleft()
            return sum(tokens for _, tokens in given)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an engine, because its process is new."""
        with self._lock:
            self._given.pop(endpoint, None)
