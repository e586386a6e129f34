"""Simulated engines and callers of a fleet, and parts of prompts that crash engines."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.part_key import part_key
from primroseferry_policy.prompt import PartId
from primroseferry_relay.attempts.outcome import Lost
from primroseferry_relay.attempts.outcome import StreamBroken
from primroseferry_relay.attempts.outcome import StreamEnded
from primroseferry_relay.crash_attribution import CrashAttribution
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint import Endpoint
from primroseferry_relay.endpoints.endpoint import EndpointState
from primroseferry_relay.relay_policy import TRIAL_WAITS_S
from primroseferry_relay.suspect import Suspect
from primroseferry_relay.suspect import SuspectPart
from primroseferry_transport.port_probe import PortState

from .fleet_simulation import FleetSimulation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_policy.quarantine import SuspicionReport
    from primroseferry_relay.membership.datagrams import Blame

    from .fleet_simulation import SimulatedGateway

SERVICE = ServiceId("engines")
# From the rules, in seconds: a gateway is in touch again this long after its last disruption, and
# may send a part no more than three times later than this after its fifth crash. Sound requests
# that share the first part are counted from twice this time on.
CONTACT_S = 5.0
CRASHES = 5
ALLOWED_LATE_ARRIVALS = 3
# How long an engine runs a crashing part before it ends, is down, and runs a sound request.
CRASH_DELAY_S = 0.1
DOWN_S = 3.0
MIN_RUN_S = 0.5
MAX_RUN_S = 1.5
MAX_ATTEMPTS = 2


@dataclass(frozen=True)
class Prompt:
    """The shared parts of one prompt, and the one among them that crashes engines, if any."""

    parts: tuple[str, ...]
    crashing: str = ""


@dataclass
class Engine:
    """One engine; ``run`` counts the starts of its process."""

    name: str
    run: int = 1
    is_up: bool = True
    running: list[RunningRequest] = field(default_factory=list)

    @property
    def endpoint(self) -> Endpoint:
        """The engine's entry; each run has an id of its own."""
        return Endpoint(
            EndpointId(f"{self.name}.{self.run}"),
            SERVICE,
            f"{self.name}.{self.run}",
            FailureDomainId("a"),
            RegionId("north"),
            8,
            EndpointState.READY,
            0.0,
            self.run,
        )


@dataclass
class RunningRequest:
    """One attempt of a request on an engine."""

    prompt: Prompt
    gateway: str
    suspect: Suspect
    attempt: int
    started_s: float


@dataclass(frozen=True)
class Arrival:
    """A request with a crashing part that reached an engine."""

    at_s: float
    gateway: str
    part: str
    was_in_touch: bool


@dataclass(frozen=True)
class SoundRequest:
    """A sound request: when it came, its first part, and whether its first attempt began."""

    at_s: float
    first_part: str
    has_begun: bool


class CrashingPartWorld:
    """Callers send prompts to random gateways of a fleet, which run them on random engines."""

    def __init__(
        self,
        regions: Mapping[str, int],
        engines: int,
        seed: int,
        loss: float = 0.01,
        has_begun: bool = True,
    ) -> None:
        """``has_begun``: engines crash after they sent events, else before the first byte."""
        self.random = random.Random(seed)
        self.fleet = FleetSimulation(seed, loss, TRIAL_WAITS_S)
        self.fleet.start_regions(regions)
        self.engines = [Engine(f"e-{number}") for number in range(engines)]
        self.arrivals: list[Arrival] = []
        self.crashes: list[tuple[float, str]] = []
        self.sound: list[SoundRequest] = []
        self.senders: list[tuple[Callable[[], Prompt], float]] = []
        self._has_begun = has_begun
        self._attributions: dict[str, CrashAttribution] = {}
        self._disrupted_s: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for gateway in self.fleet.gateways.values():
            self._attach(gateway)
        self.fleet.run(3.0)

    @property
    def now_s(self) -> float:
        """The simulated time in seconds."""
        return self.fleet.clock.now_s

    def run(self, seconds: float) -> None:
        """Simulate ``seconds`` with the current senders."""
        self.fleet.run(seconds, self._step)

    def restart(self, names: list[str]) -> None:
        """Kill gateways and start them as new incarnations that hold nothing."""
        for name in names:
            self.fleet.stop(name)
        for name in names:
            region = name.rpartition("-")[0]
            seeds = [gateway.address for gateway in self.fleet.gateways.values()][:3]
            incarnation = f"{next(self._numbers)}"
            self._attach(self.fleet.start(name, region, seeds, incarnation))
            self._disrupted_s[name] = self.now_s

    def set_frozen(self, name: str, is_frozen: bool) -> None:
        """Freeze a gateway, or let it run on."""
        self.fleet.gateways[name].is_frozen = is_frozen
        self._disrupted_s[name] = float("inf") if is_frozen else self.now_s

    def set_cut(self, names: list[str], is_cut: bool) -> None:
        """Cut gateways off from all others, or let them reach each other again."""
        cut = set(names) if is_cut else set()
        self.fleet.is_cut = lambda sender, receiver: (sender.partition(":")[0] in cut) != (
            receiver.partition(":")[0] in cut
        )
        for name in names:
            self._disrupted_s[name] = float("inf") if is_cut else self.now_s

    def crash_engine(self, engine: Engine) -> None:
        """End an engine for a reason of its own."""
        self._crash(engine, "")

    def late_arrivals(self, part: str) -> int:
        """Return the arrivals that the rule counts: by gateways in touch, after the agreement."""
        crashes = [at_s for at_s, crashing in self.crashes if crashing == part]
        if len(crashes) < CRASHES:
            return 0
        limit_s = crashes[CRASHES - 1] + CONTACT_S
        return sum(
            one.part == part and one.at_s > limit_s and one.was_in_touch for one in self.arrivals
        )

    def begun_share(self, from_s: float, until_s: float, first_part: str = "") -> float:
        """Return the share of the sound requests of a time whose first attempt began."""
        counted = [
            one.has_begun
            for one in self.sound
            if from_s <= one.at_s < until_s and first_part in ("", one.first_part)
        ]
        return sum(counted) / max(1, len(counted))

    def held(self, part: str) -> list[str]:
        """Return the running gateways that hold a part back now."""
        key = part_key(SERVICE, PartId(part))
        return [
            name
            for name, gateway in self.fleet.gateways.items()
            if gateway.is_running and gateway.feed.quarantine.is_quarantined(key)
        ]

    def _attach(self, gateway: SimulatedGateway) -> None:
        self._attributions[gateway.name] = CrashAttribution(
            gateway.feed.quarantine,
            EndpointCatalog(self.fleet.clock),
            _ExchangeReporter(gateway),
            self.fleet.clock,
            self.fleet.clock,
            self._probe,
            gateway.peers.own_rank,
        )

    def _probe(self, address: str) -> PortState:
        is_up = any(engine.is_up and engine.endpoint.address == address for engine in self.engines)
        return PortState.LISTENING if is_up else PortState.REFUSED

    def _step(self) -> None:
        while self._events and self._events[0][0] <= self.now_s:
            heapq.heappop(self._events)[2]()
        for draw, per_s in self.senders:
            # One step of the simulation is 10 ms.
            for _ in range(int(per_s * 0.01 + self.random.random())):
                self._send(draw())

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def _send(self, prompt: Prompt) -> None:
        usable = [
            name
            for name, gateway in self.fleet.gateways.items()
            if gateway.is_running and not gateway.is_frozen
        ]
        name = self.random.choice(usable)
        parts = tuple(
            SuspectPart(part_key(SERVICE, PartId(part)), depth)
            for depth, part in enumerate(prompt.parts)
        )
        fingerprint = Fingerprint(f"request-{next(self._numbers)}")
        admittance = self._attributions[name].admit(Suspect(fingerprint, parts=parts))
        has_begun = admittance.wait_s <= 0 and self._attempt(prompt, name, admittance.suspect, 1)
        if admittance.wait_s <= 0 and not has_begun:
            self._attributions[name].withdraw_trial(admittance.suspect)
        if not prompt.crashing:
            self.sound.append(SoundRequest(self.now_s, prompt.parts[0], has_begun))

    def _attempt(self, prompt: Prompt, gateway: str, suspect: Suspect, attempt: int) -> bool:
        up = [engine for engine in self.engines if engine.is_up]
        attribution = self._attributions[gateway]
        if not up or (attempt > 1 and attribution.is_quarantined_since(suspect)):
            return False
        engine = self.random.choice(up)
        request = RunningRequest(prompt, gateway, suspect, attempt, self.now_s)
        engine.running.append(request)
        if prompt.crashing:
            was_in_touch = self.now_s - self._disrupted_s.get(gateway, 0.0) > CONTACT_S
            arrival = Arrival(self.now_s, gateway, prompt.crashing, was_in_touch)
            self.arrivals.append(arrival)
            self._at(CRASH_DELAY_S, lambda: self._crash_if_running(engine, request))
        else:
            run_s = self.random.uniform(MIN_RUN_S, MAX_RUN_S)
            self._at(run_s, lambda: self._complete(engine, request))
        return True

    def _complete(self, engine: Engine, request: RunningRequest) -> None:
        if request not in engine.running:
            return
        engine.running.remove(request)
        self._record(request, engine.endpoint, StreamEnded(8))

    def _crash_if_running(self, engine: Engine, request: RunningRequest) -> None:
        if request in engine.running:
            self._crash(engine, request.prompt.crashing)

    def _crash(self, engine: Engine, part: str) -> None:
        self.crashes.append((self.now_s, part))
        endpoint = engine.endpoint
        lost, engine.running = engine.running, []
        engine.is_up = False
        self._at(DOWN_S, lambda: self._start(engine))
        for request in lost:
            outcome: Lost | StreamBroken = Lost("connection reset", is_connection_lost=True)
            if self._has_begun and self.now_s - request.started_s >= CRASH_DELAY_S / 2:
                outcome = StreamBroken("connection reset", "2", 2, is_connection_lost=True)
            self._record(request, endpoint, outcome)
            if request.attempt < MAX_ATTEMPTS:
                self._at(0.02, lambda one=request: self._retry(one))  # type: ignore[misc]

    def _start(self, engine: Engine) -> None:
        engine.run += 1
        engine.is_up = True

    def _retry(self, request: RunningRequest) -> None:
        self._attempt(request.prompt, request.gateway, request.suspect, request.attempt + 1)

    def _record(
        self,
        request: RunningRequest,
        endpoint: Endpoint,
        outcome: Lost | StreamBroken | StreamEnded,
    ) -> None:
        gateway = self.fleet.gateways[request.gateway]
        if gateway.is_running and not gateway.is_frozen:
            attribution = self._attributions[request.gateway]
            attribution.record_outcome(endpoint, request.suspect, "r", outcome)


class _ExchangeReporter:
    """Reports to the other gateways through the simulated network."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        self._exchange = gateway.exchange

    def send_blame(self, blame: Blame) -> None:
        self._exchange.send_blame(blame)

    def send_suspicions(self, reports: Sequence[SuspicionReport]) -> None:
        self._exchange.send_suspicions(reports)
