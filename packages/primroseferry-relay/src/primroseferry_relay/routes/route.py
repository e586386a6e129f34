"""A route of the table: how the requests that match it are served."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.ids import RegionId

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId

    from .workspace import Workspace

# Stands for the home regions of a request whose route and workspace have none in common.
NO_REGION = RegionId("")


class RouteKind(Enum):
    """The kind of requests of a route.

    Idempotent requests may run any number of times, all others at most once.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a traffic split and the relative weight of its share."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are served.

    ``prefix`` begins and ends with a slash. ``timeout_ms`` is the longest time that a request is
    kept waiting. ``latency_target_ms`` is the time within which an answer earns its full score, for
    streams the time to the first event. ``max_attempts`` limits the number of endpoints that one
    request is sent to. ``priority`` 0 is the most urgent. Only ``home_regions`` may serve the
    requests; empty means all regions. If ``is_resumable``, a stream may be continued by another
    endpoint. Requests of a route that ``is_public`` need no API key. ``gap_target_ms`` is the
    longest pause between events with which a stream earns its full score, 0 if none is named.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    latency_target_ms: float
    max_attempts: int
    priority: int
    home_regions: frozenset[RegionId]
    is_resumable: bool = False
    is_public: bool = False
    gap_target_ms: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent again although an earlier attempt may have run."""
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, ticket: int) -> ServiceId:
        """Return the service for a request, chosen by the weights.

        ``ticket`` is the hashed id of the request.
        """
        total = sum(share.weight for share in self.shares)
        if len(self.shares) == 1 or total <= 0:
            return self.shares[0].service
        point = (ticket % 1_000_003) / 1_000_003 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service

    def permits(self, region: RegionId) -> bool:
        """Return whether endpoints of ``region`` may serve the route."""
        return not self.home_regions or region in self.home_regions

    def for_workspace(self, workspace: Workspace) -> Route:
        """Return the route with the priority of a workspace and the home regions of both."""
        homes = self.home_regions & workspace.home_regions
        if not self.home_regions or not workspace.home_regions:
            homes = self.home_regions | workspace.home_regions
        elif not homes:
            homes = frozenset({NO_REGION})
        priority = self.priority if workspace.priority is None else workspace.priority
        return replace(self, priority=priority, home_regions=homes)
