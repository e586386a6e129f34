"""Counts the bytes that callers have not read yet."""

from __future__ import annotations

import threading

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


class UnsentBytes:
    """The bytes that all writers of a process buffer together, at most ``limit_bytes``."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._total = 0
        self._lock = threading.Lock()

    @property
    def total(self) -> int:
        """The number of bytes that are buffered now."""
        return self._total

    @property
    def is_ample(self) -> bool:
        """Whether less than a quarter of the limit is in use, so that writers may read ahead."""
        return self._total * 4 < self._limit_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether over half of the limit is in use, so that only empty writers take more bytes."""
        return self._total * 2 > self._limit_bytes

    def add(self, count: int) -> bool:
        """Count ``count`` more bytes; ``False`` if they would exceed the limit."""
        with self._lock:
            if self._total + count > self._limit_bytes:
                return False
            self._total += count
            return True

    def remove(self, count: int) -> None:
        """Count ``count`` bytes less."""
        with self._lock:
            self._total -= count
