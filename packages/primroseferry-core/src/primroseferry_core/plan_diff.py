"""Differences between two versions of the operators' lists, row by row."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .plans import PlanDocument


class RowChangeKind(Enum):
    """How a row differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row that differs. ``before`` or ``after`` is empty where the row does not exist."""

    list_name: str
    row_name: str
    kind: RowChangeKind
    before: str
    after: str

    def describe(self) -> str:
        """Return one readable line, for example ``plans/basic changed: ... -> ...``."""
        label = f"{self.list_name}/{self.row_name} {self.kind.value}"
        match self.kind:
            case RowChangeKind.ADDED:
                return f"{label}: {self.after}"
            case RowChangeKind.REMOVED:
                return f"{label}: {self.before}"
            case RowChangeKind.CHANGED:
                return f"{label}: {self.before} -> {self.after}"


def diff_documents(before: PlanDocument, after: PlanDocument) -> list[RowChange]:
    """Return the rows that differ: customers, then plans, each sorted by name."""
    customers = _diff_rows(
        "customers",
        {str(row.customer): f"plan {row.plan}" for row in before.customers},
        {str(row.customer): f"plan {row.plan}" for row in after.customers},
    )
    plans = _diff_rows(
        "plans",
        {str(use.plan): str(use) for use in before.plans},
        {str(use.plan): str(use) for use in after.plans},
    )
    return customers + plans


def _diff_rows(list_name: str, before: dict[str, str], after: dict[str, str]) -> list[RowChange]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name, ""), after.get(name, "")
        if old == new:
            continue
        if not old:
            kind = RowChangeKind.ADDED
        elif not new:
            kind = RowChangeKind.REMOVED
        else:
            kind = RowChangeKind.CHANGED
        changes.append(RowChange(list_name, name, kind, old, new))
    return changes
