"""When a gateway lists the store, and when it leaves that to others."""

from __future__ import annotations

import threading
import time

import pytest
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.counted_store import CountedStore
from primroseferry_relay.control.counted_store import StoreCallLabels
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.store_watch import MAX_HELPED_S
from primroseferry_relay.control.store_watch import StartRole
from primroseferry_relay.control.store_watch import StoreWatch

from .test_background import FailingOnceStore


class RecordingStore(FailingOnceStore):
    """Notes when it was listed; its watch is never answered."""

    def __init__(self) -> None:
        super().__init__()
        self.listings = 1
        self.listed = threading.Event()

    def list_items(self, prefix: str):  # type: ignore[no-untyped-def]
        self.listed.set()
        return super().list_items(prefix)


def _start(
    store: RecordingStore, role: StartRole, is_on_duty: bool = True, is_helped: bool = False
) -> StoreWatch:
    state = ControlState(lambda _item: None)
    watch = StoreWatch(
        CountedStore(store), state, "x/", lambda: None, lambda: is_on_duty, role, lambda: is_helped
    )
    watch.start()
    return watch


@pytest.mark.parametrize("role", list(StartRole))
def test_store_is_listed_when_nobody_tells_what_it_holds(role: StartRole) -> None:
    store = RecordingStore()
    started_s = time.monotonic()
    watch = _start(store, role)
    assert store.listed.wait(role.value[1] + 5)
    assert time.monotonic() - started_s >= role.value[0]
    watch.stop()


def test_gateway_that_is_told_by_another_does_not_list() -> None:
    store = RecordingStore()
    state = ControlState(lambda _item: None)
    watch = StoreWatch(store, state, "x/", lambda: None, lambda: False, StartRole.FIRST_START)
    watch.start()
    state.apply(StoredItem("x/a", b"1", 4))
    assert not store.listed.wait(StartRole.FIRST_START.value[1] + 0.5)
    watch.stop()


def test_restarted_gateway_leaves_the_listing_to_a_peer_that_holds_items_for_a_while() -> None:
    store = RecordingStore()
    watch = _start(store, StartRole.AT_ONCE, is_helped=True)
    assert not store.listed.wait(MAX_HELPED_S * 0.7)
    assert store.listed.wait(MAX_HELPED_S * 0.3 + 5)
    watch.stop()


def test_restarted_gateway_that_nobody_helps_lists_at_once() -> None:
    """After a power loss of the whole fleet each moment without routes is an outage."""
    store = RecordingStore()
    started_s = time.monotonic()
    watch = _start(store, StartRole.AT_ONCE)
    assert store.listed.wait(5)
    assert time.monotonic() - started_s < MAX_HELPED_S * 0.7
    watch.stop()


def test_gateway_off_duty_never_asks_the_store() -> None:
    store = RecordingStore()
    watch = _start(store, StartRole.AT_ONCE, is_on_duty=False)
    assert not store.listed.wait(1.0)
    assert watch.age_ms == float("inf")
    watch.stop()


def test_calls_are_counted_by_kind_and_outcome() -> None:
    counted = CountedStore(FailingOnceStore())
    counted.watch("x/", 0, 10)
    with pytest.raises(KeyError):
        counted.list_items("x/")
    counted.list_items("x/")
    assert counted.counts() == {
        StoreCallLabels("watch", "unreachable"): 1,
        StoreCallLabels("list", "answered"): 1,
    }
