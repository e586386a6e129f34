"""This gateway's copy of the control items that operators and endpoints keep in the store.

Items come from the store's listings and watches or from a peer. Revisions order them: an older item
never replaces a newer one, whatever its source.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from .metadata_store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable


class ControlState:
    """Items by key.

    ``on_change`` is called with each new item, in the order of arrival, and ``on_listing`` after
    each complete listing with its prefix and keys.
    """

    def __init__(
        self,
        on_change: Callable[[StoredItem], None],
        on_listing: Callable[[str, Collection[str]], None] = lambda _prefix, _keys: None,
    ) -> None:
        self._on_change = on_change
        self._on_listing = on_listing
        self._items: dict[str, StoredItem] = {}
        self._revision = 0
        self._lock = threading.RLock()

    @property
    def revision(self) -> int:
        """The highest revision of any item, removals included."""
        return self._revision

    def apply(self, item: StoredItem) -> bool:
        """Store one item; return ``False`` if it is not newer than the current one."""
        with self._lock:
            current = self._items.get(item.key)
            if current is not None and current.revision >= item.revision:
                return False
            self._items[item.key] = item
            self._revision = max(self._revision, item.revision)
            self._on_change(item)
            return True

    def apply_listing(self, prefix: str, items: Iterable[StoredItem], as_of: int) -> None:
        """Apply a complete listing of a prefix at revision ``as_of``.

        Items below the prefix that are not listed and not newer than ``as_of`` are removed.
        """
        listed = {item.key: item for item in items}
        with self._lock:
            for item in listed.values():
                self.apply(item)
            for key, current in list(self._items.items()):
                is_missing = key.startswith(prefix) and key not in listed
                if is_missing and current.value is not None and current.revision <= as_of:
                    self._remove(current, as_of)
            self._on_listing(prefix, listed.keys())

    def items_after(self, revision: int) -> list[StoredItem]:
        """Return the items, removals included, that are newer than a revision."""
        with self._lock:
            newer = [item for item in self._items.values() if item.revision > revision]
        return sorted(newer, key=lambda item: item.revision)

    def _remove(self, current: StoredItem, as_of: int) -> None:
        """Record a removal that is known only from a listing.

        The removal happened after the current change, at an unknown revision, so the record keeps
        the revision of that change.
        """
        removal = StoredItem(current.key, None, current.revision)
        self._items[current.key] = removal
        self._on_change(removal)
