"""A token bucket."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class TokenBucket:
    """Gains ``rate_per_s`` tokens a second, up to ``capacity``.

    It starts empty by default: a process that takes over a limit from another one does not know how
    many tokens were taken there a moment ago.

    >>> now_s = 0.0
    >>> bucket = TokenBucket(2.0, 1.0, lambda: now_s)
    >>> bucket.take()
    0.5
    >>> now_s = 0.5
    >>> bucket.take()
    0.0
    """

    def __init__(
        self,
        rate_per_s: float,
        capacity: float,
        clock_s: Callable[[], float],
        tokens: float = 0.0,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._clock_s = clock_s
        self._tokens = tokens
        self._filled_s = clock_s()
        self._lock = threading.Lock()

    def set_rate(self, rate_per_s: float, capacity: float) -> None:
        """Apply another rate and capacity from now on."""
        with self._lock:
            self._fill()
            self._rate_per_s, self._capacity = rate_per_s, capacity
            self._tokens = min(self._tokens, capacity)

    def take(self, reserved: float = 0.0) -> float:
        """Take one token and return 0, or return the seconds until there is one.

        ``reserved`` tokens are left in the bucket for others.
        """
        with self._lock:
            self._fill()
            needed = 1.0 + reserved
            if self._tokens >= needed:
                self._tokens -= 1.0
                return 0.0
            return (needed - self._tokens) / self._rate_per_s

    def _fill(self) -> None:
        now_s = self._clock_s()
        gained = (now_s - self._filled_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled_s = now_s
