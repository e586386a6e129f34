"""A retry budget that first attempts fill, so that failures cannot multiply the load."""

from __future__ import annotations

import threading

RETRIES_PER_FIRST_ATTEMPT = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """The retries available to a gateway: first attempts earn them, retries spend them.

    >>> budget = RetryBudget(available=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, available: float = MAX_SAVED_RETRIES) -> None:
        self._available = available
        self._lock = threading.Lock()

    @property
    def available(self) -> float:
        """The number of retries available now; it can be fractional."""
        return self._available

    def earn(self) -> None:
        """Record a first attempt."""
        with self._lock:
            self._available = min(MAX_SAVED_RETRIES, self._available + RETRIES_PER_FIRST_ATTEMPT)

    def spend(self) -> bool:
        """Take one retry from the budget; ``False`` if none is left."""
        with self._lock:
            if self._available < 1.0:
                return False
            self._available -= 1.0
            return True
