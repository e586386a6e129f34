"""Cells that cannot come about, and why."""

from __future__ import annotations

from .cells import CLAIM_STEPS
from .cells import PLAN_STEPS
from .cells import Cell
from .cells import Fault


def reason_not_run(cell: Cell) -> str:
    """Return why a cell cannot come about, or an empty text."""
    is_plan = cell.step in PLAN_STEPS
    is_claim = cell.step in CLAIM_STEPS
    match cell.fault:
        case Fault.LOST_ANSWER if not (is_plan or is_claim):
            return "the step writes nothing to the key-value service"
        case Fault.LEASE_LAPSE:
            return (
                "no lease decides anything; claims end with a lease that outlives the retention. "
                "Facts that lapse under a pause are the row 'pause until others believe it gone'"
            )
        case Fault.ENDPOINT_CRASH | Fault.LEAVING if is_plan:
            return "no endpoint takes part in a change of plans"
        case _:
            return ""
