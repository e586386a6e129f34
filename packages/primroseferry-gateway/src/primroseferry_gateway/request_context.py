"""The state of one request in a gateway from its entry to its end."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error

if TYPE_CHECKING:
    from primroseferry_core.ids import CustomerId
    from primroseferry_core.ids import Fingerprint
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import RequestId
    from primroseferry_core.plans import PlanUse

    from .decisions import DecisionTrace


@dataclass(slots=True)
class RequestContext:
    """One request with its caller, plan, deadline and origin.

    ``deadline_s`` is on this process's monotonic clock. ``visited_regions`` are the regions whose
    gateways handled the request before this one; a request leaves its entry region at most once.
    """

    request_id: RequestId
    customer: CustomerId
    plan: PlanUse
    plans_revision: int
    entry_region: RegionId
    own_region: RegionId
    deadline_s: float
    fingerprint: Fingerprint
    trace: DecisionTrace
    visited_regions: tuple[RegionId, ...] = ()
    excluded_endpoints: set[str] = field(default_factory=set)

    @property
    def remaining_ms(self) -> int:
        """Milliseconds until the deadline, 0 after it."""
        return max(0, int((self.deadline_s - time.monotonic()) * 1000))

    @property
    def may_leave_region(self) -> bool:
        """Whether the request is in its entry region and has not been forwarded."""
        return self.entry_region == self.own_region and not self.visited_regions

    def permitted_regions(self) -> tuple[RegionId, ...]:
        """Return the regions that this gateway may send the request's content to."""
        if self.may_leave_region:
            return self.plan.regions
        return tuple(region for region in self.plan.regions if region == self.own_region)

    def check_region(self) -> None:
        """Raise ``REGION_NOT_PERMITTED`` if the plan does not permit this region."""
        if self.own_region not in self.plan.regions:
            allowed = ", ".join(self.plan.regions)
            raise problem_error(
                ErrorKind.REGION_NOT_PERMITTED,
                f"plan {self.plan.plan} permits {allowed}, this gateway is in {self.own_region}; "
                "GET /v1/entry returns the gateways to use",
            )
