"""A region at the size to design for in which every endpoint names a request limit."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_relay.endpoints.endpoint import EndpointRun
from primroseferry_relay.local_attempts import MAX_PERMITS_DENIED
from primroseferry_relay.membership.request_permits import REPLY_TIMEOUT_S

from .fleet_simulation import FleetSimulation

if TYPE_CHECKING:
    from primroseferry_relay.membership.request_permits import PendingPermit

    from .fleet_simulation import SimulatedGateway

GATEWAYS = 40
ENDPOINTS = 80
REQUESTS_PER_S = 950.0
MAX_CONTROL_BYTES_PER_S = 9_000
MIN_USED_SHARE = 0.8
WINDOW_S = 4.0


@dataclass
class _Request:
    gateway: SimulatedGateway
    denied: set[EndpointRun] = field(default_factory=set)
    permit: PendingPermit | None = None


class LimitedRegion:
    """Requests that any endpoint may take, of gateways that ask for permits."""

    def __init__(self, limit_per_s: float) -> None:
        self.fleet = FleetSimulation(seed=3)
        self.fleet.start_regions({"north": GATEWAYS})
        self.fleet.run(4.0)
        self.sent: Counter[EndpointRun] = Counter()
        self._limit_per_s = limit_per_s
        self._random = random.Random(5)
        self._runs = [
            EndpointRun(EndpointId(f"e-{number}"), 1, f"10.0.1.{number}:80")
            for number in range(ENDPOINTS)
        ]
        self._waiting: list[_Request] = []

    def step(self, step_s: float = 0.01) -> None:
        """Play the requests of one step."""
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._continue(request)
        expected = REQUESTS_PER_S * step_s
        count = int(expected) + (self._random.random() < expected % 1)
        for gateway in self._random.choices(self.fleet.region("north"), k=count):
            self._try_next(_Request(gateway))

    def _continue(self, request: _Request) -> None:
        permit, permits = request.permit, request.gateway.permits
        assert permit is not None
        if self.fleet.clock.now_s - permit.asked_s >= REPLY_TIMEOUT_S:
            permits.time_out(permit)
        if permit.is_granted:
            self._send(request.gateway, permit.run)
        elif permit.done.is_set():
            request.denied.add(permit.run)
            self._try_next(request)
        else:
            self._waiting.append(request)

    def _try_next(self, request: _Request) -> None:
        permits = request.gateway.permits
        runs = [
            run
            for run in self._runs
            if run not in request.denied and permits.wait_s(run, is_urgent=True) <= 0
        ]
        if not runs or len(request.denied) >= MAX_PERMITS_DENIED:
            return
        run = self._random.choice(runs)
        request.permit = permits.ask(run, is_urgent=True)
        if request.permit is None:
            self._send(request.gateway, run)
        else:
            self._waiting.append(request)

    def _send(self, gateway: SimulatedGateway, run: EndpointRun) -> None:
        self.sent[run] += 1
        limits = gateway.permits.limits
        if limits.note_answer(run, self._limit_per_s, limits.now_s()):
            gateway.exchange.send_request_limits()


@pytest.mark.parametrize("limit_per_s", [1.0, 5.0, 12.0])
def test_control_traffic_is_bounded_while_all_endpoints_name_limits(limit_per_s: float) -> None:
    region = LimitedRegion(limit_per_s)
    region.fleet.run(5.0, region.step)
    before = Counter(region.fleet.sent_bytes)
    region.sent.clear()
    region.fleet.run(WINDOW_S, region.step)
    bytes_per_s = sorted(
        (region.fleet.sent_bytes[gateway.name] - before[gateway.name]) / WINDOW_S
        for gateway in region.fleet.region("north")
    )
    assert bytes_per_s[GATEWAYS // 2] <= MAX_CONTROL_BYTES_PER_S
    assert region.sent.total() >= MIN_USED_SHARE * limit_per_s * ENDPOINTS * WINDOW_S
    assert max(region.sent.values()) <= 1.5 * limit_per_s * WINDOW_S + 5
