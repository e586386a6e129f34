from __future__ import annotations

from dataclasses import replace

import pytest

from faults.checker import Rule
from faults.checker import check_history
from faults.history import ChatAnswered
from faults.history import EndpointLeft
from faults.history import EndpointStarted
from faults.history import ExecutionStatus
from faults.history import Forwarded
from faults.history import LinkCarried
from faults.history import OrderAnswered
from faults.history import Permission
from faults.history import PlanReported
from faults.history import PlansStored
from faults.history import Record
from faults.history import RevisionInForce
from faults.history import ServiceRan

RUN = ServiceRan("orders-1", "dakar", "key-1", at_s=10.0)
ANSWER = OrderAnswered("key-1", 9.0, 11.0, ExecutionStatus.ANSWERED, 201, "number 1")
NOT_RUN = OrderAnswered("key-2", 9.0, 11.0, ExecutionStatus.NO, 503, "", "gateway-draining")
CHAT = ChatAnswered("dossier-1", ("a", "b"), ("a", "b"), is_complete=True, is_refused=False)
STARTED = EndpointStarted("engine-1", "dakar", "dossier-1", at_s=10.0)
CARRIED = LinkCarried("dakar", "thies", "dossier-1")
HOP = Forwarded("req-1", "dakar", "thies")
IN_FORCE = RevisionInForce("dakar-1", 1, 3)
REPORTED = PlanReported("chg-1", is_accepted=True)
STORED = PlansStored(("chg-1",))
LEFT = EndpointLeft("engine-1", at_s=9.0)
GOOD: tuple[Record, ...] = (
    RUN,
    ANSWER,
    NOT_RUN,
    CHAT,
    STARTED,
    CARRIED,
    HOP,
    IN_FORCE,
    REPORTED,
    STORED,
    LEFT,
)
PERMISSIONS = (Permission("dossier", ("dakar", "thies")),)


def test_allowed_history_has_no_violation() -> None:
    allowed: tuple[Record, ...] = (
        replace(IN_FORCE, revision=4),
        replace(IN_FORCE, run=2, revision=1),
        replace(HOP, to_region="saint-louis"),
        replace(RUN, key="key-2", at_s=12.0),
        replace(CHAT, words=("a",), is_complete=False),
        PlanReported("chg-2", is_accepted=False),
    )

    assert check_history(GOOD + allowed, PERMISSIONS) == []


@pytest.mark.parametrize(
    ("bad", "rule"),
    [
        (replace(RUN, endpoint="orders-2"), Rule.AT_MOST_ONCE),
        (replace(RUN, key="key-2"), Rule.NOT_RUN_IS_CORRECT),
        (replace(ANSWER, key="key-3"), Rule.ANSWERED_ORDER_RAN),
        (replace(ANSWER, body="number 2"), Rule.ANSWERED_ORDER_RAN),
        (replace(CHAT, words=("a", "c")), Rule.ANSWER_IS_COMPLETE),
        (replace(CHAT, words=("a",)), Rule.ANSWER_IS_COMPLETE),
        (replace(CHAT, words=("a", "a", "b")), Rule.ANSWER_IS_COMPLETE),
        (replace(STARTED, region="saint-louis"), Rule.CONTENT_REGIONS),
        (replace(CARRIED, to_region="saint-louis"), Rule.CONTENT_REGIONS),
        (replace(HOP, from_region="thies", to_region="dakar"), Rule.ONE_HOP),
        (replace(HOP, from_region="thies", to_region="saint-louis"), Rule.ONE_HOP),
        (replace(IN_FORCE, revision=2), Rule.PLAN_REVISION_INCREASES),
        (replace(IN_FORCE, revision=3), Rule.PLAN_REVISION_INCREASES),
        (PlanReported("chg-9", is_accepted=True), Rule.ACCEPTED_IS_STORED),
        (PlanReported("chg-1", is_accepted=False), Rule.ACCEPTED_IS_STORED),
        (replace(STARTED, at_s=12.5), Rule.NO_WORK_AFTER_LEAVING),
        (replace(RUN, endpoint="engine-1", key="key-9", at_s=12.5), Rule.NO_WORK_AFTER_LEAVING),
    ],
)
def test_bad_history_is_refused_by_its_rule(bad: Record, rule: Rule) -> None:
    violations = check_history((*GOOD, bad), PERMISSIONS)

    assert {violation.rule for violation in violations} == {rule}


def test_every_rule_has_a_bad_history() -> None:
    marks = test_bad_history_is_refused_by_its_rule.pytestmark  # type: ignore[attr-defined]
    covered = {case[1] for case in marks[0].args[1]}

    assert covered == set(Rule)
