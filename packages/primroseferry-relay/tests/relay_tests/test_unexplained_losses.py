"""A request that silences endpoints, while gateways are killed before the entries expire."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.open_loss import OpenLoss
from primroseferry_policy.open_loss import parse_open_loss
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.quarantine import SuspicionReport
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_policy.suspicion import Suspicion
from primroseferry_relay.attempts.outcome import Lost
from primroseferry_relay.control.control_feed import ControlFeed
from primroseferry_relay.control.quarantine_records import QuarantineRecords
from primroseferry_relay.control.version_records import VersionRecords
from primroseferry_relay.crash_attribution import MAX_LOSS_REPORTS_AT_ONCE
from primroseferry_relay.crash_attribution import MAX_LOSS_REPORTS_PER_S
from primroseferry_relay.crash_attribution import CrashAttribution
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint import Endpoint
from primroseferry_relay.endpoints.endpoint import EndpointState
from primroseferry_relay.membership.codec import decode
from primroseferry_relay.membership.codec import encode
from primroseferry_relay.membership.datagrams import Suspicions
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.relay_policy import TRIAL_WAITS_S
from primroseferry_relay.relay_policy import RelayPolicy
from primroseferry_relay.suspect import Suspect
from primroseferry_transport.port_probe import PortState

from .in_memory_store import InMemoryStore
from .peer_samples import NORTH
from .peer_samples import peer_of
from .peer_samples import roster_of
from .test_quarantine_records import Clock
from .test_quarantine_records import IgnoringAdapter

if TYPE_CHECKING:
    from primroseferry_relay.membership.datagrams import Blame

DEADLY = Fingerprint("deadly")
NAMES = ("g-1", "g-2", "g-3")
# From the rules: after the third crash and 5 s, at most three sends.
CRASHES = 3
AGREEMENT_S = 5.0
ALLOWED_LATE_SENDS = 3
ENDPOINTS = 6
STEP_S = 0.1
ATTEMPT_S = 0.4
PAUSE_S = 0.2
ENTRY_LEASE_S = 3.6
REPLACEMENT_S = 3.0
DOWN_S = 1.5
# What no link fragments.
MAX_REPORT_BYTES = 1_200

TIMED_OUT = Lost("no byte for 400 ms", is_connection_lost=False)
RESET = Lost("connection reset", is_connection_lost=True)


@dataclass(frozen=True, slots=True)
class _Attempt:
    gateway: _Gateway
    endpoint: Endpoint
    suspect: Suspect
    ends_s: float


class _Gateway:
    """One process: what it knows ends with it."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        clock = world.clock
        self.quarantine = Quarantine(
            clock, trial_waits_s=TRIAL_WAITS_S, wall_clock_s=lambda: clock.now_s
        )
        self.catalog = EndpointCatalog(clock)
        peers = PeerTable(InstanceId(name), NORTH, clock)
        peers.put_roster(roster_of(NORTH, *(peer_of(peer, NORTH) for peer in NAMES)))
        self.records = QuarantineRecords(world.store, self.quarantine, peers, clock)
        self.attribution = CrashAttribution(
            self.quarantine,
            self.catalog,
            self,
            clock,
            clock,
            lambda _address: PortState.LISTENING,
        )
        self.attribution.on_repeated_loss = self.records.record_now
        self.feed = ControlFeed(
            IgnoringAdapter(),
            self.catalog,
            peers,
            RelayPolicy(SharedRetryBudget(10, 0.2, 50)),
            self.records,
            VersionRecords(world.store, self.catalog, peers, lambda: None),
        )

    def send_blame(self, blame: Blame) -> None:
        for other in self._world.gateways:
            other.quarantine.blame(blame.fingerprint, [blame.death])

    def send_suspicions(self, reports: list[SuspicionReport]) -> None:
        for other in self._world.gateways:
            other.quarantine.merge(reports)

    def receive_items(self) -> None:
        for item in list(self._world.store.items.values()):
            self.records.apply(item)

    def list_store(self) -> None:
        """Read the store as a gateway does at its start."""
        self.catalog.replace_all(self._world.entries.values())
        self.receive_items()
        self.feed.apply_listing("", [*self._world.store.items])


class World:
    """Gateways and endpoints on a virtual clock; one caller repeats the request."""

    def __init__(self, outcome: Lost, seed: int) -> None:
        self.clock = Clock()
        self.store = InMemoryStore()
        self.entries: dict[EndpointId, Endpoint] = {}
        self.crash_times_s: list[float] = []
        self.in_touch_s = 0.0
        self._outcome = outcome
        self._random = random.Random(seed)
        self._silent: dict[EndpointId, float] = {}
        self._replaced: set[EndpointId] = set()
        self._attempts: list[_Attempt] = []
        self._next_send_s = self.clock.now_s
        self._started = 0
        for _ in range(ENDPOINTS):
            self._start_endpoint()
        self.gateways: list[_Gateway] = []
        self.start(NAMES)

    def start(self, names: tuple[str, ...]) -> None:
        self.gateways += [_Gateway(self, name) for name in names]
        for gateway in self.gateways[-len(names) :]:
            gateway.list_store()

    def kill(self, count: int) -> tuple[str, ...]:
        """Kill gateways, those first that know most, and return their names."""
        killed = self.gateways[:count]
        self.gateways = self.gateways[count:]
        self._attempts = [one for one in self._attempts if one.gateway not in killed]
        return NAMES[:count]

    def late_sends(self) -> int:
        """Return the arrivals in touch, later than the rule's time after the third crash."""
        limit_s = max(self.crash_times_s[CRASHES - 1] + AGREEMENT_S, self.in_touch_s)
        return sum(at_s > limit_s for at_s in self.crash_times_s)

    def advance(self, seconds: float, is_sending: bool = True) -> None:
        until_s = self.clock.now_s + seconds
        while self.clock.now_s < until_s:
            self.step(is_sending)

    def step(self, is_sending: bool = True) -> None:
        self.clock.now_s += STEP_S
        self._update_endpoints()
        for attempt in [one for one in self._attempts if one.ends_s <= self.clock.now_s]:
            self._attempts.remove(attempt)
            attempt.gateway.attribution.record_outcome(
                attempt.endpoint, attempt.suspect, "r", self._outcome
            )
            self._next_send_s = self.clock.now_s + PAUSE_S
        if is_sending and not self._attempts and self.clock.now_s >= self._next_send_s:
            self._send()
        for gateway in self.gateways:
            gateway.records.tick()
            if gateway.records._writer._write_lock.acquire(timeout=5):
                gateway.records._writer._write_lock.release()
        for gateway in self.gateways:
            gateway.receive_items()
        for one in self.gateways:
            for other in self.gateways:
                one.quarantine.merge(other.quarantine.missing_from(one.quarantine.content_hashes()))

    def _send(self) -> None:
        gateway = self._random.choice(self.gateways)
        admittance = gateway.attribution.admit(Suspect(DEADLY))
        self._next_send_s = self.clock.now_s + PAUSE_S
        living = [entry for name, entry in self.entries.items() if name not in self._silent]
        if admittance.wait_s > 0 or not living:
            return
        endpoint = self._random.choice(living)
        self._silent[endpoint.endpoint] = self.clock.now_s
        self.crash_times_s.append(self.clock.now_s)
        self._attempts.append(
            _Attempt(gateway, endpoint, admittance.suspect, self.clock.now_s + ATTEMPT_S)
        )

    def _update_endpoints(self) -> None:
        for name, since_s in self._silent.items():
            if name in self.entries and self.clock.now_s >= since_s + ENTRY_LEASE_S:
                del self.entries[name]
                for gateway in self.gateways:
                    gateway.catalog.remove(name)
            if name not in self._replaced and self.clock.now_s >= since_s + REPLACEMENT_S:
                self._replaced.add(name)
                self._start_endpoint()

    def _start_endpoint(self) -> None:
        self._started += 1
        endpoint = Endpoint(
            EndpointId(f"engine-{self._started}"),
            ServiceId("engines"),
            f"10.0.0.{self._started}:9000",
            FailureDomainId("north-a"),
            RegionId("north"),
            8,
            EndpointState.READY,
            0.0,
            self._started,
        )
        self.entries[endpoint.endpoint] = endpoint
        for gateway in getattr(self, "gateways", ()):
            gateway.catalog.put(endpoint)


def crash_three(world: World) -> None:
    while len(world.crash_times_s) < CRASHES:
        world.step()


@pytest.mark.parametrize("outcome", [TIMED_OUT, RESET], ids=["silent", "port-listens"])
@pytest.mark.parametrize("killed", [1, 2, 3])
@pytest.mark.parametrize("seed", range(5))
def test_losses_without_cause_are_remembered_after_gateways_are_killed(
    outcome: Lost, killed: int, seed: int
) -> None:
    world = World(outcome, seed)
    crash_three(world)
    names = world.kill(killed)
    world.advance(DOWN_S, is_sending=False)
    world.start(names)
    world.advance(AGREEMENT_S + 1.0, is_sending=False)
    world.in_touch_s = world.clock.now_s
    world.advance(45.0)
    assert world.late_sends() <= ALLOWED_LATE_SENDS


@pytest.mark.parametrize("seed", range(5))
def test_losses_that_an_older_copy_of_the_store_lacks_outlive_a_kill(seed: int) -> None:
    world = World(TIMED_OUT, seed)
    crash_three(world)
    world.store.items.clear()
    world.gateways[-1].list_store()
    world.advance(1.5, is_sending=False)
    names = world.kill(3)
    world.advance(DOWN_S, is_sending=False)
    world.start(names)
    world.advance(AGREEMENT_S + 1.0, is_sending=False)
    world.in_touch_s = world.clock.now_s
    world.advance(45.0)
    assert world.late_sends() <= ALLOWED_LATE_SENDS


class _Reports:
    """Counts what a gateway reports to the others, and its bytes."""

    def __init__(self) -> None:
        self.count = 0
        self.bytes = 0

    def send_blame(self, blame: Blame) -> None: ...

    def send_suspicions(self, reports: list[SuspicionReport]) -> None:
        self.count += 1
        self.bytes += len(encode(Suspicions(tuple(reports))))


@pytest.mark.parametrize("gateways", [2, 16, 195])
def test_storm_of_losses_is_reported_at_a_bounded_rate(gateways: int) -> None:
    clock, reports, storm_s = Clock(), _Reports(), 60
    attribution = CrashAttribution(
        Quarantine(clock, wall_clock_s=clock),
        EndpointCatalog(clock),
        reports,
        clock,
        clock,
        live_count=lambda: gateways,
    )
    repeated = []
    attribution.on_repeated_loss = repeated.append
    world = World(TIMED_OUT, seed=1)
    for second in range(storm_s):
        for number in range(50):
            clock.now_s += 1 / 50
            endpoint = list(world.entries.values())[(number + second) % ENDPOINTS]
            suspect = Suspect(Fingerprint(f"{second % 7}-{number}"))
            attribution.record_outcome(endpoint, suspect, "r", TIMED_OUT)
    allowed = MAX_LOSS_REPORTS_AT_ONCE + storm_s * MAX_LOSS_REPORTS_PER_S / gateways
    assert 1 <= reports.count <= allowed + 1
    assert len(repeated) <= reports.count
    assert reports.bytes <= reports.count * MAX_REPORT_BYTES


class _Observer:
    """A gateway that received a loss of another one, which has ended since."""

    def __init__(self) -> None:
        self.world = World(TIMED_OUT, seed=1)
        self.endpoints = list(self.world.entries.values())[:2]
        lost, self.other = self.world.gateways[:2]
        for endpoint in self.endpoints:
            lost.attribution.record_outcome(endpoint, Suspect(DEADLY), "r", TIMED_OUT)
        self.world.kill(1)

    def weight(self) -> int:
        report = self.other.quarantine.find(DEADLY)
        return report.suspicion.weight if report is not None else 0

    def end_runs(self, after_s: float) -> None:
        self.world.clock.now_s += after_s
        for endpoint in self.endpoints:
            self.other.catalog.remove(endpoint.endpoint)


def test_losses_of_a_killed_gateway_count_when_another_one_sees_the_runs_end() -> None:
    observer = _Observer()
    assert observer.weight() == 0
    observer.end_runs(after_s=3.6)
    assert observer.other.quarantine.is_quarantined(DEADLY)


def test_loss_does_not_count_when_its_run_ends_much_later() -> None:
    observer = _Observer()
    observer.end_runs(after_s=12.0)
    observer.other.list_store()
    assert observer.weight() == 0


def test_loss_does_not_count_when_its_run_was_leaving() -> None:
    observer = _Observer()
    for endpoint in observer.endpoints:
        observer.other.catalog.note_leaving(endpoint.run)
    observer.end_runs(after_s=3.6)
    assert observer.weight() == 0


def test_loss_does_not_count_after_a_complete_answer() -> None:
    observer = _Observer()
    observer.other.quarantine.clear(DEADLY)
    observer.end_runs(after_s=3.6)
    assert observer.weight() == 0


def test_stored_losses_that_no_longer_count_are_written_again() -> None:
    observer = _Observer()
    observer.other.quarantine.clear(DEADLY)
    observer.world.advance(3.0, is_sending=False)
    names = observer.world.kill(2)
    observer.world.entries.clear()
    observer.world.start(names)
    assert not any(gateway.quarantine.is_suspected(DEADLY) for gateway in observer.world.gateways)


def test_store_that_is_away_is_not_asked_before_each_repeated_loss() -> None:
    world = World(TIMED_OUT, seed=1)
    world.store.refused = 1_000
    gateway = world.gateways[0]
    for number in range(10):
        for endpoint in list(world.entries.values())[:2]:
            suspect = Suspect(Fingerprint(f"r-{number}"))
            gateway.attribution.record_outcome(endpoint, suspect, "r", TIMED_OUT)
    assert world.store.calls <= 2
    assert gateway.quarantine.find(Fingerprint("r-0")) is not None


def test_report_with_losses_is_encoded_and_decoded() -> None:
    loss = OpenLoss("engine-1/7@100", "ab@100", has_begun=True)
    suspicion = Suspicion(DEADLY, breaks=frozenset({"ab@100"}), losses=frozenset({loss.id}))
    datagram = Suspicions((SuspicionReport(suspicion, 2.0),))
    assert decode(encode(datagram)) == datagram
    assert parse_open_loss(loss.id) == loss
