"""A bounded map that evicts its oldest entry."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


class BoundedMap(OrderedDict[K, V]):
    """Keeps the ``max_entries`` entries that were put last; putting a key again renews it.

    >>> recent = BoundedMap(2)
    >>> for number in (1, 2, 1, 3):
    ...     recent.put(number, str(number))
    >>> list(recent)
    [1, 3]
    """

    def __init__(self, max_entries: int) -> None:
        super().__init__()
        self._max_entries = max_entries

    def put(self, key: K, value: V) -> None:
        """Put an entry as the newest and evict the oldest one above the limit."""
        self.pop(key, None)
        self[key] = value
        if len(self) > self._max_entries:
            self.popitem(last=False)
