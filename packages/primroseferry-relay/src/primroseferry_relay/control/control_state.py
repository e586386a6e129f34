"""This gateway's copy of the control items that operators and endpoints keep in the store.

Items come from the store's listings and watches or from a peer. Their positions in the store's
history order them: an older item never replaces a newer one, whatever its source.

A store that returns from an older copy begins a new era. Its first listing has old values of items
that were written since the copy, and lacks others, until their writers have written them again.
What was known before therefore stays in force for ``REWRITE_GRACE_S``, except for items that were
written in the new era. Then a listing is taken as it is.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .metadata_store import START
from .metadata_store import StoredItem
from .metadata_store import StorePosition
from .stream_records import is_stream_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

# Operators and endpoints have written their items again about two seconds after the store's return.
REWRITE_GRACE_S = 2.5


@dataclass(frozen=True, slots=True)
class PeerItems:
    """What a gateway tells a peer: the items newer than the peer's position, or all of them.

    ``position`` is the gateway's. ``is_listing`` says that these are all its items, so that others
    up to the position were removed, ``is_confirmed`` that it keeps none of an earlier era.
    """

    items: tuple[StoredItem, ...]
    position: StorePosition
    is_listing: bool
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class _Listed:
    """The last listing of a prefix: its items by key, its revision and era."""

    items: dict[str, StoredItem]
    as_of: int
    era: int


class ControlState:
    """Items by key.

    ``on_change`` is called with each new item, in the order of arrival, and ``on_listing`` after
    each complete listing with its prefix and keys.
    """

    def __init__(
        self,
        on_change: Callable[[StoredItem], None],
        on_listing: Callable[[str, Collection[str]], None] = lambda _prefix, _keys: None,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock_s = clock_s
        self._on_change = on_change
        self._on_listing = on_listing
        self._items: dict[str, StoredItem] = {}
        self._position = START
        self._removals_known_from = START
        self._listed: dict[str, _Listed] = {}  # by prefix
        self._era_since_s = float("-inf")
        # Keys whose items are of an earlier era and were not confirmed in the current one.
        self._unconfirmed: set[str] = set()
        self._lock = threading.RLock()

    @property
    def position(self) -> StorePosition:
        """The latest position of any item, removals included."""
        return self._position

    @property
    def revision(self) -> int:
        """The revision of the latest position."""
        return self._position.revision

    @property
    def era(self) -> int:
        """The era of the latest position."""
        return self._position.era

    @property
    def has_unconfirmed(self) -> bool:
        """Whether any item of an earlier era is kept until it is written again."""
        return bool(self._unconfirmed)

    @property
    def must_list_again(self) -> bool:
        """Whether the items of an earlier era have to be compared with a listing now."""
        with self._lock:
            return bool(self._unconfirmed) and self._is_settled

    def enter_era(self, era: int) -> None:
        """Keep the items of earlier eras until they are written again, if ``era`` is a new one."""
        with self._lock:
            if era <= self.era:
                return
            previous, is_first = self.era, self._position == START
            self._position = StorePosition(era, 0)
            if is_first:
                return
            self._era_since_s = self._clock_s()
            self._unconfirmed = set(self._items)
        log_event(Event.STORE_ERA_CHANGED, era=era, previous=previous, kept=len(self._items))

    def apply(self, item: StoredItem) -> bool:
        """Store one item; return ``False`` if it is not newer than the current one.

        An item that an own listing since its change lacked was removed, and peers are told so.
        Records of streams are not stored: each gateway reads them itself when it needs them.
        """
        if is_stream_record(item.key):
            return False
        with self._lock:
            self.enter_era(item.era)
            item = self._as_listed(item)
            current = self._items.get(item.key)
            if current is not None and current.position >= item.position:
                return False
            self._put(item)
            return True

    def apply_fetched(self, fetched: PeerItems) -> int:
        """Store the items that a peer sent; return how many of them are new here."""
        with self._lock:
            self.enter_era(fetched.position.era)
            applied = sum(self.apply(item) for item in fetched.items)
            if fetched.is_listing:
                self._drop_missing(fetched)
            return applied

    def apply_listing(
        self, prefix: str, items: Iterable[StoredItem], as_of: int, era: int = 0
    ) -> bool:
        """Apply a complete listing of a prefix at revision ``as_of`` of an era.

        Items below the prefix that are not listed and not newer than ``as_of`` are removed. An item
        whose change is known from the listing only has the position of the listing, so that peers
        receive it. Return ``False`` for a listing of an earlier era, which is ignored.
        """
        listed = {item.key: item for item in items}
        with self._lock:
            if era < self.era:
                return False
            self._removals_known_from = max(self._removals_known_from, StorePosition(era, as_of))
            self.enter_era(era)
            step = self._next_step(era, as_of)
            stored = {key: item for key, item in listed.items() if not is_stream_record(key)}
            self._listed[prefix] = _Listed(stored, as_of, era)
            for item in listed.values():
                if item.key not in self._unconfirmed or self._is_rewritten(item):
                    self.apply(item)
                elif self._is_settled:
                    self._put(StoredItem(item.key, item.value, as_of, era, step))
            for key, current in list(self._items.items()):
                if not key.startswith(prefix) or key in listed:
                    continue
                # A peer may lack a removal of an earlier era, so it is repeated in this one.
                is_known_removal = current.value is None and current.era == era
                is_kept = key in self._unconfirmed and not self._is_settled
                if current.position <= (era, as_of, step) and not (is_known_removal or is_kept):
                    self._put(StoredItem(key, None, as_of, era, step))
            if self._is_settled:
                self._unconfirmed = {key for key in self._unconfirmed if not key.startswith(prefix)}
            self._on_listing(prefix, listed.keys())
            return True

    def confirm(self, position: StorePosition, keys: Collection[str]) -> None:
        """Remove the items kept from earlier eras that are not among ``keys``.

        ``keys`` are those that a peer at ``position`` has of this era, after it compared its items
        with the store. An own listing that is newer than the peer's position decides instead: the
        peer may not know what was written since.
        """
        with self._lock:
            if position.era != self.era or not self._is_settled:
                return
            for key in self._unconfirmed - set(keys):
                removal = StoredItem(key, None, 0, position.era)
                is_listed = self._is_listed_after(key, position)
                self._put(self._as_listed(removal) if is_listed else removal)

    def for_peer(self, after: StorePosition) -> PeerItems:
        """Return what a peer at a position lacks.

        These are all items if something may have been removed since then that this gateway never
        knew: what was removed before a listing is not known.
        """
        with self._lock:
            is_listing = after < self._removals_known_from
            items = self.items_after(START if is_listing else after)
            return PeerItems(tuple(items), self._position, is_listing, not self._unconfirmed)

    def items_after(self, position: StorePosition) -> list[StoredItem]:
        """Return the items, removals included, that are newer than a position."""
        with self._lock:
            newer = [item for item in self._items.values() if item.position > position]
        return sorted(newer, key=lambda item: item.position)

    def _drop_missing(self, listing: PeerItems) -> None:
        """Remove the items up to a peer's position that its listing lacks or knows as removed.

        Items kept from an earlier era stay until they are confirmed. So do those of which the peer
        itself keeps one of an earlier era, since it may not know of their removal.
        """
        self._removals_known_from = max(self._removals_known_from, listing.position)
        peers_items = {item.key: item for item in listing.items}
        for key, item in list(self._items.items()):
            if key in self._unconfirmed or item.value is None or item.position > listing.position:
                continue
            peers_item = peers_items.get(key)
            if peers_item is not None and peers_item.era < item.era:
                self._unconfirmed.add(key)
            elif peers_item is None or peers_item.value is None:
                era, revision, step = item.position
                self._put(StoredItem(key, None, revision, era, step + 1))

    @property
    def _is_settled(self) -> bool:
        return self._clock_s() - self._era_since_s >= REWRITE_GRACE_S

    def _is_rewritten(self, item: StoredItem) -> bool:
        """Whether a listed item is no older copy of the one that is kept from an earlier era."""
        return item.revision >= self._items[item.key].revision

    def _is_listed_after(self, key: str, position: StorePosition) -> bool:
        return any(
            key.startswith(prefix) and (listed.era, listed.as_of) > position[:2]
            for prefix, listed in self._listed.items()
        )

    def _as_listed(self, item: StoredItem) -> StoredItem:
        """Return an item, or what a listing since its change says of its key."""
        for prefix, listed in self._listed.items():
            is_since = listed.era == item.era and listed.as_of >= item.revision
            if not is_since or not item.key.startswith(prefix):
                continue
            found = listed.items.get(item.key)
            if found is None and item.value is not None:
                step = self._next_step(listed.era, listed.as_of)
                return StoredItem(item.key, None, listed.as_of, listed.era, step)
            if found is not None and found.position > item.position:
                return found
        return item

    def _next_step(self, era: int, revision: int) -> int:
        return self._position.step + 1 if self._position[:2] == (era, revision) else 1

    def _put(self, item: StoredItem) -> None:
        self._items[item.key] = item
        if item.era < self.era:
            self._unconfirmed.add(item.key)
        else:
            self._unconfirmed.discard(item.key)
        self._position = max(self._position, item.position)
        self._on_change(item)
