"""Orders to engines under fencing tokens, with engines that check them and engines that do not."""

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


def loaded_version(engine: Process) -> str:
    return str(engine.control("/state")["version"])


def send_order(engine: Process, fence: int, version: str) -> int:
    answer = request(engine.address, "POST", "/v1/orders", {"fence": fence, "version": version})
    return answer.status


def test_new_version_in_the_plans_is_loaded_within_the_rate(deployment: Deployment) -> None:
    deployment.apply_plans(PLANS.format(revision=1, version="v2"))
    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded_version(engine) == "v2", "v2 is loaded")  # type: ignore[misc]

    orders = [row for engine in deployment.endpoints.values() for row in received_orders(engine)]
    times = sorted(row["at_s"] for row in orders)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert len(orders) == 2
    assert min(gaps) >= 60 / LOADS_PER_MINUTE - 0.05


def received_orders(engine: Process) -> list[dict[str, float]]:
    rows: list[dict[str, float]] = engine.control("/state")["orders"]
    return rows


def test_order_with_an_outdated_fencing_token_does_not_last(deployment: Deployment) -> None:
    assert send_order(deployment.endpoints["checking"], 0, "v1") == 409
    assert send_order(deployment.endpoints["ignoring"], 0, "v1") == 200

    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded_version(engine) == "v2", "v2 is loaded again")  # type: ignore[misc]


def test_next_ordering_gateway_takes_a_higher_fencing_token(deployment: Deployment) -> None:
    ordering_gateway = next(
        name
        for name, process in deployment.gateways.items()
        if any(row.get("event") == 5009 for row in process.log_lines())
    )
    before = deployment.endpoints["checking"].control("/state")["fence"]
    deployment.gateways[ordering_gateway].freeze()
    deployment.apply_plans(PLANS.format(revision=2, version="v3"))
    for engine in deployment.endpoints.values():
        wait_until(lambda engine=engine: loaded_version(engine) == "v3", "v3 is loaded")  # type: ignore[misc]
    deployment.gateways[ordering_gateway].resume()

    assert deployment.endpoints["checking"].control("/state")["fence"] > before
    assert json.dumps(received_orders(deployment.endpoints["checking"])).count("v3") == 1
