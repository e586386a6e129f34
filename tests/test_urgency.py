"""Urgent plans have priority, and requests of other plans wait for a bounded time."""

from __future__ import annotations

import threading

from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until

PLANS = """
customers: [{customer: urgent, plan: high}, {customer: patient, plan: low}]
plans:
  - plan: high
    regions: [dakar]
    urgency: high
    accepted_cost: 10
    models: [{model: small, max_open_requests: 50}]
  - plan: low
    regions: [dakar]
    urgency: low
    accepted_cost: 10
    models: [{model: small, max_open_requests: 50}]
"""
URGENT_CALLERS = 6


def test_low_urgency_request_is_not_starved_by_urgent_ones() -> None:
    """With one slot and urgent requests always waiting, strict priority would starve the other."""
    shape = DeploymentShape(
        regions=("dakar",),
        gateways_per_region=1,
        endpoints=(EndpointShape("engine", "dakar", "small", options=("--slots", "1")),),
        plans=PLANS,
        clients={
            "urgent": {"customer": "urgent", "region": "dakar"},
            "patient": {"customer": "patient", "region": "dakar"},
        },
    )
    is_finished = threading.Event()
    with start_deployment(shape) as deployment:
        address = deployment.gateways["dakar-1"].address
        engine = deployment.endpoints["engine"]

        def send_urgent_chats() -> None:
            while not is_finished.is_set():
                chat(address, "urgent", "small", "now", 30)

        callers = [threading.Thread(target=send_urgent_chats) for _ in range(URGENT_CALLERS)]
        for caller in callers:
            caller.start()
        wait_until(lambda: bool(engine.control("/state")["running"]), "the engine is busy")
        answer = chat(address, "patient", "small", "later", 5, X_Needed_Within_Ms="25000")
        is_finished.set()
        for caller in callers:
            caller.join(60)

    assert isinstance(answer, StreamedAnswer)
    assert answer.is_complete()
