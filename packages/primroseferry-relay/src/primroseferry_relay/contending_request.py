"""A request of a service whose engines have no room for all requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId

    from .routes.service import Service


@dataclass(frozen=True, slots=True)
class ContendingRequest:
    """What placement by contention needs to know of a request.

    ``priority`` is that of its route or workspace, 0 is the most urgent. ``budget_ms`` is the time
    to the first event with which it is on time.
    """

    priority: int
    budget_ms: float

    def is_urgent_in(self, service: Service, region: RegionId) -> bool:
        """Whether no route with a more urgent priority uses the service's engines of a region.

        Requests that no other may displace need not leave room for more urgent ones.
        """
        targets = service.targets_in(region)
        return targets is not None and self.priority <= targets.priority
