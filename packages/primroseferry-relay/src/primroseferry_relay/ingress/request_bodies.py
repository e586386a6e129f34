"""The bytes of request bodies that a gateway keeps at one time, over all connections."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

DEFAULT_MAX_BYTES = 32 * 1024 * 1024


class RequestBodies:
    """Decides which request bodies may grow.

    Beyond ``max_bytes`` only those may that are smaller than an equal share of it. Callers that
    send much or that stop in the midst of a large body therefore cannot keep small requests out,
    and all bodies together stay below twice ``max_bytes``.

    >>> bodies = RequestBodies(max_bytes=100)
    >>> bodies.resize("large", 90), bodies.resize("small", 20), bodies.resize("large", 95)
    (True, True, False)
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Hashable, int] = {}
        self._total_bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """The number of bytes that are kept now."""
        return self._total_bytes

    def resize(self, connection: Hashable, size_bytes: int) -> bool:
        """Record how much of a body was read; ``False`` if it must be refused."""
        with self._lock:
            total_bytes = self._total_bytes + size_bytes - self._sizes.get(connection, 0)
            count = len(self._sizes) + (connection not in self._sizes)
            is_small = size_bytes * count <= self._max_bytes
            if total_bytes > self._max_bytes * (2 if is_small else 1):
                return False
            self._total_bytes = total_bytes
            self._sizes[connection] = size_bytes
            return True

    def release(self, connection: Hashable) -> None:
        """Count the body of a connection no more."""
        with self._lock:
            self._total_bytes -= self._sizes.pop(connection, 0)
