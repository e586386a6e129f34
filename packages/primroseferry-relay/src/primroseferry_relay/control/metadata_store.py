"""The interface to the platform's metadata store, independent of its wire encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import NewType
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

LeaseId = NewType("LeaseId", str)


class StorePosition(NamedTuple):
    """A point in the store's history; later points are greater.

    A store that returns from an older copy gives out lower revisions again, in a higher ``era``.
    The era of a store that names none is 0. ``step`` numbers what listings at one revision reveal,
    such as removals, whose own revisions are not known; it is 0 for a change that the store named.

    >>> StorePosition(2, 26) > StorePosition(1, 83)
    True
    """

    era: int
    revision: int
    step: int = 0


START = StorePosition(0, 0)


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key, its value and the revision of its last change; ``None`` marks a removed key.

    ``era`` is the store's era when it answered with the item, ``step`` as in ``StorePosition``.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = 0
    step: int = 0

    @property
    def position(self) -> StorePosition:
        """The position of the change in the store's history."""
        return StorePosition(self.era, self.revision, self.step)


@dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix, and the store's revision and era when the listing began."""

    items: tuple[StoredItem, ...]
    as_of: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order, the revision after which the next watch continues, and the store's era."""

    items: tuple[StoredItem, ...]
    as_of: int
    era: int = 0


class StoreFailure(Enum):
    """Why a call failed. Only a call that ended in ``UNKNOWN`` may have taken effect."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history-lost"
    NO_LEASE = "no-lease"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class MetadataStore(Protocol):
    """The calls of the store. They return failures such as outages instead of raising."""

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Return all items below a prefix, fetched page by page."""

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        """Wait up to ``wait_ms`` for changes after revision ``after``.

        If there are none, the result is empty and not a failure.
        """

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Return a lease that expires after ``ttl_ms`` unless it is renewed."""

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease; fails with ``NO_LEASE`` if it has already ended."""

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease, which removes its keys."""

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        """Write a key under a lease whatever its current value; return the new revision."""
