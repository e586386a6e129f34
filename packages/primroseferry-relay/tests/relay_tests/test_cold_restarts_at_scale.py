"""Simulated regions before one endpoint that crashes and starts again, cold, under its old id."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_policy.breaker import Breakers
from primroseferry_policy.shared_budget import ColdEndpointLimiter
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint_reach import PING_INTERVAL_S
from primroseferry_relay.endpoints.endpoint_reach import HealthAnswer
from primroseferry_relay.endpoints.run_verification import RunVerification

from .fleet_simulation import FleetSimulation
from .test_run_verification import endpoint_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from .fleet_simulation import Clock
    from .fleet_simulation import SimulatedGateway

ENDPOINT = endpoint_of("engine-1")
WARMUP_S = 3.0
WARMUP_PER_S = 1.8
# The operators' bound, 1.8 x 1.5 + 3.
MAX_ARRIVALS_IN_A_SECOND = 5.7
REQUESTS_PER_S = 40.0
# How long a request is open at the endpoint.
REQUEST_S = 0.5
DOWN_S = 0.6
STEP_S = 0.01


class SimulatedEndpoint:
    """An endpoint that is up or down; a run is cold for ``WARMUP_S`` after its start."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.is_up = True
        self.started_s = float("-inf")
        self.arrivals: list[tuple[float, str]] = []
        # Gateways that cannot reach it.
        self.unreached: set[str] = set()

    @property
    def cold_ms(self) -> float:
        return max(0.0, (self.started_s + WARMUP_S - self._clock()) * 1000)

    def start(self) -> None:
        self.is_up, self.started_s = True, self._clock()

    def answers(self, gateway: str) -> bool:
        return self.is_up and gateway not in self.unreached

    def worst_cold_second(self) -> int:
        cold_s = [at_s for at_s, _ in self.arrivals if 0 <= at_s - self.started_s <= WARMUP_S]
        return max(
            (sum(0 <= at_s - first_s <= 1.0 for at_s in cold_s) for first_s in cold_s), default=0
        )


class Sender:
    """Sends one gateway's requests, as its attempts do, without a choice among endpoints."""

    def __init__(
        self, gateway: SimulatedGateway, endpoint: SimulatedEndpoint, clock: Clock
    ) -> None:
        self._gateway = gateway
        self._endpoint = endpoint
        self._clock = clock
        self.catalog = EndpointCatalog(clock)
        self.catalog.put(ENDPOINT)
        self._breakers = Breakers(clock)
        self._cold_limiter = ColdEndpointLimiter(clock)
        self._open_since_s: list[float] = []
        self._next_ping_s = float("-inf")
        self._is_unreachable = False
        self.runs = RunVerification(
            self.catalog,
            gateway.peers,
            self._check,
            lambda _endpoint: WARMUP_S,
            self._breakers.forget,
            clock_s=clock,
        )
        self.runs.connect(lambda: gateway.address, gateway.exchange.send_run_notice)
        gateway.feed.handle_run_notice = self.runs.on_notice
        gateway.feed.run_tasks = self.runs.tick

    @property
    def name(self) -> str:
        return self._gateway.name

    @property
    def is_running(self) -> bool:
        return self._gateway.is_running

    def send(self) -> None:
        listed = self.catalog.find(ENDPOINT.endpoint)
        if listed is None or self._is_unreachable or not self._breakers.permits(listed.endpoint):
            return
        if self.catalog.is_cold(listed.endpoint) or self.runs.is_unverified(listed.run):
            is_chosen = self._gateway.peers.is_chosen(listed.endpoint)
            if not is_chosen or not self._cold_limiter.take(listed.endpoint, WARMUP_PER_S):
                return
        self._breakers.begin(listed.endpoint)
        if not self._endpoint.answers(self.name):
            self._breakers.fail(listed.endpoint, is_certain=True)
            self.runs.note_lost(listed, "refused")
            return
        self._endpoint.arrivals.append((self._clock(), self.name))
        self._breakers.succeed(listed.endpoint)
        self._open_since_s.append(self._clock())

    def lose_connections(self) -> None:
        if self._open_since_s:
            self.runs.note_lost(ENDPOINT, "connection lost")
        self._open_since_s.clear()

    def tick(self) -> None:
        """End the requests that are answered by now, and ping an endpoint with an open circuit."""
        listed = self.catalog.find(ENDPOINT.endpoint)
        now_s = self._clock()
        while listed is not None and self._open_since_s:
            sent_s = self._open_since_s[0]
            if now_s - sent_s < REQUEST_S:
                break
            self.runs.note_answer(listed, sent_s)
            del self._open_since_s[0]
        is_suspect = self._is_unreachable or not self._breakers.permits(ENDPOINT.endpoint)
        if listed is None or not is_suspect or now_s < self._next_ping_s:
            return
        self._next_ping_s = now_s + PING_INTERVAL_S
        was_unreachable = self._is_unreachable
        self._is_unreachable = not self._endpoint.answers(self.name)
        if self._is_unreachable and not was_unreachable:
            self.runs.note_lost(listed, "ping")

    def _check(self, _endpoint: object, on_answer: Callable[[HealthAnswer | None], None]) -> None:
        is_answered = self._endpoint.answers(self.name)
        on_answer(HealthAnswer(self._endpoint.cold_ms) if is_answered else None)


class ColdRestart:
    """A region of gateways with requests for one endpoint."""

    def __init__(self, gateways: int, seed: int, loss: float = 0.002) -> None:
        self.fleet = FleetSimulation(seed, loss)
        self.fleet.start_regions({"north": gateways, "south": 1})
        self.endpoint = SimulatedEndpoint(self.fleet.clock)
        self.senders = [
            Sender(gateway, self.endpoint, self.fleet.clock)
            for gateway in self.fleet.region("north")
        ]
        self._random = random.Random(seed)
        self.fleet.run(5.0)

    def run(self, seconds: float) -> None:
        self.fleet.run(seconds, self._send_requests, STEP_S)

    def crash(self) -> None:
        self.endpoint.is_up = False
        for sender in self.senders:
            if sender.is_running:
                sender.lose_connections()

    def checkers(self) -> list[str]:
        return [
            str(name) for name in self.senders[0]._gateway.peers.order_by_key(ENDPOINT.endpoint)[:2]
        ]

    def write_entry(self) -> None:
        entry = replace(ENDPOINT, started_ms=2, warmup_left_ms=self.endpoint.cold_ms)
        for sender in self.senders:
            sender.catalog.put(entry)

    def _send_requests(self) -> None:
        for sender in self.senders:
            if sender.is_running:
                sender.tick()
        if self._random.random() < REQUESTS_PER_S * STEP_S:
            self._random.choice([one for one in self.senders if one.is_running]).send()


@dataclass(frozen=True)
class Trouble:
    """What else happens while the endpoint is down, and when its entry is written."""

    loss: float = 0.002
    entry_delay_s: float = 1.2
    kills_checkers: bool = False
    partitions_checkers: bool = False


TROUBLES = {
    "alone": Trouble(),
    "lossy": Trouble(loss=0.2),
    "late-entry": Trouble(entry_delay_s=4.0),
    "checkers-killed": Trouble(kills_checkers=True),
    "checkers-partitioned": Trouble(partitions_checkers=True, entry_delay_s=4.0),
}


@pytest.mark.parametrize("gateways", [2, 7, 30, 65])
@pytest.mark.parametrize("trouble", TROUBLES.values(), ids=TROUBLES)
def test_region_does_not_flood_an_endpoint_that_restarts_under_its_old_id(
    trouble: Trouble, gateways: int
) -> None:
    world = ColdRestart(gateways, seed=gateways, loss=trouble.loss)
    world.run(2.0)
    assert world.endpoint.arrivals
    checkers = world.checkers()
    if trouble.partitions_checkers and gateways > 2:
        world.endpoint.unreached |= set(checkers)
        world.run(1.0)
    world.crash()
    if trouble.kills_checkers and gateways > 2:
        for name in checkers:
            world.fleet.stop(name)
    world.run(DOWN_S)
    world.endpoint.start()
    world.run(trouble.entry_delay_s)
    world.write_entry()
    world.run(WARMUP_S)
    assert world.endpoint.worst_cold_second() <= MAX_ARRIVALS_IN_A_SECOND
    # It is used again, by all gateways, once it is warm.
    started = len(world.endpoint.arrivals)
    world.run(2.0)
    assert len(world.endpoint.arrivals) - started >= REQUESTS_PER_S


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gateways", [7, 30])
def test_crash_just_after_connections_were_reset_does_not_flood_the_new_run(
    gateways: int, seed: int
) -> None:
    world = ColdRestart(gateways, seed)
    world.run(2.0)
    for sender in world.senders:
        sender.runs.note_lost(ENDPOINT, "reset")
    world.run(0.3)
    world.crash()
    world.run(DOWN_S)
    world.endpoint.start()
    world.run(1.2)
    world.write_entry()
    world.run(WARMUP_S)
    assert world.endpoint.worst_cold_second() <= MAX_ARRIVALS_IN_A_SECOND


@pytest.mark.parametrize("gateways", [2, 7, 65])
def test_connections_reset_everywhere_do_not_keep_a_sound_endpoint_from_its_requests(
    gateways: int,
) -> None:
    world = ColdRestart(gateways, seed=gateways)
    world.run(2.0)
    before = world.fleet.kinds.copy()
    for sender in world.senders:
        sender.runs.note_lost(ENDPOINT, "reset")
    world.run(0.3)
    assert not any(sender.runs.is_unverified(ENDPOINT.run) for sender in world.senders)
    started = len(world.endpoint.arrivals)
    world.run(1.0)
    assert len(world.endpoint.arrivals) - started >= 0.8 * REQUESTS_PER_S
    notices = Counter(world.fleet.kinds)
    notices.subtract(before)
    # Each gateway tells two; these tell all, that it is unverified and twice that it is not.
    assert notices[RUN_NOTICE] <= 2 * gateways + 2 * 3 * gateways


RUN_NOTICE = 17
