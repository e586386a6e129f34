"""Decides each invariant of the brief from histories alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import TypeVar

from .history import ChatAnswered
from .history import EndpointLeft
from .history import EndpointStarted
from .history import Forwarded
from .history import InForce
from .history import LinkCarried
from .history import OrderAnswered
from .history import PlanReported
from .history import PlansKept
from .history import Ran
from .history import ServiceRan

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .history import Permission
    from .history import Record

    T = TypeVar("T")

LEAVING_LIMIT_S = 3.0


class Rule(Enum):
    """The invariants."""

    RUNS_AT_MOST_ONCE = "an operation runs at most once"
    NOT_RUN_IS_TRUE = "what is answered with 'not run' did not run"
    ANSWERED_RAN = "an operation that was answered ran, and every answer is the first one"
    ANSWER_IS_WHOLE = "an answer is whole and its caller's own"
    CONTENT_STAYS = "content stays in the regions that the plan permits"
    ONE_HOP = "a request is sent to another region at most once, and never back"
    PLANS_ADVANCE = "the plans of a gateway never go back"
    ACCEPTED_IS_TRUE = "a change is reported accepted exactly when it was"
    LEAVING_RESTS = "a leaving endpoint gets no new work after 3 s"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that the history breaks, and where."""

    rule: Rule
    detail: str


def check_history(history: Sequence[Record], permissions: Sequence[Permission]) -> list[Violation]:
    """Return every violation; none where the history is allowed."""
    return [
        *_check_single_runs(history),
        *_check_not_run(history),
        *_check_answered(history),
        *_check_whole(history),
        *_check_content(history, permissions),
        *_check_hops(history),
        *_check_plans(history),
        *_check_accepted(history),
        *_check_leaving(history),
    ]


def _of(history: Sequence[Record], kind: type[T]) -> list[T]:
    return [record for record in history if isinstance(record, kind)]


def _check_single_runs(history: Sequence[Record]) -> Iterator[Violation]:
    counts = Counter(record.key for record in _of(history, ServiceRan) if record.key)
    for key, count in counts.items():
        if count > 1:
            yield Violation(Rule.RUNS_AT_MOST_ONCE, f"key {key} ran {count} times")


def _check_not_run(history: Sequence[Record]) -> Iterator[Violation]:
    """A run before the answer contradicts it; a later sending under the same key may run."""
    runs = _of(history, ServiceRan)
    for answer in _of(history, OrderAnswered):
        if answer.ran is not Ran.NO:
            continue
        if any(run.key == answer.key and run.at_s <= answer.answered_s for run in runs):
            yield Violation(Rule.NOT_RUN_IS_TRUE, f"key {answer.key} ran, answered {answer.kind}")


def _check_answered(history: Sequence[Record]) -> Iterator[Violation]:
    runs = {run.key for run in _of(history, ServiceRan)}
    first: dict[str, str] = {}
    for answer in _of(history, OrderAnswered):
        if answer.ran is not Ran.ANSWERED:
            continue
        if answer.key not in runs:
            yield Violation(Rule.ANSWERED_RAN, f"key {answer.key} was answered and never ran")
        if first.setdefault(answer.key, answer.body) != answer.body:
            yield Violation(Rule.ANSWERED_RAN, f"key {answer.key} got two different answers")


def _check_whole(history: Sequence[Record]) -> Iterator[Violation]:
    for answer in _of(history, ChatAnswered):
        if not answer.is_whole:
            continue
        if answer.words != answer.expected_words:
            yield Violation(Rule.ANSWER_IS_WHOLE, f"{answer.prompt}: {len(answer.words)} words")


def _check_content(
    history: Sequence[Record], permissions: Sequence[Permission]
) -> Iterator[Violation]:
    for permission in permissions:
        for started in _of(history, EndpointStarted):
            if permission.marker in started.prompt and started.region not in permission.regions:
                where = f"endpoint {started.endpoint} in {started.region}"
                yield Violation(Rule.CONTENT_STAYS, f"{permission.marker} reached {where}")
        for carried in _of(history, LinkCarried):
            is_inside = {carried.from_region, carried.to_region} <= set(permission.regions)
            if carried.word.startswith(permission.marker) and not is_inside:
                where = f"{carried.from_region} to {carried.to_region}"
                yield Violation(Rule.CONTENT_STAYS, f"{carried.word} crossed from {where}")


def _check_hops(history: Sequence[Record]) -> Iterator[Violation]:
    """Retries may choose another region; a request never leaves a region it was sent to."""
    sent_to: dict[str, set[str]] = {}
    for hop in _of(history, Forwarded):
        sent_to.setdefault(hop.request_id, set()).add(hop.to_region)
    for hop in _of(history, Forwarded):
        if hop.from_region in sent_to[hop.request_id]:
            route = f"{hop.from_region} to {hop.to_region}"
            yield Violation(Rule.ONE_HOP, f"{hop.request_id} was sent on from {route}")


def _check_plans(history: Sequence[Record]) -> Iterator[Violation]:
    last: dict[tuple[str, int], int] = {}
    for record in _of(history, InForce):
        key = (record.gateway, record.run)
        if record.revision <= last.get(key, -1):
            detail = f"{record.gateway} went from {last[key]} to {record.revision}"
            yield Violation(Rule.PLANS_ADVANCE, detail)
        last[key] = record.revision


def _check_accepted(history: Sequence[Record]) -> Iterator[Violation]:
    kept = {name for record in _of(history, PlansKept) for name in record.change_ids}
    for record in _of(history, PlanReported):
        if record.is_accepted != (record.change_id in kept):
            told = "accepted" if record.is_accepted else "not accepted"
            yield Violation(Rule.ACCEPTED_IS_TRUE, f"change {record.change_id} reported {told}")


def _check_leaving(history: Sequence[Record]) -> Iterator[Violation]:
    for left in _of(history, EndpointLeft):
        started = _of(history, EndpointStarted)
        times = [row.at_s for row in started if row.endpoint == left.endpoint]
        runs = _of(history, ServiceRan)
        times += [row.at_s for row in runs if row.endpoint == left.endpoint]
        late = [at_s for at_s in times if at_s > left.at_s + LEAVING_LIMIT_S]
        if late:
            delay_s = max(late) - left.at_s
            detail = f"{left.endpoint} got work {delay_s:.1f} s after it was leaving"
            yield Violation(Rule.LEAVING_RESTS, detail)
