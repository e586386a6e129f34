"""When a gateway lists the store itself, and when it waits for its peers."""

from __future__ import annotations

import threading
import time

import pytest
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.counted_store import CountedStore
from primroseferry_relay.control.counted_store import StoreCallLabels
from primroseferry_relay.control.metadata_store import Changes
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.store_watch import MAX_PEER_FETCH_WAIT_S
from primroseferry_relay.control.store_watch import StartDelay
from primroseferry_relay.control.store_watch import StoreWatch
from primroseferry_relay.control.stream_records import STREAM_PREFIX
from result import Ok

from .test_background import FailingOnceStore


class RecordingStore(FailingOnceStore):
    """Records the first listing; every watch fails as unreachable."""

    def __init__(self) -> None:
        super().__init__()
        self.listings = 1
        self.listed = threading.Event()

    def list_items(self, prefix: str):  # type: ignore[no-untyped-def]
        self.listed.set()
        return super().list_items(prefix)


def _start(
    store: RecordingStore,
    start_delay: StartDelay,
    is_on_duty: bool = True,
    can_fetch_from_peer: bool = False,
) -> StoreWatch:
    state = ControlState(lambda _item: None)
    watch = StoreWatch(
        CountedStore(store),
        state,
        "x/",
        lambda: None,
        lambda: is_on_duty,
        start_delay,
        lambda: can_fetch_from_peer,
    )
    watch.start()
    return watch


@pytest.mark.parametrize("start_delay", list(StartDelay))
def test_gateway_without_peers_lists_the_store_after_its_start_delay(
    start_delay: StartDelay,
) -> None:
    store = RecordingStore()
    started_s = time.monotonic()
    watch = _start(store, start_delay)
    assert store.listed.wait(start_delay.value[1] + 5)
    assert time.monotonic() - started_s >= start_delay.value[0]
    watch.stop()


def test_gateway_that_received_items_from_a_peer_does_not_list() -> None:
    store = RecordingStore()
    state = ControlState(lambda _item: None)
    watch = StoreWatch(store, state, "x/", lambda: None, lambda: False, StartDelay.FIRST_START)
    watch.start()
    state.apply(StoredItem("x/a", b"1", 4))
    assert not store.listed.wait(StartDelay.FIRST_START.value[1] + 0.5)
    watch.stop()


def test_restarted_gateway_waits_for_a_peer_with_items_before_it_lists() -> None:
    store = RecordingStore()
    watch = _start(store, StartDelay.IMMEDIATE, can_fetch_from_peer=True)
    assert not store.listed.wait(MAX_PEER_FETCH_WAIT_S * 0.7)
    assert store.listed.wait(MAX_PEER_FETCH_WAIT_S * 0.3 + 5)
    watch.stop()


def test_restarted_gateway_without_a_peer_with_items_lists_at_once() -> None:
    """When an entire fleet restarts after a power loss, time without routes is an outage."""
    store = RecordingStore()
    started_s = time.monotonic()
    watch = _start(store, StartDelay.IMMEDIATE)
    assert store.listed.wait(5)
    assert time.monotonic() - started_s < MAX_PEER_FETCH_WAIT_S * 0.7
    watch.stop()


def test_gateway_off_duty_never_calls_the_store() -> None:
    store = RecordingStore()
    watch = _start(store, StartDelay.IMMEDIATE, is_on_duty=False)
    assert not store.listed.wait(1.0)
    assert watch.age_ms == float("inf")
    watch.stop()


def test_calls_are_counted_by_name_and_outcome() -> None:
    counted = CountedStore(FailingOnceStore())
    counted.watch("x/", 0, 10)
    with pytest.raises(KeyError):
        counted.list_items("x/")
    counted.list_items("x/")
    assert counted.counts() == {
        StoreCallLabels("watch", "unreachable"): 1,
        StoreCallLabels("list", "answered"): 1,
    }


@pytest.mark.parametrize(
    ("key", "pauses"),
    [("servers/e-1", 0), (f"{STREAM_PREFIX}run-1", 1)],
    ids=["known-item", "stream-record"],
)
def test_watch_pauses_after_stream_records_only(
    monkeypatch: pytest.MonkeyPatch, key: str, pauses: int
) -> None:
    class ChangingStore(FailingOnceStore):
        """Answers one watch with an item that a peer has supplied before."""

        def watch(self, prefix: str, after: int, wait_ms: int):  # type: ignore[no-untyped-def]
            return Ok(Changes((StoredItem(key, b"{}", 5),), 5))

    state = ControlState(lambda _item: None)
    state.apply(StoredItem(key, b"{}", 5))
    slept_s: list[float] = []
    monkeypatch.setattr(time, "sleep", slept_s.append)
    watch = StoreWatch(ChangingStore(), state, "", lambda: None, lambda: True)
    assert watch._watch(4) == 5
    assert len(slept_s) == pauses
