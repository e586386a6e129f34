"""End-to-end tests: caller, gateways in three regions, platform, engines and services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.caller import request

if TYPE_CHECKING:
    from primroseferry_standins.deployment import Deployment

TOKEN = "shop-token"
ORDERS = "/v1/services/orders/orders"


def test_streamed_chat_from_an_engine_of_the_region_is_complete(deployment: Deployment) -> None:
    answer = chat(deployment.gateways["dakar-1"].address, TOKEN, "small", "label?", 20)

    assert isinstance(answer, StreamedAnswer)
    assert answer.is_complete()
    assert len(answer.words) == 20


def test_streamed_chat_is_forwarded_to_a_region_with_engines(deployment: Deployment) -> None:
    local = chat(deployment.gateways["dakar-1"].address, TOKEN, "small", "same words?", 12)
    remote = chat(deployment.gateways["thies-1"].address, TOKEN, "small", "same words?", 12)

    assert isinstance(local, StreamedAnswer)
    assert isinstance(remote, StreamedAnswer)
    assert remote.is_complete()
    assert remote.words == local.words


def test_unstreamed_chat_carries_its_request_id_and_event_count(deployment: Deployment) -> None:
    body = {"model": "small", "messages": [{"role": "user", "content": "x"}], "max_tokens": 3}
    answer = request(
        deployment.gateways["dakar-2"].address, "POST", "/v1/chat/completions", body, TOKEN
    )

    data = answer.json()
    assert data["primroseferry"]["request_id"] == answer.request_id
    assert data["primroseferry"]["events"] == 3
    assert len(data["choices"][0]["message"]["content"].split()) == 3


def test_lookup_is_answered_by_a_service(deployment: Deployment) -> None:
    answer = request(
        deployment.gateways["thies-2"].address,
        "GET",
        "/v1/services/orders/stock/lot-7",
        token=TOKEN,
    )

    assert (answer.status, answer.json()) == (200, {"name": "lot-7", "units": 5})


def test_order_under_an_issued_key_runs_once_whichever_gateway_gets_it(
    deployment: Deployment,
) -> None:
    entry = request(deployment.gateways["dakar-1"].address, "GET", "/v1/entry", token=TOKEN)
    key = entry.json()["idempotency_key_prefix"] + "order-1"
    answers = [
        request(process.address, "POST", ORDERS, {"lot": 7}, TOKEN, Idempotency_Key=key)
        for name, process in deployment.gateways.items()
        if not name.startswith("saint-louis")
    ]

    assert [answer.status for answer in answers] == [201] * 4
    assert len({answer.body for answer in answers}) == 1
    assert _run_count(deployment, key) == 1


def test_order_under_a_callers_own_key_runs_once_whichever_gateway_gets_it(
    deployment: Deployment,
) -> None:
    answers = [
        request(process.address, "POST", ORDERS, {"lot": 8}, TOKEN, Idempotency_Key="own-key-8")
        for name, process in deployment.gateways.items()
        if not name.startswith("saint-louis")
    ]

    assert [answer.status for answer in answers] == [201] * 4
    assert _run_count(deployment, "own-key-8") == 1


def test_key_reused_for_another_body_is_refused(deployment: Deployment) -> None:
    gateway = deployment.gateways["dakar-1"].address
    first = request(gateway, "POST", ORDERS, {"lot": 1}, TOKEN, Idempotency_Key="own-key-9")
    second = request(gateway, "POST", ORDERS, {"lot": 2}, TOKEN, Idempotency_Key="own-key-9")

    assert first.status == 201
    assert (second.status, second.json()["type"]) == (422, "urn:primroseferry:problem:key-reused")
    assert _run_count(deployment, "own-key-9") == 1


def test_entry_names_gateways_of_permitted_regions_only(deployment: Deployment) -> None:
    entry = request(deployment.gateways["dakar-1"].address, "GET", "/v1/entry", token=TOKEN)

    regions = [row["region"] for row in entry.json()["entries"]]
    assert regions == ["dakar", "dakar", "thies", "thies"]


def test_gateway_of_a_region_outside_the_plan_refuses(deployment: Deployment) -> None:
    answer = chat(deployment.gateways["saint-louis-1"].address, TOKEN, "small", "x", 3)

    assert not isinstance(answer, StreamedAnswer)
    assert (answer.status, answer.ran) == (403, "no")


def _run_count(deployment: Deployment, key: str) -> int:
    logs = [
        process.control("/state")["log"]
        for name, process in deployment.endpoints.items()
        if "orders" in name
    ]
    return sum(row["key"] == key for log in logs for row in log)
