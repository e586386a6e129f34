"""The lease of a gateway's key in the store."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from primroseferry_core.ids import InstanceId
from primroseferry_relay.control.metadata_store import LeaseId
from primroseferry_relay.control.registration import Registration
from result import Ok

from .test_background import FailingOnceStore

if TYPE_CHECKING:
    from primroseferry_relay.control.metadata_store import StoreFailure
    from result import Result

LEASE = LeaseId("lease-1")
TIMEOUT_S = 8.0


class SlowStore(FailingOnceStore):
    """Answers a write only after ``continue_write`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_writing = threading.Event()
        self.continue_write = threading.Event()
        self.has_ended = threading.Event()
        self.ended: list[LeaseId] = []

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        return Ok(LEASE)

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        self.is_writing.set()
        self.continue_write.wait(TIMEOUT_S)
        return Ok(1)

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        self.ended.append(lease)
        self.has_ended.set()
        return Ok(None)


def test_lease_that_is_granted_during_the_stop_is_ended() -> None:
    store = SlowStore()
    registration = Registration(store, InstanceId("g-1"), "10.0.0.1:82", lambda: True)
    registration.start()
    assert store.is_writing.wait(TIMEOUT_S)
    registration.stop()
    store.continue_write.set()
    assert store.has_ended.wait(TIMEOUT_S)
    assert store.ended == [LEASE]
