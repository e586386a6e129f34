"""Counts the calls to the store by call and outcome."""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from result import Result

    from .metadata_store import Changes
    from .metadata_store import LeaseId
    from .metadata_store import Listing
    from .metadata_store import MetadataStore
    from .metadata_store import StoreFailure

T = TypeVar("T")
ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class StoreCallLabels:
    """Labels of a call to the store: the name of the call and its outcome."""

    call: str
    outcome: str


class CountedStore:
    """Forwards calls to a store and counts them. A listing of several pages counts once."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store
        self._counts: Counter[StoreCallLabels] = Counter()
        self._lock = threading.Lock()

    def counts(self) -> Mapping[StoreCallLabels, int]:
        """Return the number of calls so far by call and outcome."""
        with self._lock:
            return dict(self._counts)

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Return all items below a prefix."""
        return self._counted("list", lambda: self._store.list_items(prefix))

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        """Wait up to ``wait_ms`` for changes after revision ``after``."""
        return self._counted("watch", lambda: self._store.watch(prefix, after, wait_ms))

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        """Return a new lease that expires after ``ttl_ms`` unless renewed."""
        return self._counted("grant-lease", lambda: self._store.grant_lease(ttl_ms))

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """Renew a lease, which postpones its expiry."""
        return self._counted("renew-lease", lambda: self._store.renew_lease(lease))

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        """End a lease and remove its keys."""
        return self._counted("end-lease", lambda: self._store.end_lease(lease))

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        """Write a key under a lease unconditionally and return the revision."""
        return self._counted("put", lambda: self._store.put(key, value, lease))

    def _counted(
        self, name: str, call: Callable[[], Result[T, StoreFailure]]
    ) -> Result[T, StoreFailure]:
        result = call()
        outcome = result.err_value.value if isinstance(result, Err) else ANSWERED
        with self._lock:
            self._counts[StoreCallLabels(name, outcome)] += 1
        return result
