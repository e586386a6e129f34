"""Quarantines in the store outlive all gateways, at a bounded number of calls."""

from __future__ import annotations

import time

import pytest
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import InstanceId
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_relay.control.changes import ItemIgnored
from primroseferry_relay.control.control_feed import ControlFeed
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.quarantine_records import QuarantineRecords
from primroseferry_relay.control.record_writer import WRITER_FAILOVER_S
from primroseferry_relay.control.version_records import VersionRecords
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.relay_policy import RelayPolicy

from .in_memory_store import InMemoryStore
from .peer_samples import NORTH
from .peer_samples import peer_of
from .peer_samples import roster_of

DEADLY = Fingerprint("deadly")
NAMES = ("g-1", "g-2", "g-3")


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class IgnoringAdapter:
    """Decodes no item: the records need none."""

    prefixes = ("",)

    def decode(self, item: StoredItem) -> ItemIgnored:
        return ItemIgnored(item.key)


class Fleet:
    """Three gateways' records on one store, which delivers every write to each of them."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = InMemoryStore()
        self.restart()

    def restart(self) -> None:
        """Restart all gateways with the items that the store lists."""
        self.quarantines = [Quarantine(self.clock) for _ in NAMES]
        self.records = []
        for name, quarantine in zip(NAMES, self.quarantines, strict=True):
            peers = PeerTable(InstanceId(name), NORTH, self.clock)
            peers.put_roster(roster_of(NORTH, *(peer_of(peer, NORTH) for peer in NAMES)))
            self.records.append(QuarantineRecords(self.store, quarantine, peers, self.clock))
        self.deliver_items()

    def deliver_items(self) -> None:
        for records in self.records:
            for item in list(self.store.items.values()):
                records.apply(item)

    def return_older_copy(self) -> None:
        """Let the store return without any record; the watching gateway lists all keys again."""
        self.store.items.clear()
        peers = PeerTable(InstanceId("g-3"), NORTH, self.clock)
        catalog = EndpointCatalog()
        feed = ControlFeed(
            IgnoringAdapter(),
            catalog,
            peers,
            RelayPolicy(SharedRetryBudget(10, 0.2, 50)),
            self.records[-1],
            VersionRecords(self.store, catalog, peers, lambda: None),
        )
        ControlState(feed.apply, feed.apply_listing).apply_listing("", (), 1)

    def advance(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.now_s += 0.3
            for records in self.records:
                records.tick()
                if records._writer._write_lock.acquire(timeout=5):
                    records._writer._write_lock.release()
            self.deliver_items()


def test_restarted_fleet_restores_quarantines() -> None:
    fleet = Fleet()
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.advance(4.0)
    assert fleet.store.calls == 2
    fleet.restart()
    assert all(quarantine.is_quarantined(DEADLY) for quarantine in fleet.quarantines)


def test_next_gateway_writes_the_record_when_the_store_refuses_the_first() -> None:
    fleet = Fleet()
    fleet.store.refused = 1
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.advance(2 * WRITER_FAILOVER_S + 1.0)
    assert len(fleet.store.items) == 1
    assert fleet.store.calls <= 5


def test_record_that_an_older_copy_of_the_store_lacks_is_written_again() -> None:
    fleet = Fleet()
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.advance(2.0)
    fleet.return_older_copy()
    fleet.advance(4.0)
    assert len(fleet.store.items) == 1
    fleet.restart()
    assert all(quarantine.is_quarantined(DEADLY) for quarantine in fleet.quarantines)


def test_old_record_does_not_quarantine_a_cleared_request() -> None:
    fleet = Fleet()
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.advance(2.0)
    for quarantine in fleet.quarantines:
        quarantine.clear(DEADLY)
    fleet.advance(4.0)
    fleet.restart()
    assert not any(quarantine.is_suspected(DEADLY) for quarantine in fleet.quarantines)


def test_single_losses_are_not_written() -> None:
    fleet = Fleet()
    for number in range(60):
        fleet.quarantines[0].blame(Fingerprint(f"f{number}"), ["e-1@100"])
        fleet.quarantines[1].confirm_started_crash(Fingerprint(f"s{number}"), "", "e-1@100")
        fleet.quarantines[2].record_break(Fingerprint(f"b{number}"), "1@100")
    fleet.advance(3.0)
    assert fleet.store.calls == 0


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b'{"held":[1],"written_s":1}', b"null"])
def test_malformed_record_is_ignored(value: bytes) -> None:
    fleet = Fleet()
    fleet.records[0].apply(StoredItem("quarantine/x", value, 5))
    assert fleet.quarantines[0].version == 0


def test_age_of_a_record_includes_the_time_since_it_was_written() -> None:
    fleet = Fleet()
    data = b'{"held":["deadly",["e-1@100","e-2@110"],[],[],5.0,0],"written_s":%d}'
    item = StoredItem("quarantine/deadly", data % int(time.time() - 100), 5)
    fleet.records[0].apply(item)
    record = fleet.quarantines[0].find(DEADLY)
    assert record is not None
    assert 104 <= record.age_s <= 108
