"""Admission: rejects requests that would be late, and learns the length of answers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .routing import Option

LEARNING_RATE = 0.05


class AnswerLengths:
    """Share of ``max_tokens`` that the answers of each model use, from complete answers.

    >>> lengths = AnswerLengths()
    >>> lengths.expected_tokens("small", 100)
    100
    """

    def __init__(self) -> None:
        self._share: dict[str, float] = {}
        self._lock = threading.Lock()

    def expected_tokens(self, model: str, max_tokens: int) -> int:
        """Return the expected number of tokens of an answer."""
        return max(1, round(max_tokens * self._share.get(model, 1.0)))

    def learn(self, model: str, max_tokens: int, tokens: int) -> None:
        """Update the expected share with the length of a complete answer."""
        with self._lock:
            share = self._share.get(model, 1.0)
            self._share[model] = share + LEARNING_RATE * (tokens / max(1, max_tokens) - share)


def in_time(options: Sequence[Option], remaining_ms: float) -> list[Option]:
    """Return the options whose complete answer is expected in time, in their order."""
    return [option for option in options if option.total_ms <= remaining_ms]


def expected_lateness_ms(options: Sequence[Option], remaining_ms: float) -> float:
    """Return how late the fastest option is expected to be; negative if it is in time."""
    return min(option.total_ms for option in options) - remaining_ms
