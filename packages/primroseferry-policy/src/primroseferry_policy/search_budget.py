"""Bounds the share of time that a repeated search may take."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# Part of one core, the share that all control work of a gateway may take.
MAX_SHARE = 0.038
# Shorter searches are not deferred: with usual records they take well below a millisecond.
FREE_S = 0.005


class SearchBudget:
    """Defers a search after a long one, so that searches take ``MAX_SHARE`` of the time at most."""

    def __init__(self, clock_s: Callable[[], float] = time.perf_counter) -> None:
        self._clock_s = clock_s
        self._next_s = float("-inf")

    def may_start(self) -> bool:
        """Whether a search may begin now."""
        return self._clock_s() >= self._next_s

    @contextlib.contextmanager
    def measured(self) -> Iterator[None]:
        """Measure a search, and defer the next one if it took long."""
        started_s = self._clock_s()
        try:
            yield
        finally:
            ended_s = self._clock_s()
            duration_s = ended_s - started_s
            if duration_s > FREE_S:
                self._next_s = ended_s + duration_s / MAX_SHARE
