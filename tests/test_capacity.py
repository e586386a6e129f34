"""The capacity of a plan limits the open requests of all gateways, also during a partition."""

from __future__ import annotations

import threading
from collections import Counter

from primroseferry_standins.caller import Answer
from primroseferry_standins.caller import CallFailedError
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import Deployment
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import FRANCHISE_CLIENTS
from primroseferry_standins.shapes import FRANCHISE_PLANS

CAPACITY = 8
CALLERS_PER_GATEWAY = 6


def test_open_requests_stay_within_the_plan_during_a_partition() -> None:
    shape = DeploymentShape(
        regions=("dakar", "thies"),
        gateways_per_region=2,
        endpoints=(
            EndpointShape("dakar-engine", "dakar", "small"),
            EndpointShape("thies-engine", "thies", "small"),
        ),
        plans=FRANCHISE_PLANS.replace("max_open_requests: 100", f"max_open_requests: {CAPACITY}"),
        clients=FRANCHISE_CLIENTS,
        link_delay_ms=5.0,
    )
    outcomes: Counter[str] = Counter()
    lock = threading.Lock()

    def send(address: str) -> None:
        try:
            answer = chat(address, "shop-token", "small", "x", 30)
        except CallFailedError:
            name = "failed"
        else:
            name = "complete" if isinstance(answer, StreamedAnswer) else _kind(answer)
        with lock:
            outcomes[name] += 1

    with start_deployment(shape) as deployment:
        for gateway in deployment.gateways.values():
            chat(gateway.address, "shop-token", "small", "hello", 1)
        deployment.cut("dakar", "thies")
        for engine in deployment.endpoints.values():
            engine.fault(hold_at_event=2)
        threads = [
            threading.Thread(target=send, args=(gateway.address,))
            for gateway in deployment.gateways.values()
            for _ in range(CALLERS_PER_GATEWAY)
        ]
        for thread in threads:
            thread.start()
        refused = len(threads) - CAPACITY
        wait_until(
            lambda: outcomes["over-capacity"] == refused, "requests beyond the capacity are refused"
        )
        # A stream is held only when its first event was sent.
        wait_until(lambda: _held(deployment) >= CAPACITY, "the other requests are answered")
        held = _held(deployment)
        for engine in deployment.endpoints.values():
            engine.fault(hold_at_event=0)
        for thread in threads:
            thread.join(30)

    assert held == CAPACITY
    assert outcomes == {"complete": CAPACITY, "over-capacity": refused}


def _held(deployment: Deployment) -> int:
    return sum(len(row.control("/state")["held"]) for row in deployment.endpoints.values())


def _kind(answer: Answer) -> str:
    return str(answer.json()["type"]).rpartition(":")[2]
