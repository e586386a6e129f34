"""A disconnected region serves its own callers; after reconnection no order has run twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import FRANCHISE_PLANS
from primroseferry_standins.shapes import three_regions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment

ORDERS = "/v1/services/orders/orders"
KIOSK = "kiosk-token"
SHOP = "shop-token"


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Isolate Thiès, which has the order service but no platform, and Saint-Louis.

    One gateway in each resolves its caller before the isolation.
    """
    with start_deployment(three_regions()) as running:
        thies = running.gateways["thies-1"].address
        request(thies, "GET", "/v1/entry", token=SHOP)
        request(running.gateways["saint-louis-1"].address, "GET", "/v1/entry", token=KIOSK)
        running.isolate("thies")
        running.isolate("saint-louis")
        yield running
        running.isolate("thies", "none")
        running.isolate("saint-louis", "none")


def own_prefix(address: str, instance: str) -> str:
    """Request key prefixes until ``instance`` owns the issued one, and return it."""
    while True:
        entry = request(address, "GET", "/v1/entry", token=SHOP).json()
        prefix = str(entry["idempotency_key_prefix"])
        if f"~{instance}~" in prefix:
            return prefix


def run_count(deployment: Deployment, key: str) -> int:
    services = [process for name, process in deployment.endpoints.items() if "orders" in name]
    logs = [row for process in services for row in process.control("/state")["log"]]
    return sum(row["key"] == key for row in logs)


def test_streams_and_lookups_are_served(deployment: Deployment) -> None:
    answer = chat(deployment.gateways["saint-louis-1"].address, KIOSK, "small", "label?", 10)
    thies = deployment.gateways["thies-1"].address
    lookup = request(thies, "GET", "/v1/services/orders/stock/lot-1", token=SHOP)

    assert isinstance(answer, StreamedAnswer)
    assert answer.is_complete()
    assert lookup.status == 200


def test_order_under_an_issued_key_runs_once(deployment: Deployment) -> None:
    address = deployment.gateways["thies-1"].address
    key = own_prefix(address, "thies-1") + "isolated"
    first = request(address, "POST", ORDERS, {"lot": 1}, SHOP, Idempotency_Key=key)
    again = request(address, "POST", ORDERS, {"lot": 1}, SHOP, Idempotency_Key=key)

    assert (first.status, again.body) == (201, first.body)
    assert run_count(deployment, key) == 1


def test_order_under_a_callers_own_key_is_not_dispatched(deployment: Deployment) -> None:
    address = deployment.gateways["thies-1"].address
    answer = request(address, "POST", ORDERS, {"lot": 2}, SHOP, Idempotency_Key="own-cut-off")

    assert (answer.status, answer.ran) == (503, "unknown")
    assert answer.json()["type"].endswith("key-not-claimed")
    assert run_count(deployment, "own-cut-off") == 0


def test_order_of_an_unreachable_owner_is_unknown_and_runs_once_after_reconnection(
    deployment: Deployment,
) -> None:
    key = own_prefix(deployment.gateways["dakar-1"].address, "dakar-1") + "behind"
    thies = deployment.gateways["thies-1"].address
    body = {"lot": 3}
    cut_off = request(thies, "POST", ORDERS, body, SHOP, Idempotency_Key=key)
    dakar = deployment.gateways["dakar-1"].address
    at_owner = request(dakar, "POST", ORDERS, body, SHOP, Idempotency_Key=key)
    deployment.isolate("thies", "none")
    wait_until(
        lambda: request(thies, "POST", ORDERS, body, SHOP, Idempotency_Key=key).status == 201,
        "the owner can be reached again",
    )

    assert (cut_off.status, cut_off.ran) == (504, "unknown")
    assert at_owner.status == 201
    assert run_count(deployment, key) == 1


def test_plan_change_during_the_cut_arrives_after_reconnection(deployment: Deployment) -> None:
    text = FRANCHISE_PLANS.replace("revision: 0", "revision: 1")
    deployment.apply_plans(text.replace("accepted_cost: 10", "accepted_cost: 11"))
    process = deployment.gateways["saint-louis-2"]
    assert gateway_state(process)["plans"]["revision"] == 1
    deployment.isolate("saint-louis", "none")

    wait_until(lambda: gateway_state(process)["plans"]["revision"] == 2, "revision 2", 10.0)
