"""A metadata store for tests that keeps what is put and serves neither listings nor watches."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from primroseferry_relay.control.metadata_store import LeaseId
from primroseferry_relay.control.metadata_store import Listing
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.metadata_store import StoreFailure
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_relay.control.metadata_store import Changes
    from result import Result


class InMemoryStore:
    """Keeps what is put, and refuses the next ``refused`` lease requests."""

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.calls = 0
        self.refused = 0
        self.called = threading.Event()

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        self.calls += 1
        self.called.set()
        if self.refused > 0:
            self.refused -= 1
            return Err(StoreFailure.REFUSED)
        return Ok(LeaseId("1"))

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        self.calls += 1
        self.items[key] = StoredItem(key, value, self.calls)
        return Ok(self.calls)

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)


class ListedStore(InMemoryStore):
    """Lists what was put."""

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        self.calls += 1
        items = tuple(item for key, item in self.items.items() if key.startswith(prefix))
        return Ok(Listing(items, self.calls))
