"""A gateway that is out of step joins no stream with another version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import new_incarnation_id
from primroseferry_relay.control.metadata_store import StoreFailure
from primroseferry_relay.control.metadata_store import StorePosition
from primroseferry_relay.control.stream_records import StreamRecords
from primroseferry_relay.control.version_records import VersionRecords
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.software_version import UNKNOWN_VERSION
from primroseferry_relay.endpoints.version_history import ACTIVATION_DELAY_S
from primroseferry_relay.endpoints.version_history import STREAM_LIFETIME_S
from primroseferry_relay.membership.codec import decode
from primroseferry_relay.membership.datagrams import OriginQuery
from primroseferry_relay.membership.datagrams import OriginReply
from primroseferry_relay.membership.datagrams import OriginReport
from primroseferry_relay.membership.peer import ControlStatus
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.membership.stream_sync import StreamSync
from primroseferry_relay.streams.resumptions import OriginSource
from primroseferry_relay.streams.resumptions import Resumptions
from primroseferry_relay.streams.stream_origins import StreamKey
from primroseferry_relay.streams.stream_origins import StreamOrigins
from result import Err

from .in_memory_store import InMemoryStore
from .in_memory_store import ListedStore
from .peer_samples import NORTH
from .peer_samples import SOUTH
from .peer_samples import Clock
from .peer_samples import peer_of
from .peer_samples import roster_of
from .test_route_table import SERVICE
from .test_version_records import TABLE
from .test_version_records import V1
from .test_version_records import V2
from .test_version_records import endpoint

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseferry_core.ids import RegionId
    from primroseferry_relay.control.metadata_store import Listing
    from primroseferry_relay.streams.resumptions import Resumption
    from result import Result

OLD = endpoint("e-1", V1)
NEW = endpoint("e-2", V2)
KEY = StreamKey(7)
REGIONS = {NORTH: ("n-1", "n-2", "n-3", "n-4"), SOUTH: ("s-1", "s-2", "s-3")}
NAMES = [name for names in REGIONS.values() for name in names]
# The gateway that is out of step, and one that begins the streams.
ASIDE, OTHER = "n-1", "n-2"
STEP_S = 0.2
# A watch of a store without changes answers this often.
WATCH_S = 2.5


class StoreLink(ListedStore):
    """One gateway's way to the store that all share."""

    def __init__(self, shared: InMemoryStore) -> None:
        super().__init__()
        self.items = shared.items
        self.failure: StoreFailure | None = None

    def list_items(self, prefix: str) -> Result[Listing, StoreFailure]:
        return super().list_items(prefix) if self.failure is None else Err(self.failure)


class Gateway:
    """What decides at one gateway where streams go on."""

    def __init__(self, fleet: Fleet, name: str, region: RegionId) -> None:
        self.name, self.region = name, region
        self.store = StoreLink(fleet.store)
        self.peers = PeerTable(InstanceId(name), region, fleet.clock)
        self.catalog = EndpointCatalog(fleet.clock)
        self.origins = StreamOrigins(fleet.clock)
        self.records = VersionRecords(
            self.store, self.catalog, self.peers, lambda: TABLE, fleet.clock, fleet.clock
        )
        self.sync = StreamSync(self.origins, self.peers)
        address = f"{name}:82"
        self.sync.connect(lambda: address, lambda to, data: fleet.send(address, to, data))
        streams = StreamRecords(self.store, self.origins, new_incarnation_id(), fleet.clock)
        self.position = StorePosition(0, 1)
        self.resumptions = Resumptions(
            self.origins,
            self.catalog,
            self.records,
            self.peers,
            self.sync,
            streams,
            lambda: bool(self.peers.peers_ahead_of(self.position)),
        )

    def receive(self, data: bytes) -> None:
        match decode(data):
            case OriginReport() as report:
                self.sync.on_report(report)
            case OriginQuery() as query:
                self.sync.on_query(query)
            case OriginReply() as reply:
                self.sync.on_reply(reply)

    def resume(self) -> Resumption:
        return self.resumptions.resume(SERVICE.name, KEY)


class Fleet:
    """Gateways of two regions that have long served one version, and what cuts them off.

    Gateways reach each other if both are in ``aside`` or neither is. Those in ``storeless`` have no
    way to the store, those in ``frozen`` do nothing.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = InMemoryStore()
        self.aside: Collection[str] = ()
        self.storeless: Collection[str] = ()
        self.frozen: Collection[str] = ()
        self.answered_s = dict.fromkeys(NAMES, self.clock.now_s)
        self.entries = [OLD]
        self.gateways = {
            name: Gateway(self, name, region) for region, names in REGIONS.items() for name in names
        }
        self.run(4)
        self.clock.now_s += 2 * STREAM_LIFETIME_S
        self.run(4)

    def restart(self, name: str) -> Gateway:
        """Start a gateway again with what the others of its region hold."""
        region = self.gateways[name].region
        mate = next(other for other in REGIONS[region] if other != name)
        gateway = self.gateways[name] = Gateway(self, name, region)
        gateway.catalog.replace_all(self.gateways[mate].catalog.entries().values())
        for item in self.store.items.values():
            if self.gateways[mate].records.recorded(SERVICE.name):
                gateway.records.apply(item)
        return gateway

    def reaches(self, name: str, other: str) -> bool:
        return (name in self.aside) == (other in self.aside)

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        name, to = sender.partition(":")[0], receiver.partition(":")[0]
        if to in self.gateways and self.reaches(name, to) and to not in self.frozen:
            self.gateways[to].receive(data)

    def run(self, seconds: float) -> None:
        until_s = self.clock.now_s + seconds - 1e-6
        while self.clock.now_s < until_s:
            self.clock.now_s += STEP_S
            self.step()

    def step(self) -> None:
        """Let everything that is not cut off reach everyone."""
        running = [gateway for gateway in self.gateways.values() if gateway.name not in self.frozen]
        for gateway in running:
            is_storeless = gateway.name in self.storeless
            gateway.store.failure = StoreFailure.UNREACHABLE if is_storeless else None
            age_s = self.clock.now_s - self.answered_s[gateway.name]
            if not is_storeless and age_s >= WATCH_S:
                self.answered_s[gateway.name] = self.clock.now_s
        for gateway in running:
            self.deliver(gateway)
            gateway.records.tick()
            gateway.sync.tick()
            if gateway.records._writer._write_lock.acquire(timeout=5):
                gateway.records._writer._write_lock.release()

    def deliver(self, gateway: Gateway) -> None:
        for region, names in REGIONS.items():
            live = [
                name
                for name in names
                if self.reaches(gateway.name, name) and name not in self.frozen
            ]
            if not live:
                continue
            roster = roster_of(region, *(peer_of(name, region) for name in live))
            gateway.peers.put_roster(roster)
            age_s = self.clock.now_s - max(self.answered_s[name] for name in live)
            gateway.peers.confirm(region, roster.version, ControlStatus(1, age_s * 1000))
            if any(name not in self.storeless for name in live):
                gateway.catalog.replace_all(self.entries)
                for item in self.store.items.values():
                    gateway.records.apply(item)

    def cut(self, aside: Collection[str], storeless: Collection[str]) -> None:
        self.aside, self.storeless = aside, storeless

    def begin_stream(self) -> None:
        """Begin a stream of the newer version through a gateway that is in step."""
        self.gateways[OTHER if OTHER not in self.aside else "s-1"].resumptions.binding(
            SERVICE.name, (KEY,), None
        ).begin(NEW.version_hash)


def assert_not_joined(resumption: Resumption) -> None:
    assert resumption.version in (NEW.version_hash, UNKNOWN_VERSION), resumption


AFTER_S = [ACTIVATION_DELAY_S + 0.2, 2.9, 3.7, 6.0]


@pytest.mark.parametrize("after_s", AFTER_S)
@pytest.mark.parametrize("has_store", [False, True], ids=["no-store", "store"])
def test_stream_is_not_joined_at_a_gateway_cut_off_from_its_peers(
    has_store: bool, after_s: float
) -> None:
    fleet = Fleet()
    view = list(fleet.entries)
    fleet.cut([ASIDE], [] if has_store else [ASIDE])
    fleet.entries = [OLD, NEW]
    aside = fleet.gateways[ASIDE]
    # No gateway in reach watches the store until the lost ones have timed out.
    aside.catalog.replace_all = lambda _entries: None  # type: ignore[method-assign]
    aside.records.apply = lambda _item: None  # type: ignore[method-assign]
    fleet.run(after_s)
    fleet.begin_stream()
    assert list(aside.catalog.entries().values()) == view
    assert_not_joined(aside.resume())


@pytest.mark.parametrize("after_s", AFTER_S)
@pytest.mark.parametrize("aside", [REGIONS[NORTH], REGIONS[NORTH][:2]], ids=["region", "pair"])
def test_stream_is_not_joined_at_gateways_cut_off_together(
    aside: Collection[str], after_s: float
) -> None:
    fleet = Fleet()
    fleet.cut(aside, aside)
    fleet.entries = [OLD, NEW]
    fleet.run(after_s)
    fleet.begin_stream()
    assert_not_joined(fleet.gateways[ASIDE].resume())


def test_stream_is_not_joined_at_a_gateway_that_restarted_while_its_region_was_cut_off() -> None:
    fleet = Fleet()
    fleet.cut(REGIONS[NORTH], REGIONS[NORTH])
    fleet.run(STEP_S)
    gateway = fleet.restart(ASIDE)
    fleet.entries = [OLD, NEW]
    fleet.run(5)
    fleet.begin_stream()
    assert_not_joined(gateway.resume())


def test_stream_is_not_joined_at_a_gateway_that_lags_while_the_others_have_restarted() -> None:
    fleet = Fleet()
    fleet.cut([ASIDE], [ASIDE])
    fleet.entries = [OLD, NEW]
    fleet.run(5)
    fleet.begin_stream()
    for name in NAMES:
        if name != ASIDE:
            fleet.restart(name)
    aside = fleet.gateways[ASIDE]
    # It hears of the others again, but has not fetched what they know.
    aside.catalog.replace_all = lambda _entries: None  # type: ignore[method-assign]
    aside.records.apply = lambda _item: None  # type: ignore[method-assign]
    fleet.cut([], [ASIDE])
    for gateway in fleet.gateways.values():
        fleet.deliver(gateway)
    for region in REGIONS:
        roster = aside.peers.roster(region)
        assert roster is not None
        aside.peers.confirm(region, roster.version, ControlStatus(2, 0.0, ("n-2:81",)))
    assert_not_joined(aside.resume())


@pytest.mark.parametrize("frozen_s", [2.4, 5.0])
def test_stream_goes_on_at_its_version_at_a_gateway_that_stood_still(frozen_s: float) -> None:
    fleet = Fleet()
    fleet.frozen = [ASIDE]
    fleet.entries = [OLD, NEW]
    fleet.run(frozen_s)
    fleet.begin_stream()
    fleet.frozen = ()
    aside = fleet.gateways[ASIDE]
    # Datagrams that came meanwhile are read late and seem fresh.
    fleet.entries = [OLD]
    items = dict(fleet.store.items)
    fleet.store.items.pop(f"versions/{NEW.version_hash:016x}")
    fleet.deliver(aside)
    fleet.store.items.update(items)
    resumption = aside.resume()
    assert resumption.version == NEW.version_hash
    assert resumption.source is OriginSource.PEER


def test_stream_without_a_name_is_not_joined_at_a_gateway_that_stood_still() -> None:
    fleet = Fleet()
    fleet.frozen = [ASIDE]
    fleet.entries = [OLD, NEW]
    fleet.run(2.4)
    fleet.entries = [OLD]
    items = dict(fleet.store.items)
    fleet.store.items.pop(f"versions/{NEW.version_hash:016x}")
    fleet.deliver(fleet.gateways[ASIDE])
    fleet.store.items.update(items)
    assert_not_joined(fleet.gateways[ASIDE].resumptions.resume(SERVICE.name, None))


def test_stream_goes_on_beside_one_version() -> None:
    fleet = Fleet()
    assert fleet.gateways[ASIDE].resume().source is OriginSource.ONLY_VERSION
    assert fleet.gateways[ASIDE].store.calls == 0


def test_stream_goes_on_beside_one_version_while_the_store_is_down() -> None:
    fleet = Fleet()
    fleet.cut([], NAMES)
    for _ in range(4):
        fleet.run(3)
        assert fleet.gateways[ASIDE].resume().source is OriginSource.ONLY_VERSION


@pytest.mark.parametrize("killed", [NAMES[1:2], NAMES[1:3], NAMES[1:], REGIONS[SOUTH]])
def test_stream_goes_on_beside_one_version_after_others_were_killed(
    killed: Collection[str],
) -> None:
    fleet = Fleet()
    fleet.frozen = killed
    for _ in range(4):
        fleet.run(1.2)
        assert fleet.gateways[ASIDE].resume().source is OriginSource.ONLY_VERSION


def test_store_is_asked_a_few_times_a_second_only() -> None:
    fleet = Fleet()
    fleet.frozen = NAMES[1:]
    fleet.run(5)
    aside = fleet.gateways[ASIDE]
    before = aside.store.calls
    for _ in range(50):
        assert aside.resumptions.resume(SERVICE.name, None).source is OriginSource.ONLY_VERSION
    assert aside.store.calls == before + 1
