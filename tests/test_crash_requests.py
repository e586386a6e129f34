"""A request crashes at most two endpoints in the fleet, and innocent requests are served."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import FRANCHISE_CLIENTS
from primroseferry_standins.shapes import FRANCHISE_PLANS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.caller import Answer
    from primroseferry_standins.deployment import Deployment

MARKER = "poison"
INNOCENT_REQUESTS = 8


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    shape = DeploymentShape(
        regions=("dakar", "thies"),
        gateways_per_region=2,
        endpoints=tuple(
            EndpointShape(f"{region}-engine-{number}", region, "small")
            for region in ("dakar", "thies")
            for number in (1, 2, 3)
        ),
        plans=FRANCHISE_PLANS,
        clients=FRANCHISE_CLIENTS,
        link_delay_ms=10.0,
    )
    with start_deployment(shape) as running:
        for engine in running.endpoints.values():
            engine.fault(crash_marker=MARKER)
        yield running


def dead_engines(deployment: Deployment) -> int:
    return sum(not process.is_running() for process in deployment.endpoints.values())


def send_prompt(deployment: Deployment, gateway: str, prompt: str) -> Answer | StreamedAnswer:
    address = deployment.gateways[gateway].address
    return chat(address, "shop-token", "small", prompt, 60, X_Needed_Within_Ms="20000")


def test_request_that_crashes_endpoints_is_refused_after_the_second_in_every_region(
    deployment: Deployment,
) -> None:
    first = send_prompt(deployment, "dakar-1", MARKER)
    assert not isinstance(first, StreamedAnswer)
    assert (first.status, first.json()["type"].rpartition(":")[2]) == (422, "request-quarantined")
    assert first.headers["retry-after"] == "600"
    for gateway in ("dakar-2", "thies-1", "thies-2"):
        wait_until(
            lambda gateway=gateway: bool(  # type: ignore[misc]
                gateway_state(deployment.gateways[gateway])["quarantined"]
            ),
            f"{gateway} received the quarantine",
        )
        answer = send_prompt(deployment, gateway, MARKER)
        assert not isinstance(answer, StreamedAnswer)
        assert answer.status == 422

    assert dead_engines(deployment) == 2


def test_innocent_requests_batched_with_it_are_served(deployment: Deployment) -> None:
    answers: dict[str, Answer | StreamedAnswer] = {}
    lock = threading.Lock()

    def run(prompt: str) -> None:
        answer = send_prompt(deployment, "dakar-1", prompt)
        with lock:
            answers[prompt] = answer

    prompts = [f"innocent {number}" for number in range(INNOCENT_REQUESTS)]
    threads = [threading.Thread(target=run, args=(prompt,)) for prompt in prompts]
    for thread in threads:
        thread.start()
    wait_until(lambda: _running(deployment) == INNOCENT_REQUESTS, "the innocent requests run")
    culprit = send_prompt(deployment, "dakar-1", MARKER)
    for thread in threads:
        thread.join(30)

    assert not isinstance(culprit, StreamedAnswer)
    assert culprit.status == 422
    assert dead_engines(deployment) == 2
    for prompt in prompts:
        answer = answers[prompt]
        assert isinstance(answer, StreamedAnswer), prompt
        assert answer.is_complete(), prompt
    quarantined = gateway_state(deployment.gateways["dakar-1"])["quarantined"]
    assert len(quarantined) == 1


def _running(deployment: Deployment) -> int:
    return sum(
        len(process.control("/state")["running"])
        for process in deployment.endpoints.values()
        if process.is_running()
    )
