from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import START
from primroseferry_relay.control.metadata_store import StoredItem


def test_apply_rejects_an_older_revision() -> None:
    seen: list[StoredItem] = []
    state = ControlState(seen.append)
    newer = StoredItem("op/a", b"2", 7)
    assert state.apply(newer)
    assert not state.apply(StoredItem("op/a", b"1", 5))
    assert not state.apply(newer)
    assert seen == [newer]
    assert state.revision == 7


def test_listing_removes_unlisted_items_below_its_prefix() -> None:
    seen: list[StoredItem] = []
    state = ControlState(seen.append)
    state.apply(StoredItem("servers/a", b"1", 3))
    state.apply(StoredItem("op/a", b"1", 4))
    state.apply_listing("servers/", [StoredItem("servers/b", b"1", 6)], as_of=9)
    assert [(item.key, item.value) for item in seen[2:]] == [
        ("servers/b", b"1"),
        ("servers/a", None),
    ]


def test_listing_keeps_items_newer_than_itself() -> None:
    seen: list[StoredItem] = []
    state = ControlState(seen.append)
    state.apply(StoredItem("servers/a", b"1", 12))
    state.apply_listing("servers/", [], as_of=9)
    assert len(seen) == 1


def test_items_after_bring_a_peer_to_the_same_state() -> None:
    state = ControlState(lambda _item: None)
    state.apply(StoredItem("a", b"1", 1))
    state.apply(StoredItem("b", b"1", 2))
    state.apply(StoredItem("a", None, 3))
    peer = ControlState(lambda _item: None)
    for item in state.items_after(peer.position):
        peer.apply(item)
    assert peer.items_after(START) == state.items_after(START)


@given(st.permutations(range(1, 9)))
def test_newest_value_wins_in_any_order_of_arrival(order: list[int]) -> None:
    state = ControlState(lambda _item: None)
    for revision in order:
        state.apply(StoredItem("routes", str(revision).encode(), revision))
    assert state.items_after(START) == [StoredItem("routes", b"8", 8)]
