"""Orders to engines under fencing numbers, with engines that check them and engines that do not."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import FRANCHISE_CLIENTS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment
    from primroseferry_standins.process import Process

LOADS_PER_MINUTE = 60
PLANS = """
revision: {revision}
customers: [{{customer: shop, plan: franchise}}]
plans:
  - plan: franchise
    regions: [dakar]
    urgency: normal
    accepted_cost: 10
    models: [{{model: small, max_open_requests: 9, version: {version}}}]
"""


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    shape = DeploymentShape(
        regions=("dakar",),
        gateways_per_region=2,
        endpoints=(
            EndpointShape("checking", "dakar", "small"),
            EndpointShape("ignoring", "dakar", "small", options=("--no-checks-fence",)),
        ),
        plans=PLANS.format(revision=0, version="v1"),
        clients=FRANCHISE_CLIENTS,
        gateway_options=("--weight-loads-per-minute", str(LOADS_PER_MINUTE)),
    )
    with start_deployment(shape) as running:
        yield running


def loaded(engine: Process) -> str:
    return str(engine.control("/state")["version"])


def order(engine: Process, fence: int, version: str) -> int:
    answer = request(engine.address, "POST", "/v1/orders", {"fence": fence, "version": version})
    return answer.status


def test_new_version_in_the_plans_is_loaded_within_the_rate(deployment: Deployment) -> None:
    deployment.apply_plans(PLANS.format(revision=1, version="v2"))
    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded(engine) == "v2", "v2 is loaded")  # type: ignore[misc]

    orders = [row for engine in deployment.endpoints.values() for row in orders_of(engine)]
    times = sorted(row["at_s"] for row in orders)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert len(orders) == 2
    assert min(gaps) >= 60 / LOADS_PER_MINUTE - 0.05


def orders_of(engine: Process) -> list[dict[str, float]]:
    rows: list[dict[str, float]] = engine.control("/state")["orders"]
    return rows


def test_late_order_of_an_earlier_giver_does_not_last(deployment: Deployment) -> None:
    assert order(deployment.endpoints["checking"], 0, "v1") == 409
    assert order(deployment.endpoints["ignoring"], 0, "v1") == 200

    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded(engine) == "v2", "v2 is loaded again")  # type: ignore[misc]


def test_next_giver_takes_a_higher_number(deployment: Deployment) -> None:
    giver = next(
        name
        for name, process in deployment.gateways.items()
        if any(row.get("event") == 5009 for row in process.log_lines())
    )
    before = deployment.endpoints["checking"].control("/state")["fence"]
    deployment.gateways[giver].freeze()
    deployment.apply_plans(PLANS.format(revision=2, version="v3"))
    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded(engine) == "v3", "v3 is loaded")  # type: ignore[misc]
    deployment.gateways[giver].resume()

    assert deployment.endpoints["checking"].control("/state")["fence"] > before
    assert json.dumps(orders_of(deployment.endpoints["checking"])).count("v3") == 1
