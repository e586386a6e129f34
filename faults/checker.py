"""Checks the invariants of the system against a recorded history."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeVar

from .history import ChatAnswered
from .history import EndpointLeft
from .history import EndpointStarted
from .history import ExecutionStatus
from .history import Forwarded
from .history import LinkCarried
from .history import OrderAnswered
from .history import PlanReported
from .history import PlansStored
from .history import RevisionInForce
from .history import ServiceRan

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .history import Permission
    from .history import Record

    T = TypeVar("T")

LEAVING_GRACE_S = 3.0


class Rule(Enum):
    """The invariants that a history must satisfy."""

    AT_MOST_ONCE = "an operation runs at most once"
    NOT_RUN_IS_CORRECT = "an order answered with 'not run' did not run before the answer"
    ANSWERED_ORDER_RAN = "an answered order ran, and all answers under its key are equal"
    ANSWER_IS_COMPLETE = "a complete answer holds exactly the words expected for its prompt"
    CONTENT_REGIONS = "content stays in the regions that the plan permits"
    ONE_HOP = "a region that received a forwarded request does not forward it again"
    PLAN_REVISION_INCREASES = "the plan revision in force at a gateway process only increases"
    ACCEPTED_IS_STORED = "a change is reported as accepted exactly when it is stored"
    NO_WORK_AFTER_LEAVING = "a leaving endpoint starts no work later than 3 s after it is reported"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that the history breaks, and the record that breaks it."""

    rule: Rule
    detail: str


def check_history(history: Sequence[Record], permissions: Sequence[Permission]) -> list[Violation]:
    """Return all violations of the invariants; an allowed history has none."""
    return [
        *_check_single_runs(history),
        *_check_not_run(history),
        *_check_answered(history),
        *_check_complete_answers(history),
        *_check_content_regions(history, permissions),
        *_check_hops(history),
        *_check_plan_revisions(history),
        *_check_accepted(history),
        *_check_leaving(history),
    ]


def _records_of(history: Sequence[Record], kind: type[T]) -> list[T]:
    return [record for record in history if isinstance(record, kind)]


def _check_single_runs(history: Sequence[Record]) -> Iterator[Violation]:
    counts = Counter(record.key for record in _records_of(history, ServiceRan) if record.key)
    for key, count in counts.items():
        if count > 1:
            yield Violation(Rule.AT_MOST_ONCE, f"key {key} ran {count} times")


def _check_not_run(history: Sequence[Record]) -> Iterator[Violation]:
    """Report orders that ran before they were answered with ``ran: no``.

    A run after that answer is allowed: it belongs to a later attempt under the same key.
    """
    runs = _records_of(history, ServiceRan)
    for answer in _records_of(history, OrderAnswered):
        if answer.ran is not ExecutionStatus.NO:
            continue
        if any(run.key == answer.key and run.at_s <= answer.answered_s for run in runs):
            yield Violation(
                Rule.NOT_RUN_IS_CORRECT, f"key {answer.key} ran but was answered {answer.kind}"
            )


def _check_answered(history: Sequence[Record]) -> Iterator[Violation]:
    runs = {run.key for run in _records_of(history, ServiceRan)}
    first: dict[str, str] = {}
    for answer in _records_of(history, OrderAnswered):
        if answer.ran is not ExecutionStatus.ANSWERED:
            continue
        if answer.key not in runs:
            yield Violation(Rule.ANSWERED_ORDER_RAN, f"key {answer.key} was answered but never ran")
        if first.setdefault(answer.key, answer.body) != answer.body:
            yield Violation(Rule.ANSWERED_ORDER_RAN, f"key {answer.key} got two different answers")


def _check_complete_answers(history: Sequence[Record]) -> Iterator[Violation]:
    for answer in _records_of(history, ChatAnswered):
        if not answer.is_complete:
            continue
        if answer.words != answer.expected_words:
            yield Violation(
                Rule.ANSWER_IS_COMPLETE,
                f"{answer.prompt}: unexpected answer of {len(answer.words)} words",
            )


def _check_content_regions(
    history: Sequence[Record], permissions: Sequence[Permission]
) -> Iterator[Violation]:
    for permission in permissions:
        for started in _records_of(history, EndpointStarted):
            if permission.marker in started.prompt and started.region not in permission.regions:
                where = f"endpoint {started.endpoint} in {started.region}"
                yield Violation(Rule.CONTENT_REGIONS, f"{permission.marker} reached {where}")
        for carried in _records_of(history, LinkCarried):
            is_inside = {carried.from_region, carried.to_region} <= set(permission.regions)
            if carried.word.startswith(permission.marker) and not is_inside:
                where = f"{carried.from_region} to {carried.to_region}"
                yield Violation(Rule.CONTENT_REGIONS, f"{carried.word} crossed from {where}")


def _check_hops(history: Sequence[Record]) -> Iterator[Violation]:
    """Report requests that a region forwards although another region forwarded them to it.

    The first region may forward a request several times: a retry may choose another region.
    """
    sent_to: dict[str, set[str]] = {}
    for hop in _records_of(history, Forwarded):
        sent_to.setdefault(hop.request_id, set()).add(hop.to_region)
    for hop in _records_of(history, Forwarded):
        if hop.from_region in sent_to[hop.request_id]:
            route = f"{hop.from_region} to {hop.to_region}"
            yield Violation(Rule.ONE_HOP, f"{hop.request_id} was forwarded again from {route}")


def _check_plan_revisions(history: Sequence[Record]) -> Iterator[Violation]:
    last: dict[tuple[str, int], int] = {}
    for record in _records_of(history, RevisionInForce):
        key = (record.gateway, record.run)
        if record.revision <= last.get(key, -1):
            detail = f"{record.gateway} went from revision {last[key]} to {record.revision}"
            yield Violation(Rule.PLAN_REVISION_INCREASES, detail)
        last[key] = record.revision


def _check_accepted(history: Sequence[Record]) -> Iterator[Violation]:
    stored = {name for record in _records_of(history, PlansStored) for name in record.change_ids}
    for record in _records_of(history, PlanReported):
        if record.is_accepted != (record.change_id in stored):
            reported = "accepted" if record.is_accepted else "not accepted"
            yield Violation(
                Rule.ACCEPTED_IS_STORED, f"change {record.change_id} was reported as {reported}"
            )


def _check_leaving(history: Sequence[Record]) -> Iterator[Violation]:
    for departure in _records_of(history, EndpointLeft):
        started = _records_of(history, EndpointStarted)
        times = [row.at_s for row in started if row.endpoint == departure.endpoint]
        runs = _records_of(history, ServiceRan)
        times += [row.at_s for row in runs if row.endpoint == departure.endpoint]
        late = [at_s for at_s in times if at_s > departure.at_s + LEAVING_GRACE_S]
        if late:
            delay_s = max(late) - departure.at_s
            detail = f"{departure.endpoint} started work {delay_s:.1f} s after it was reported"
            yield Violation(Rule.NO_WORK_AFTER_LEAVING, detail)
