from __future__ import annotations

import pytest
from primroseferry_core.plan_diff import diff_documents
from primroseferry_core.plan_format import PlanFormatError
from primroseferry_core.plan_format import parse_stored
from primroseferry_core.plan_format import parse_yaml
from primroseferry_core.plan_format import to_stored
from primroseferry_core.plan_format import to_yaml

GOOD = """
revision: 4
customers:
  - {customer: shop, plan: basic}
plans:
  - plan: basic
    regions: [dakar]
    urgency: high
    accepted_cost: 2.5
    weights: {cost: 3}
    models:
      - {model: small, max_open_requests: 4}
    services:
      - service: orders
        max_open_requests: 2
        operations:
          - {operation: POST /orders, execution: at-most-once, lookup_path: "/runs/{key}"}
          - {operation: GET /orders, execution: idempotent}
"""


def test_document_round_trips_through_both_formats() -> None:
    document = parse_yaml(GOOD)

    assert parse_yaml(to_yaml(document)) == document
    assert parse_stored(to_stored(document)) == document


@pytest.mark.parametrize(
    ("wrong", "right", "path", "expected"),
    [
        ("urgency: soon", "urgency: high", "plans[0].urgency", "one of high, normal, low"),
        ("regions: []", "regions: [dakar]", "plans[0].regions", "at least one region"),
        ("plan: other}", "plan: basic}", "customers[0].plan", "the name of a plan"),
        ("max_open_requests: 0", "max_open_requests: 4", "models[0].max_open_requests", "least 1"),
        ("accepted_cost: -1", "accepted_cost: 2.5", "plans[0].accepted_cost", "at least 0"),
        ("accepted_cost: .nan", "accepted_cost: 2.5", "plans[0].accepted_cost", "at least 0"),
        ("SEND /orders", "POST /orders", "operations[0].operation", "a method"),
        ("/runs/all", "/runs/{key}", "operations[0].lookup_path", "containing {key}"),
        ("execution: twice", "execution: idempotent", "operations[1].execution", "at-most-once"),
        ("model: 7", "model: small", "plans[0].models[0].model", "a text"),
        ("revision: four", "revision: 4", "revision", "a whole number"),
        ("colour: red", "urgency: high", "plans[0].colour", "one of plan, regions"),
        ("POST /orders", "GET /orders", "operations[1].operation", "a name used once"),
    ],
)
def test_wrong_field_is_named_by_its_path(wrong: str, right: str, path: str, expected: str) -> None:
    text = GOOD.replace(right, wrong)
    assert text != GOOD

    with pytest.raises(PlanFormatError) as caught:
        parse_yaml(text)

    assert path in caught.value.path
    assert expected in str(caught.value)


@pytest.mark.parametrize("text", ["", "[]", "a: [", "customers: 3", "\x00"])
def test_invalid_document_is_rejected(text: str) -> None:
    with pytest.raises(PlanFormatError):
        parse_yaml(text)


def test_plans_with_different_versions_of_a_model_are_rejected() -> None:
    other = """
  - plan: other
    regions: [dakar]
    urgency: low
    accepted_cost: 1
    models: [{model: small, max_open_requests: 1, version: v2}]
"""
    text = GOOD.replace("max_open_requests: 4}", "max_open_requests: 4, version: v1}") + other

    with pytest.raises(PlanFormatError, match=r"plans\[1\].models\[0\].version: expected 'v1'"):
        parse_yaml(text)


def test_invalid_stored_document_is_rejected() -> None:
    with pytest.raises(PlanFormatError):
        parse_stored(b"garbage")


def test_operation_with_the_longest_path_prefix_is_found() -> None:
    service = parse_yaml(GOOD).plans[0].services[0]

    found = service.find_operation("GET", "/orders/7")

    assert found is not None
    assert found.path == "/orders"
    assert service.find_operation("GET", "/ordersheet") is None
    assert service.find_operation("DELETE", "/orders") is None


def test_diff_names_added_removed_and_changed_rows() -> None:
    before = parse_yaml(GOOD)
    after = parse_yaml(
        GOOD.replace("customer: shop", "customer: kiosk").replace("urgency: high", "urgency: low")
    )

    rows = [(row.row_name, row.kind.value) for row in diff_documents(before, after)]

    assert rows == [("kiosk", "added"), ("shop", "removed"), ("basic", "changed")]
