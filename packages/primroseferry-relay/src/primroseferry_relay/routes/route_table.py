"""The route table: an immutable revision of all routes and services."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from .route import RouteKind
from .service import CallerLimits
from .stream_targets import StreamTargets

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

    from .route import Route
    from .service import Service
    from .workspace import WorkspaceDirectory


class RouteTableError(ValueError):
    """An invalid table; the message starts with the path of the invalid field."""


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host and prefix.

    The cost of a look-up grows with the length of the path, not with the number of routes.
    ``resumable_services`` are those of routes whose streams may go on at another endpoint.
    ``workspaces`` is ``None`` if the operators configure none; callers then need no API key.
    """

    revision: int
    by_host: Mapping[str, Mapping[str, Route]]
    services: Mapping[ServiceId, Service]
    limits: CallerLimits
    resumable_services: frozenset[ServiceId]
    workspaces: WorkspaceDirectory | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or ``None``."""
        routes = self.by_host.get(host.lower())
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def count_permitting(self, host: str, region: RegionId) -> int:
        """Return the number of routes of ``host`` that permit ``region``."""
        routes = self.by_host.get(host.lower(), {}).values()
        return sum(route.permits(region) for route in routes)


def build_route_table(
    revision: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    limits: CallerLimits | None = None,
    workspaces: WorkspaceDirectory | None = None,
) -> RouteTable:
    """Validate and index a table.

    Raises ``RouteTableError`` with the path of the first invalid field.
    """
    by_service = {service.name: service for service in services}
    by_host: dict[str, dict[str, Route]] = {}
    resumable_services: set[ServiceId] = set()
    for index, route in enumerate(routes):
        _check_route(f"routes[{index}]", route, by_service)
        prefixes = by_host.setdefault(route.host.lower(), {})
        if route.prefix in prefixes:
            raise RouteTableError(f"routes[{index}].prefix: duplicate prefix {route.prefix}")
        prefixes[route.prefix] = route
        if route.is_resumable:
            resumable_services.update(share.service for share in route.shares)
        if route.kind is RouteKind.STREAM:
            _note_targets(by_service, route)
    return RouteTable(
        revision,
        by_host,
        by_service,
        limits or CallerLimits(),
        frozenset(resumable_services),
        workspaces,
    )


def _note_targets(services: dict[ServiceId, Service], route: Route) -> None:
    for share in route.shares:
        service = services[share.service]
        services[share.service] = replace(
            service, stream_targets=_with_route(service.stream_targets, route)
        )


def _with_route(known: tuple[StreamTargets, ...], route: Route) -> tuple[StreamTargets, ...]:
    """Return the targets with those of a route, one entry for each home regions and priority."""
    merged = StreamTargets(
        route.home_regions, route.priority, route.latency_target_ms, route.gap_target_ms
    )
    others = []
    for targets in known:
        if (targets.home_regions, targets.priority) == (route.home_regions, route.priority):
            merged = targets.merged_with(merged)
        else:
            others.append(targets)
    return (*others, merged)


def _check_route(path: str, route: Route, services: Mapping[ServiceId, Service]) -> None:
    if not route.host:
        raise RouteTableError(f"{path}.host: must not be empty")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise RouteTableError(f"{path}.prefix: must begin and end with a slash")
    if not route.shares:
        raise RouteTableError(f"{path}.shares: must name at least one service")
    for share in route.shares:
        if share.service not in services:
            raise RouteTableError(f"{path}.shares: unknown service {share.service}")
        if share.weight < 0:
            raise RouteTableError(f"{path}.shares: a weight must not be negative")
    if route.timeout_ms <= 0:
        raise RouteTableError(f"{path}.timeout_ms: must be above 0")
    if route.max_attempts < 1:
        raise RouteTableError(f"{path}.max_attempts: must be at least 1")
