"""Cells that are not run, because their fault has no effect at their step."""

from __future__ import annotations

from .cells import CLAIM_STEPS
from .cells import PLAN_STEPS
from .cells import Cell
from .cells import Fault


def reason_not_run(cell: Cell) -> str:
    """Return why a cell is not run, or an empty string if it is run."""
    is_plan = cell.step in PLAN_STEPS
    is_claim = cell.step in CLAIM_STEPS
    match cell.fault:
        case Fault.LOST_ANSWER if not (is_plan or is_claim):
            return "the step writes nothing to the key-value service"
        case Fault.LEASE_EXPIRY:
            return (
                "no decision depends on a lease; claims expire with a lease longer than the "
                "retention. The row 'pause until others believe it gone' covers facts that expire "
                "during a pause"
            )
        case Fault.ENDPOINT_CRASH | Fault.LEAVING if is_plan:
            return "a plan change involves no endpoint"
        case _:
            return ""
