"""Quarantines outlive all gateways in the store, at a bounded number of calls."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import InstanceId
from primroseferry_policy.quarantine import Quarantine
from primroseferry_relay.control.metadata_store import LeaseId
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.metadata_store import StoreFailure
from primroseferry_relay.control.quarantine_records import TURN_S
from primroseferry_relay.control.quarantine_records import QuarantineRecords
from primroseferry_relay.membership.peer_table import PeerTable
from result import Err
from result import Ok

from .peer_samples import NORTH
from .peer_samples import peer_of
from .peer_samples import roster_of

if TYPE_CHECKING:
    from primroseferry_relay.control.metadata_store import Changes
    from primroseferry_relay.control.metadata_store import Listing
    from result import Result

DEADLY = Fingerprint("deadly")
NAMES = ("g-1", "g-2", "g-3")


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


class KeptStore:
    """Keeps what is put; ``refused`` makes it turn so many calls away."""

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.calls = 0
        self.refused = 0
        self.called = threading.Event()

    def grant_lease(self, ttl_ms: int) -> Result[LeaseId, StoreFailure]:
        self.calls += 1
        self.called.set()
        if self.refused > 0:
            self.refused -= 1
            return Err(StoreFailure.REFUSED)
        return Ok(LeaseId("1"))

    def put(self, key: str, value: bytes, lease: LeaseId) -> Result[int, StoreFailure]:
        self.calls += 1
        self.items[key] = StoredItem(key, value, self.calls)
        return Ok(self.calls)

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def watch(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def renew_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)

    def end_lease(self, lease: LeaseId) -> Result[None, StoreFailure]:
        return Err(StoreFailure.UNREACHABLE)


class Fleet:
    """Some gateways' records on one store, which tells each of them what is written."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = KeptStore()
        self.start()

    def start(self) -> None:
        """Start all gateways anew, with what the store lists."""
        self.quarantines = [Quarantine(self.clock) for _ in NAMES]
        self.records = []
        for name, quarantine in zip(NAMES, self.quarantines, strict=True):
            peers = PeerTable(InstanceId(name), NORTH, self.clock)
            peers.put_roster(roster_of(NORTH, *(peer_of(one, NORTH) for one in NAMES)))
            self.records.append(QuarantineRecords(self.store, quarantine, peers, self.clock))
        self.tell()

    def tell(self) -> None:
        for one in self.records:
            for item in list(self.store.items.values()):
                one.hear(item)

    def run(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.clock.now_s += 0.3
            for one in self.records:
                one.tick()
                if one._is_writing.acquire(timeout=5):
                    one._is_writing.release()
            self.tell()


def test_fleet_started_anew_knows_what_crashed_endpoints_before() -> None:
    fleet = Fleet()
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.run(4.0)
    assert fleet.store.calls == 2
    fleet.start()
    assert all(quarantine.is_quarantined(DEADLY) for quarantine in fleet.quarantines)


def test_record_is_written_by_the_next_gateway_where_the_first_is_turned_away() -> None:
    fleet = Fleet()
    fleet.store.refused = 1
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.run(2 * TURN_S + 1.0)
    assert len(fleet.store.items) == 1
    assert fleet.store.calls <= 5


def test_request_that_was_answered_is_not_quarantined_by_its_old_record() -> None:
    fleet = Fleet()
    for quarantine in fleet.quarantines:
        quarantine.blame(DEADLY, ["e-1@100", "e-2@110"])
    fleet.run(2.0)
    for quarantine in fleet.quarantines:
        quarantine.clear(DEADLY)
    fleet.run(4.0)
    fleet.start()
    assert not any(quarantine.is_suspected(DEADLY) for quarantine in fleet.quarantines)


def test_single_deaths_are_not_written() -> None:
    fleet = Fleet()
    for number in range(60):
        fleet.quarantines[0].blame(Fingerprint(f"f{number}"), ["e-1@100"])
    fleet.run(3.0)
    assert fleet.store.calls == 0


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b'{"held":[1],"written_s":1}', b"null"])
def test_record_that_cannot_be_read_changes_nothing(value: bytes) -> None:
    fleet = Fleet()
    fleet.records[0].hear(StoredItem("quarantine/x", value, 5))
    assert fleet.quarantines[0].version == 0


def test_age_of_a_record_counts_from_when_it_was_written() -> None:
    fleet = Fleet()
    data = b'{"held":["deadly",["e-1@100","e-2@110"],[],[],5.0,0],"written_s":%d}'
    item = StoredItem("quarantine/deadly", data % int(time.time() - 100), 5)
    fleet.records[0].hear(item)
    told = fleet.quarantines[0].find(DEADLY)
    assert told is not None
    assert 104 <= told.age_s <= 108
