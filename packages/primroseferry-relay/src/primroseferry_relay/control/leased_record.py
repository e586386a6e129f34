"""Writes a key under a lease of its own, which removes the key when it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from .metadata_store import MetadataStore
    from .metadata_store import StoreFailure


def put_leased(store: MetadataStore, key: str, value: bytes, ttl_ms: int) -> StoreFailure | None:
    """Write ``key`` for ``ttl_ms``; return why it failed, ``None`` if it is written."""
    match store.grant_lease(ttl_ms):
        case Err(failure):
            return failure
        case Ok(lease):
            written: Result[int, StoreFailure] = store.put(key, value, lease)
            return written.err()
    return None
