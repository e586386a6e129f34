"""Records of software versions in the store outlive all gateways, at a bounded number of calls."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import SoftwareVersion
from primroseferry_core.ids import new_incarnation_id
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.record_writer import WRITER_FAILOVER_S
from primroseferry_relay.control.stream_records import StreamRecords
from primroseferry_relay.control.version_records import LEASE_MS
from primroseferry_relay.control.version_records import REWRITE_S
from primroseferry_relay.control.version_records import VersionRecords
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint import Endpoint
from primroseferry_relay.endpoints.endpoint import EndpointState
from primroseferry_relay.endpoints.software_version import version_hash
from primroseferry_relay.endpoints.version_history import ACTIVATION_DELAY_S
from primroseferry_relay.endpoints.version_history import STREAM_LIFETIME_S
from primroseferry_relay.membership.peer import ControlStatus
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.membership.stream_sync import StreamSync
from primroseferry_relay.routes.route_table import build_route_table
from primroseferry_relay.streams.resumptions import OriginSource
from primroseferry_relay.streams.resumptions import Resumptions
from primroseferry_relay.streams.stream_origins import StreamKey
from primroseferry_relay.streams.stream_origins import StreamOrigin
from primroseferry_relay.streams.stream_origins import StreamOrigins

from .in_memory_store import ListedStore
from .peer_samples import NORTH
from .peer_samples import Clock
from .peer_samples import peer_of
from .peer_samples import roster_of
from .relay_harness import ROUTES
from .test_route_table import SERVICE

if TYPE_CHECKING:
    from collections.abc import Sequence

NAMES = ("g-1", "g-2", "g-3")
TABLE = build_route_table(1, ROUTES, [SERVICE])
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
KEY = StreamKey(7)


def endpoint(name: str, version: SoftwareVersion, started_ms: int = 1) -> Endpoint:
    return Endpoint(
        EndpointId(name),
        SERVICE.name,
        "127.0.0.1:9",
        FailureDomainId("north-a"),
        NORTH,
        6,
        EndpointState.READY,
        0.0,
        started_ms,
        version,
    )


class Fleet:
    """Three gateways on one store, which delivers every write to each of them."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = ListedStore()
        self.entries: dict[EndpointId, Endpoint] = {}
        self.running: Sequence[str] = NAMES
        self.start()

    def start(self) -> None:
        """Start all gateways with what the store lists."""
        self.catalogs: list[EndpointCatalog] = []
        self.records: list[VersionRecords] = []
        self.resumptions: list[Resumptions] = []
        for name in NAMES:
            peers = PeerTable(InstanceId(name), NORTH, self.clock)
            peers.put_roster(roster_of(NORTH, *(peer_of(peer, NORTH) for peer in NAMES)))
            catalog = EndpointCatalog(self.clock)
            catalog.replace_all(self.entries.values())
            origins = StreamOrigins(self.clock)
            records = VersionRecords(
                self.store, catalog, peers, lambda: TABLE, self.clock, self.clock
            )
            sync = StreamSync(origins, peers)
            self.catalogs.append(catalog)
            self.records.append(records)
            streams = StreamRecords(self.store, origins, new_incarnation_id(), self.clock)
            self.resumptions.append(Resumptions(origins, catalog, records, peers, sync, streams))
        self.deliver()

    def put(self, *entries: Endpoint) -> None:
        """List exactly these endpoints."""
        self.entries = {entry.endpoint: entry for entry in entries}
        for catalog in self.catalogs:
            catalog.replace_all(entries)

    def deliver(self) -> None:
        for records in self.records:
            for item in list(self.store.items.values()):
                records.apply(item)

    def advance(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.now_s += 0.3
            self.confirm()
            for name, records in zip(NAMES, self.records, strict=True):
                if name in self.running:
                    records.tick()
                    if records._writer._write_lock.acquire(timeout=5):
                        records._writer._write_lock.release()
            self.deliver()

    def confirm(self) -> None:
        """Confirm the roster, so that no gateway seems to be alone, and that the store answers."""
        roster = roster_of(NORTH, *(peer_of(peer, NORTH) for peer in NAMES))
        for resumptions in self.resumptions:
            peers = resumptions._peers
            peers.put_roster(roster)
            peers.confirm(NORTH, roster.version, ControlStatus(1, 0.0))

    def source(self) -> OriginSource:
        """Return how the first gateway finds the version of a stream that nobody knows."""
        self.confirm()
        return self.resumptions[0].resume(SERVICE.name, None).source


def test_version_is_recorded_by_one_gateway() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.advance(2)
    assert len(fleet.store.items) == 1
    assert fleet.store.calls == 2


def test_version_is_recorded_though_the_first_gateways_do_not_write() -> None:
    for running in NAMES:
        fleet = Fleet()
        fleet.running = (running,)
        fleet.put(endpoint("e-1", V1))
        fleet.advance(2 * WRITER_FAILOVER_S + 1)
        assert len(fleet.store.items) == 1


def test_record_is_written_again_before_its_lease_ends() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.advance(2)
    (item,) = fleet.store.items.values()
    fleet.advance(REWRITE_S + 3)
    (again,) = fleet.store.items.values()
    assert again.revision > item.revision
    assert fleet.store.calls == 4
    assert LEASE_MS / 1000 - REWRITE_S > STREAM_LIFETIME_S


def test_only_version_is_known_after_a_restart_of_all_gateways() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.advance(2)
    fleet.start()
    assert fleet.source() is OriginSource.ONLY_VERSION


def test_version_that_left_before_a_restart_of_all_gateways_is_not_forgotten() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.advance(1)
    fleet.put(endpoint("e-1", V1), endpoint("e-2", V2))
    fleet.advance(2)
    fleet.put(endpoint("e-2", V2))
    fleet.start()
    assert fleet.source() is OriginSource.UNKNOWN


def test_only_version_is_not_believed_before_it_is_recorded() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    assert fleet.source() is OriginSource.UNKNOWN


def test_version_that_left_long_ago_did_not_begin_the_stream() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1), endpoint("e-2", V2))
    fleet.advance(2)
    fleet.put(endpoint("e-2", V2))
    fleet.advance(STREAM_LIFETIME_S - 10)
    assert fleet.source() is OriginSource.UNKNOWN
    fleet.advance(20)
    assert fleet.source() is OriginSource.ONLY_VERSION


def test_records_that_a_listing_lacks_are_written_again() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.advance(2)
    fleet.store.items.clear()
    for records in fleet.records:
        records.apply_listing(())
    fleet.advance(2)
    assert len(fleet.store.items) == 1


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"service": "s", "written_s": {}}'])
@pytest.mark.parametrize("key", ["versions/", "versions/xyz", "versions/00000000000000aa"])
def test_odd_record_is_ignored(key: str, value: bytes) -> None:
    fleet = Fleet()
    fleet.records[0].apply(StoredItem(key, value, 1))
    assert fleet.records[0].recorded(SERVICE.name) == set()


def test_entry_that_changes_its_version_counts_for_the_new_one() -> None:
    fleet = Fleet()
    fleet.put(endpoint("e-1", V1))
    fleet.put(endpoint("e-1", V2, started_ms=2))
    catalog = fleet.catalogs[0]
    assert catalog.listed_versions(SERVICE.name) == {V2}
    assert catalog.recent_versions(SERVICE.name) == {
        version_hash(SERVICE.name, V1),
        version_hash(SERVICE.name, V2),
    }


def test_new_version_is_active_after_a_while_and_a_first_one_at_once() -> None:
    fleet = Fleet()
    first, second = endpoint("e-1", V1), endpoint("e-2", V2)
    fleet.put(first)
    catalog = fleet.catalogs[0]
    assert catalog.is_version_active(first)
    fleet.clock.now_s += 2 * ACTIVATION_DELAY_S
    fleet.put(first, second)
    assert not catalog.is_version_active(second)
    fleet.put(first, replace(second, state=EndpointState.DRAINING))
    fleet.clock.now_s += ACTIVATION_DELAY_S
    assert catalog.is_version_active(second)


def test_origins_are_forgotten_after_the_longest_stream() -> None:
    clock = Clock()
    origins = StreamOrigins(clock)
    origins.note(StreamOrigin(KEY, version_hash(SERVICE.name, V1)))
    clock.now_s += STREAM_LIFETIME_S - 1
    assert origins.find(KEY) is not None
    assert len(origins.own()) == 1
    clock.now_s += 2
    assert origins.find(KEY) is None
    assert origins.own() == []
