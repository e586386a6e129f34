from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.ids import RegionId
from primroseferry_core.plan_format import parse_yaml
from primroseferry_gateway.decisions import DecisionLog
from primroseferry_gateway.forward_server import ForwardServer
from primroseferry_gateway.work_gate import WorkGate
from primroseferry_peers.proto.peer_pb2 import CHAT
from primroseferry_peers.proto.peer_pb2 import SERVICE_DISPATCH
from primroseferry_peers.proto.peer_pb2 import SERVICE_IDEMPOTENT
from primroseferry_peers.proto.peer_pb2 import SERVICE_OWNER
from primroseferry_peers.proto.peer_pb2 import ForwardRequest

if TYPE_CHECKING:
    from primroseferry_gateway.answer_stream import AnswerStream
    from primroseferry_once.table import StoredAnswer

PLANS = """
customers: [{customer: shop, plan: basic}]
plans:
  - plan: basic
    regions: [dakar, thies]
    urgency: normal
    accepted_cost: 1
"""


def serve(region: str, request: ForwardRequest) -> StoredAnswer | AnswerStream | Problem:
    plans = SimpleNamespace(document=parse_yaml(PLANS))
    server = ForwardServer(
        RegionId(region), plans, WorkGate(), DecisionLog(), None, None, None, None  # type: ignore[arg-type]
    )
    return server._serve_checked(request, None)  # type: ignore[arg-type]


def request_of(
    purpose: int, entry: str, visited: list[str], customer: str = "shop"
) -> ForwardRequest:
    return ForwardRequest(
        request_id="req-1",
        purpose=purpose,  # type: ignore[arg-type]
        customer=customer,
        entry_region=entry,
        visited_regions=visited,
        remaining_ms=1_000,
    )


@pytest.mark.parametrize("purpose", [CHAT, SERVICE_IDEMPOTENT, SERVICE_DISPATCH, SERVICE_OWNER])
@pytest.mark.parametrize(
    ("entry", "visited"),
    [
        ("dakar", ["dakar", "saint-louis"]),
        ("dakar", ["saint-louis"]),
        ("dakar", ["dakar", "thies"]),
        ("thies", ["thies", "dakar"]),
        ("dakar", []),
    ],
)
def test_request_that_already_left_its_entry_region_is_rejected(
    purpose: int, entry: str, visited: list[str]
) -> None:
    problem = serve("thies", request_of(purpose, entry, visited))

    assert isinstance(problem, Problem)
    assert problem.kind is ErrorKind.REGION_LOOP
    assert problem.ran.value == "no"


@pytest.mark.parametrize("purpose", [CHAT, SERVICE_IDEMPOTENT, SERVICE_DISPATCH, SERVICE_OWNER])
def test_receiver_in_a_region_outside_the_plan_rejects_the_request(purpose: int) -> None:
    problem = serve("saint-louis", request_of(purpose, "dakar", ["dakar"]))

    assert isinstance(problem, Problem)
    assert problem.kind is ErrorKind.REGION_NOT_PERMITTED


def test_customer_unknown_to_the_receiver_is_rejected() -> None:
    problem = serve("thies", request_of(CHAT, "dakar", ["dakar"], customer="unknown"))

    assert isinstance(problem, Problem)
    assert problem.kind is ErrorKind.NO_PLAN


def test_closed_gate_rejects_forwarded_work_as_not_run() -> None:
    gate = WorkGate()
    gate.close()
    plans = SimpleNamespace(document=parse_yaml(PLANS))
    server = ForwardServer(
        RegionId("thies"), plans, gate, DecisionLog(), None, None, None, None  # type: ignore[arg-type]
    )
    problem = server._serve_checked(request_of(CHAT, "dakar", ["dakar"]), None)  # type: ignore[arg-type]

    assert isinstance(problem, Problem)
    assert (problem.kind, problem.ran.value) == (ErrorKind.GATEWAY_DRAINING, "no")
