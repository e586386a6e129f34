"""Background threads continue after an unexpected exception."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import primroseferry_relay.control.registration as registration
from primroseferry_core.ids import InstanceId
from primroseferry_policy.quarantine import Quarantine
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import LeaseId
from primroseferry_relay.control.metadata_store import Listing
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.metadata_store import StoreFailure
from primroseferry_relay.control.registration import Registration
from primroseferry_relay.control.store_watch import StoreWatch
from primroseferry_relay.endpoints.request_limits import RequestLimits
from primroseferry_relay.ingress.listener import Listener
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
from .relay_harness import RelayHarness
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of

if TYPE_CHECKING:
    import socket

    import pytest
    from primroseferry_relay.control.metadata_store import Changes
    from primroseferry_transport.curl_loop import CurlLoop
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


class FailingOnce:
    """A condition that raises an unexpected exception once and is true from then on."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self) -> bool:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("injected")
        return True


def test_registration_continues_after_a_failure_to_tell_its_duty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    registered = threading.Event()

    class Store(FailingOnceStore):
        def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
            registered.set()
            return Err(StoreFailure.UNREACHABLE)

    monkeypatch.setattr(registration, "INITIAL_WAIT_S", 0.01)
    running = Registration(Store(), InstanceId("g-1"), "127.0.0.1:1", FailingOnce())
    running.start()
    assert registered.wait(5)
    running.stop()


def test_store_watch_continues_after_a_failure_to_tell_its_duty() -> None:
    listed = threading.Event()
    store = FailingOnceStore()
    store.listings = 1
    state = ControlState(lambda _item: listed.set())
    watch = StoreWatch(store, state, "x/", lambda: None, FailingOnce())
    watch.start()
    assert listed.wait(8)
    watch.stop()


def test_store_watch_continues_after_a_failure_before_its_first_listing() -> None:
    listed = threading.Event()
    store = FailingOnceStore()
    store.listings = 1
    state = ControlState(lambda _item: listed.set())
    watch = StoreWatch(
        store, state, "x/", lambda: None, lambda: True, can_fetch_from_peer=FailingOnce()
    )
    watch.start()
    assert listed.wait(8)
    watch.stop()


def test_listener_continues_to_accept_after_a_failure(
    loop: CurlLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    admit = Listener._admit
    has_failed = threading.Event()

    def fail_once(listener: Listener, connection: socket.socket) -> None:
        monkeypatch.setattr(Listener, "_admit", admit)
        has_failed.set()
        raise RuntimeError("injected")

    monkeypatch.setattr(Listener, "_admit", fail_once)
    harness = RelayHarness(loop, [fixed_answer_endpoint()])
    harness.connect().close()
    assert has_failed.wait(5)

    assert status_of(harness.call("/safe/")) == 200
    harness.listener.stop_accepting()
