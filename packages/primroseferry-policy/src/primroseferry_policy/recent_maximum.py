"""The largest of the numbers noted within some time."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class RecentMaximum:
    """Keeps only what can still become the maximum: its size grows with falls, not with notes.

    >>> recent = RecentMaximum(60.0, lambda: 100.0)
    >>> recent.note(6), recent.note(2)
    (6, 6)
    """

    def __init__(self, memory_s: float, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._memory_s = memory_s
        self._clock_s = clock_s
        self._falling: deque[tuple[float, int]] = deque()

    def note(self, value: int) -> int:
        """Note a number and return the largest one of the time remembered."""
        now_s = self._clock_s()
        while self._falling and self._falling[-1][1] <= value:
            self._falling.pop()
        self._falling.append((now_s, value))
        while now_s - self._falling[0][0] > self._memory_s:
            self._falling.popleft()
        return self._falling[0][1]
