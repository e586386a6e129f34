"""Formats the outcome of a change of the plans."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

from .plan_store import PlansAccepted
from .plan_store import PlansConflict
from .plan_store import PlansUnchanged

if TYPE_CHECKING:
    from primroseferry_core.plan_diff import RowChange

    from .plan_store import ApplyOutcome


def describe_outcome(outcome: ApplyOutcome) -> str:
    """Return the outcome as readable text."""
    match outcome:
        case PlansAccepted(change_id, document, changes):
            rows = "\n".join(f"  {change.describe()}" for change in changes)
            return f"accepted as revision {document.revision}, change {change_id}\n{rows}"
        case PlansUnchanged(document):
            return f"no changes, revision {document.revision} stays in force"
        case PlansConflict(base_revision, current, mine, theirs):
            lines = [
                f"conflict: the lists were changed from revision {base_revision} to "
                f"{current.revision} after they were read; nothing was written",
                "your change:",
                *(f"  {change.describe()}" for change in mine),
                "the other change:",
            ]
            if theirs is None:
                lines.append(f"  revision {base_revision} is no longer kept, see 'plans history'")
            else:
                lines += [f"  {change.describe()}" for change in theirs]
            lines.append("get the lists again and repeat your change on them")
            return "\n".join(lines)


def outcome_data(outcome: ApplyOutcome) -> dict[str, Any]:
    """Return the outcome as JSON-compatible values."""
    match outcome:
        case PlansAccepted(change_id, document, changes):
            return {
                "outcome": "accepted",
                "change_id": change_id,
                "revision": document.revision,
                "changes": _rows(changes),
            }
        case PlansUnchanged(document):
            return {"outcome": "unchanged", "revision": document.revision}
        case PlansConflict(base_revision, current, mine, theirs):
            return {
                "outcome": "conflict",
                "base_revision": base_revision,
                "revision": current.revision,
                "mine": _rows(mine),
                "theirs": None if theirs is None else _rows(theirs),
            }


def _rows(changes: list[RowChange]) -> list[dict[str, str]]:
    return [{**asdict(change), "kind": change.kind.value} for change in changes]
