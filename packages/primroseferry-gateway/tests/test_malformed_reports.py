"""Endpoints that answer the polls of background threads with status 200 and any content."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any
from typing import cast

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_gateway.engine_orders import EngineOrders
from primroseferry_gateway.load_poller import LoadPoller
from primroseferry_transport.calls import HttpReply
from result import Ok

ENDPOINT = cast("Any", SimpleNamespace(endpoint=EndpointId("e-1"), address="127.0.0.1:1"))
REPORT = {"running": 1, "queued": 0, "slots": 4, "step_ms": 10.0, "price": 1.0}


def _without(name: str) -> dict[str, object]:
    return {key: value for key, value in REPORT.items() if key != name}


BODIES = [
    b"",
    b"\xff",
    b"[]",
    b"null",
    b"[" * 100_000,
    *(json.dumps(_without(name)).encode() for name in REPORT),
    *(json.dumps({**REPORT, "slots": value}).encode() for value in ("x", -1, 2**40, 1.5, None)),
    json.dumps({**REPORT, "price": float("nan")}).encode(),
]


def _loop(body: bytes) -> Any:
    return SimpleNamespace(call=lambda _call: Ok(HttpReply(200, {}, body)))


@pytest.mark.parametrize("body", BODIES, ids=range(len(BODIES)))
def test_malformed_load_report_is_ignored_and_does_not_end_the_poller(body: bytes) -> None:
    any_part = cast("Any", None)
    poller = LoadPoller(
        any_part, any_part, any_part, any_part, any_part, any_part, any_part, poll_ms=100
    )
    poller._take_report(ENDPOINT, Ok(HttpReply(200, {}, body)))


@pytest.mark.parametrize("body", [*BODIES, b'{"version": 7}'], ids=range(len(BODIES) + 1))
def test_malformed_engine_state_is_unknown_and_does_not_end_the_orders(body: bytes) -> None:
    any_part = cast("Any", None)
    orders = EngineOrders(any_part, _loop(body), any_part, any_part, any_part, loads_per_minute=6)
    assert orders._loaded_version(ENDPOINT) is None
