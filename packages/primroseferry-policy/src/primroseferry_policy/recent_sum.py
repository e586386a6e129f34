"""The sum of the numbers added in the last second."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 1.0


class RecentSum:
    """Numbers added within the last ``WINDOW_S``. Not thread-safe; callers hold a lock.

    >>> recent = RecentSum(lambda: 10.0)
    >>> recent.add(3)
    >>> recent.add(4)
    >>> recent.total(), recent.total(since_s=10.0)
    (7, 0)
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._added: deque[tuple[float, int]] = deque()

    def add(self, number: int) -> None:
        """Add a number at the current time."""
        self._added.append((self._clock_s(), number))

    def total(self, since_s: float = float("-inf")) -> int:
        """Return the sum of the last second, counting only numbers added after ``since_s``."""
        start_s = self._clock_s() - WINDOW_S
        while self._added and self._added[0][0] < start_s:
            self._added.popleft()
        return sum(number for at_s, number in self._added if at_s > since_s)

    @property
    def is_empty(self) -> bool:
        """Whether the window was empty at the last call of ``total``."""
        return not self._added
