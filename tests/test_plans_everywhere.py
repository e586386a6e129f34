"""Plan changes reach every gateway in time, also in outages, with a bounded number of calls."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import FRANCHISE_PLANS
from primroseferry_standins.shapes import single_region
from primroseferry_standins.shapes import three_regions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment

IN_FORCE_LIMIT_S = 10.0
COUNT_DURATION_S = 11.0
MAX_CALLS_PER_MINUTE = 30


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    with start_deployment(three_regions()) as running:
        yield running


def revision_at(deployment: Deployment, name: str) -> int:
    return int(gateway_state(deployment.gateways[name])["plans"]["revision"])


def change_plans(deployment: Deployment) -> int:
    """Apply a plan change and return its revision."""
    revision = max(revision_at(deployment, name) for name in deployment.gateways)
    text = FRANCHISE_PLANS.replace("revision: 0", f"revision: {revision}")
    deployment.apply_plans(text.replace("accepted_cost: 10", f"accepted_cost: {10 + revision}"))
    return revision + 1


@pytest.mark.parametrize("delay_ms", [0, 1_500])
def test_change_is_in_force_everywhere_in_time_with_a_slow_service(
    deployment: Deployment, delay_ms: int
) -> None:
    deployment.key_value.fault(delay_ms=delay_ms)
    try:
        revision = change_plans(deployment)
        for name in deployment.gateways:
            wait_until(
                lambda name=name: revision_at(deployment, name) >= revision,  # type: ignore[misc]
                f"revision {revision} at {name}",
                IN_FORCE_LIMIT_S,
            )
    finally:
        deployment.key_value.fault(delay_ms=0)


def test_new_gateway_takes_its_peers_plans_while_the_service_is_down(
    deployment: Deployment,
) -> None:
    revision = change_plans(deployment)
    for name in deployment.gateways:
        wait_until(lambda name=name: revision_at(deployment, name) >= revision, name)  # type: ignore[misc]
    deployment.key_value.fault(down=True)
    try:
        process = deployment.add_gateway("thies-3", "thies")
        wait_until(
            lambda: request(process.address, "GET", "/readyz").status == 200, "thies-3 is ready"
        )
        assert revision_at(deployment, "thies-3") == revision
    finally:
        deployment.key_value.fault(down=False)


def test_gateway_without_any_plans_serves_nothing() -> None:
    with start_deployment(single_region()) as running:
        running.key_value.fault(down=True)
        running.unpublish("dakar-1")
        process = running.add_gateway("dakar-2", "dakar")
        running.gateways["dakar-1"].kill()
        answer = request(process.address, "GET", "/readyz")
        chat = request(process.address, "POST", "/v1/chat/completions", {}, "shop-token")

    assert (answer.status, chat.status) == (503, 503)
    assert chat.json()["type"].endswith("gateway-not-ready")
    assert chat.ran == "no"


def test_calls_on_the_service_do_not_grow_with_the_gateways() -> None:
    """Count calls for longer than one watch wait, with 2, 4 and 8 gateways in a region."""
    with ThreadPoolExecutor(3) as pool:
        counts = list(pool.map(calls_per_minute, (2, 4, 8)))

    assert max(counts) <= MAX_CALLS_PER_MINUTE, counts


def calls_per_minute(gateways: int) -> float:
    with start_deployment(single_region(gateways)) as running:
        running.key_value.fault(reset_counts=True)
        time.sleep(COUNT_DURATION_S)
        counts: dict[str, int] = running.key_value.control("/state")["counts"]
    return sum(counts.values()) * 60 / COUNT_DURATION_S
