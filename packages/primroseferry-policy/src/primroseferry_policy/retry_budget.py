"""A budget for retries: a share of the first attempts, so that failures cannot multiply load."""

from __future__ import annotations

import threading

RETRIES_PER_FIRST_ATTEMPT = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Earned by first attempts and spent by retries.

    >>> budget = RetryBudget(saved=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, saved: float = MAX_SAVED_RETRIES) -> None:
        self._saved = saved
        self._lock = threading.Lock()

    @property
    def saved(self) -> float:
        """How many retries could be spent now."""
        return self._saved

    def earn(self) -> None:
        """Note a first attempt."""
        with self._lock:
            self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_FIRST_ATTEMPT)

    def spend(self) -> bool:
        """Take one retry from the budget; ``False`` where none is left."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
