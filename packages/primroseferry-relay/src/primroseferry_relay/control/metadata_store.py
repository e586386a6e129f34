"""What the product asks of the platform's store, whatever its encoding on the wire."""

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
    """A key with its value and the revision of its last change; ``value=None``: removed."""

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
    """Changes in their order, and the revision from which to go on."""

    items: tuple[StoredItem, ...]
    as_of: int


class StoreFailure(Enum):
    """Why a call brought nothing. Only ``UNKNOWN`` may have taken effect."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    HISTORY_LOST = "history-lost"
    NO_LEASE = "no-lease"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class MetadataStore(Protocol):
    """The calls of the store. None raises for an outage."""

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Return everything below a prefix, page by page."""

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        """Wait for changes after a revision; none within the time is an empty answer."""

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Return a lease that ends unless it is renewed."""

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease; ``NO_LEASE`` where it has ended."""

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease; its keys are removed."""

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        """Write a key whatever it holds; return the revision."""
