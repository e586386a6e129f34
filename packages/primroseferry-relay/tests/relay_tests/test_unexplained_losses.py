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
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.quarantine import SuspicionReport
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_relay.attempts.outcome import Lost
from primroseferry_relay.control.control_feed import ControlFeed
from primroseferry_relay.control.quarantine_records import QuarantineRecords
from primroseferry_relay.control.version_records import VersionRecords
from primroseferry_relay.crash_attribution import CrashAttribution
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint import Endpoint
from primroseferry_relay.endpoints.endpoint import EndpointState
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

    def list_store(self) -> None:
        """Read the store as a gateway does at its start."""
        self.catalog.replace_all(self._world.entries.values())
        for item in list(self._world.store.items.values()):
            self.records.apply(item)
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
