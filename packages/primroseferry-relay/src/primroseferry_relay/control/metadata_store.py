"""The interface to the platform's metadata store, independent of its wire encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import NewType
from typing import Protocol

if TYPE_CHECKING:
    from result import Result

LeaseId = NewType("LeaseId", str)


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key, its value and the revision of its last change; ``None`` marks a removed key."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix, and the store's revision when the listing began."""

    items: tuple[StoredItem, ...]
    as_of: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order, and the revision after which the next watch continues."""

    items: tuple[StoredItem, ...]
    as_of: int


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
