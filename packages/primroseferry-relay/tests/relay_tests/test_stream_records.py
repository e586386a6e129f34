"""Records of streams in the store outlive all gateways and reach no gateway's control items."""

from __future__ import annotations

import json

import pytest
from primroseferry_core.ids import IncarnationId
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import START
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.stream_records import MAX_BYTES_PER_S
from primroseferry_relay.control.stream_records import MAX_STREAMS
from primroseferry_relay.control.stream_records import MIN_INTERVAL_S
from primroseferry_relay.control.stream_records import READ_AGAIN_S
from primroseferry_relay.control.stream_records import STREAM_PREFIX
from primroseferry_relay.control.stream_records import StreamRecords
from primroseferry_relay.endpoints.software_version import UNKNOWN_VERSION
from primroseferry_relay.endpoints.software_version import VersionHash
from primroseferry_relay.streams.stream_origins import StreamKey
from primroseferry_relay.streams.stream_origins import StreamOrigin
from primroseferry_relay.streams.stream_origins import StreamOrigins

from .in_memory_store import InMemoryStore
from .in_memory_store import ListedStore
from .peer_samples import Clock

V1, V2 = VersionHash(11), VersionHash(22)


class Gateway:
    """The records of one gateway and the origins that it knows."""

    def __init__(self, store: InMemoryStore, name: str, clock: Clock) -> None:
        self.clock = clock
        self.origins = StreamOrigins(clock)
        self.records = StreamRecords(store, self.origins, IncarnationId(name), clock)

    def write(self) -> None:
        self.clock.now_s += 10
        self.records.tick()
        assert self.records._write_lock.acquire(timeout=5)
        self.records._write_lock.release()


def origin(key: int, version: VersionHash = V1) -> StreamOrigin:
    return StreamOrigin(StreamKey(key), version)


def test_streams_are_found_after_all_gateways_were_killed() -> None:
    store, clock = ListedStore(), Clock()
    first, second = Gateway(store, "run-1", clock), Gateway(store, "run-2", clock)
    for key in range(1, 50):
        first.origins.note(origin(key, V1 if key % 2 else V2))
    second.origins.note(origin(2**63 + 99, V2), is_own=False)
    first.write()
    second.write()
    later = Gateway(store, "run-3", clock)
    assert later.records.find(StreamKey(7)) == origin(7, V1)
    assert later.records.find(StreamKey(8)) == origin(8, V2)
    assert later.records.find(StreamKey(2**63 + 99)) == origin(2**63 + 99, V2)
    assert later.records.find(StreamKey(77)) is None


def test_record_of_an_earlier_run_is_not_overwritten() -> None:
    store, clock = ListedStore(), Clock()
    before = Gateway(store, "run-1", clock)
    before.origins.note(origin(7))
    before.write()
    after = Gateway(store, "run-2", clock)
    after.origins.note(origin(8))
    after.write()
    assert after.records.find(StreamKey(7)) == origin(7)


def test_complete_stream_is_not_recorded() -> None:
    store, clock = ListedStore(), Clock()
    gateway = Gateway(store, "run-1", clock)
    gateway.origins.note(origin(7))
    gateway.origins.note(origin(8))
    gateway.origins.complete(StreamKey(7))
    gateway.write()
    assert gateway.records.find(StreamKey(7)) is None
    assert gateway.records.find(StreamKey(8)) == origin(8)


def test_report_that_comes_again_does_not_make_a_stream_incomplete() -> None:
    origins = StreamOrigins(Clock())
    origins.note(origin(7), is_own=False)
    origins.complete(StreamKey(7))
    origins.note(origin(7), is_own=False)
    assert origins.incomplete() == []
    assert origins.find(StreamKey(7)) == origin(7)


def test_streams_that_records_dispute_are_of_an_unknown_version() -> None:
    store, clock = ListedStore(), Clock()
    for name, version in (("run-1", V1), ("run-2", V2)):
        gateway = Gateway(store, name, clock)
        gateway.origins.note(origin(7, version))
        gateway.write()
    found = Gateway(store, "run-3", clock).records.find(StreamKey(7))
    assert found is not None
    assert found.version == UNKNOWN_VERSION


def test_unchanged_record_is_not_written_again() -> None:
    store, clock = ListedStore(), Clock()
    gateway = Gateway(store, "run-1", clock)
    gateway.origins.note(origin(7))
    gateway.write()
    calls = store.calls
    for _ in range(5):
        gateway.write()
    assert store.calls == calls


def test_records_are_read_once_for_many_streams() -> None:
    store, clock = ListedStore(), Clock()
    gateway = Gateway(store, "run-1", clock)
    for key in range(100):
        gateway.records.find(StreamKey(key))
    assert store.calls == 1
    clock.now_s += READ_AGAIN_S
    gateway.records.find(StreamKey(1))
    assert store.calls == 2


def test_refused_write_is_tried_again_under_a_new_lease() -> None:
    store, clock = ListedStore(), Clock()
    store.refused = 2
    gateway = Gateway(store, "run-1", clock)
    gateway.origins.note(origin(7))
    for _ in range(3):
        gateway.write()
    assert len(store.items) == 1


def test_large_record_is_bounded_and_written_less_often() -> None:
    store, clock = ListedStore(), Clock()
    gateway = Gateway(store, "run-1", clock)
    for key in range(1, MAX_STREAMS + 500):
        gateway.origins.note(origin(key))
    gateway.write()
    (item,) = store.items.values()
    assert item.value is not None
    assert len(item.value) <= 6 * MAX_STREAMS + 100
    assert gateway.records.find(StreamKey(MAX_STREAMS + 499)) is not None
    interval_s = gateway.records._next_write_s - clock.now_s
    assert interval_s == pytest.approx(len(item.value) / MAX_BYTES_PER_S)
    assert interval_s > MIN_INTERVAL_S


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"x": "AAAA"}', b'{"0b": 5}', b'{"0b": "AAA"}', b"\xff", b"9" * 5_000],
)
def test_odd_record_has_no_streams(value: bytes) -> None:
    store = ListedStore()
    store.items["streams/x"] = StoredItem("streams/x", value, 1)
    assert Gateway(store, "run-1", Clock()).records.find(StreamKey(0)) is None


def test_records_of_streams_are_no_control_items() -> None:
    seen: list[StoredItem] = []
    state = ControlState(seen.append)
    record = StoredItem(f"{STREAM_PREFIX}run-1", json.dumps({}).encode(), 9)
    assert not state.apply(record)
    assert state.position == START
    state.apply_listing("", [record, StoredItem("routes", b"{}", 3)], 9)
    assert [item.key for item in seen] == ["routes"]
