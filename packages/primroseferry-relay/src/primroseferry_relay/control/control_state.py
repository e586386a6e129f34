"""Every item that the operators and the endpoints keep in the store, as far as it is known here.

Items come from the store's listings and watches, or from a peer. Revisions order them: an older one
never replaces a newer one, wherever it came from.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from .metadata_store import StoredItem

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


class ControlState:
    """Items by key. ``on_change`` gets each item that is new, in the order of their arrival."""

    def __init__(self, on_change: Callable[[StoredItem], None]) -> None:
        self._on_change = on_change
        self._items: dict[str, StoredItem] = {}
        self._revision = 0
        self._lock = threading.RLock()

    @property
    def revision(self) -> int:
        """The highest revision of any item, removals included."""
        return self._revision

    def apply(self, item: StoredItem) -> bool:
        """Take in one item; ``False`` where it is not newer than what is held."""
        with self._lock:
            held = self._items.get(item.key)
            if held is not None and held.revision >= item.revision:
                return False
            self._items[item.key] = item
            self._revision = max(self._revision, item.revision)
            self._on_change(item)
            return True

    def apply_listing(self, prefix: str, items: Iterable[StoredItem], as_of: int) -> None:
        """Take in all items below a prefix as they stood at ``as_of``; others were removed."""
        listed = {item.key: item for item in items}
        with self._lock:
            for item in listed.values():
                self.apply(item)
            for key, held in list(self._items.items()):
                is_missing = key.startswith(prefix) and key not in listed
                if is_missing and held.value is not None and held.revision <= as_of:
                    self._remove(held, as_of)

    def items_after(self, revision: int) -> list[StoredItem]:
        """Return the items, removals included, that are newer than a revision."""
        with self._lock:
            newer = [item for item in self._items.values() if item.revision > revision]
        return sorted(newer, key=lambda item: item.revision)

    def _remove(self, held: StoredItem, as_of: int) -> None:
        """Note a removal of which only the listing tells: it came after the held change."""
        removal = StoredItem(held.key, None, held.revision)
        self._items[held.key] = removal
        self._on_change(removal)
