"""Background threads continue after an unexpected exception."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from primroseferry_core.ids import InstanceId
from primroseferry_policy.quarantine import Quarantine
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import LeaseId
from primroseferry_relay.control.metadata_store import Listing
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.metadata_store import StoreFailure
from primroseferry_relay.control.store_watch import StoreWatch
from primroseferry_relay.endpoints.request_limits import RequestLimits
from primroseferry_relay.membership.exchange import LocalState
from primroseferry_relay.membership.peer import ControlStatus
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.membership.reporter import Reporter
from primroseferry_relay.membership.request_permits import RequestPermits
from primroseferry_relay.membership.stream_sync import StreamSync
from primroseferry_relay.streams.stream_origins import StreamOrigins
from result import Err
from result import Ok

from .fleet_simulation import RecordingFeed
from .peer_samples import NORTH
from .peer_samples import PEER

if TYPE_CHECKING:
    from primroseferry_relay.control.metadata_store import Changes
    from result import Result


class FailingOnceStore:
    """Raises an unexpected exception at the first listing and answers the next."""

    def __init__(self) -> None:
        self.listings = 0

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        self.listings += 1
        if self.listings == 1:
            raise KeyError("items")
        return Ok(Listing((StoredItem(f"{prefix}a", b"1", 4),), 4))

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)


def test_store_watch_continues_after_a_failure() -> None:
    listed = threading.Event()
    state = ControlState(lambda _item: listed.set())
    watch = StoreWatch(FailingOnceStore(), state, "x/", lambda: None, lambda: True)
    watch.start()
    assert listed.wait(8)
    watch.stop()


def test_reporter_continues_after_a_failure() -> None:
    ticks: list[int] = []
    continued = threading.Event()

    class FailingOnceFeed(RecordingFeed):
        def tick(self) -> None:
            ticks.append(1)
            if len(ticks) == 1:
                raise RuntimeError("unexpected")
            continued.set()

    peers = PeerTable(InstanceId("g-1"), NORTH)
    reporter = Reporter(
        "127.0.0.1",
        0,
        peers,
        lambda _address: LocalState(PEER, ControlStatus(0, 0.0), {}),
        dict,
        FailingOnceFeed(),
        Quarantine(),
        RequestPermits(RequestLimits(), peers),
        StreamSync(StreamOrigins(), peers),
    )
    reporter.start()
    assert continued.wait(8)
    reporter.stop()
