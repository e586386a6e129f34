"""The maximum of the numbers added within a time window."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class RecentMaximum:
    """Keeps only numbers that can still become the maximum, as a descending sequence.

    >>> recent = RecentMaximum(60.0, lambda: 100.0)
    >>> recent.add(6), recent.add(2)
    (6, 6)
    """

    def __init__(self, window_s: float, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._window_s = window_s
        self._clock_s = clock_s
        self._candidates: deque[tuple[float, int]] = deque()

    def add(self, value: int) -> int:
        """Add a number and return the maximum of the window."""
        while self._candidates and self._candidates[-1][1] <= value:
            self._candidates.pop()
        self._candidates.append((self._clock_s(), value))
        self._expire()
        return self._candidates[0][1]

    def current(self) -> int | None:
        """Return the maximum of the window, ``None`` if no number was added within it."""
        self._expire()
        return self._candidates[0][1] if self._candidates else None

    def _expire(self) -> None:
        now_s = self._clock_s()
        while self._candidates and now_s - self._candidates[0][0] > self._window_s:
            self._candidates.popleft()
