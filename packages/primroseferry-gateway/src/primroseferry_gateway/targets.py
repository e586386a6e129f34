"""The routing options of a gateway for one request, ranked by the plan's weights."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import EndpointId
from primroseferry_policy.load_view import UNREPORTED
from primroseferry_policy.load_view import LoadEstimate
from primroseferry_policy.routing import AFFINITY_MAX_UTILISATION
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget
from primroseferry_policy.routing import estimate_option
from primroseferry_policy.routing_policy import rank_by_policy

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.breaker import Breakers
    from primroseferry_policy.load_view import LoadView
    from primroseferry_policy.routing import Option
    from primroseferry_policy.routing import Work
    from primroseferry_policy.routing_policy import RoutingPolicy

    from .fleet import Endpoint
    from .fleet import FleetView
    from .request_context import RequestContext


@dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs: a model or service and an amount of work.

    ``affinity_key`` identifies the prompt's prefix; requests with the same key prefer the same
    endpoint, whose cache is likely to contain the prefix. It is empty for plain services.
    """

    serves: str
    is_engine: bool
    work: Work
    affinity_key: str = ""


class TargetSelector:
    """Ranks the endpoints of this region and, if the request may leave it, other regions."""

    def __init__(
        self, fleet: FleetView, loads: LoadView, breakers: Breakers, policy: RoutingPolicy
    ) -> None:
        self._policy = policy
        self._fleet = fleet
        self._loads = loads
        self._breakers = breakers

    def rank(self, context: RequestContext, demand: Demand) -> list[Option]:
        """Return the usable options, best first; empty if there are none."""
        local = self._local_options(context, demand)
        remote = self._remote_options(context, demand)
        ranked = rank_by_policy(
            self._policy, local + remote, context.plan.weights, context.plan.accepted_cost
        )
        if ranked or local or remote:
            return ranked
        return self._unreported_regions(context, demand)

    def find_endpoint(self, context: RequestContext, demand: Demand, name: str) -> Endpoint | None:
        """Return a local endpoint by name, ``None`` if it does not accept new work."""
        for endpoint in self._usable(context, demand):
            if endpoint.endpoint == name:
                return endpoint
        return None

    def _usable(self, context: RequestContext, demand: Demand) -> list[Endpoint]:
        if context.own_region not in context.plan.regions:
            return []
        return [
            endpoint
            for endpoint in self._fleet.endpoints(
                demand.serves, context.own_region, demand.is_engine
            )
            if endpoint.endpoint not in context.excluded_endpoints
            and self._breakers.permits(endpoint.endpoint)
        ]

    def _local_options(self, context: RequestContext, demand: Demand) -> list[Option]:
        usable = self._usable(context, demand)
        cached = self._affine_endpoint(usable, demand)
        return [
            estimate_option(
                LocalTarget(endpoint.endpoint),
                self._loads.estimate(endpoint.endpoint),
                demand.work,
                is_cached=endpoint.endpoint == cached,
                ramp_share=self._breakers.ramp_share(endpoint.endpoint),
            )
            for endpoint in usable
        ]

    def _affine_endpoint(self, usable: list[Endpoint], demand: Demand) -> str:
        """Return the endpoint that likely caches the prompt's prefix; empty for none.

        Endpoints at or above ``AFFINITY_MAX_UTILISATION`` are skipped.
        """
        if not demand.affinity_key:
            return ""
        names = [str(endpoint.endpoint) for endpoint in usable]
        for name in rendezvous_order(demand.affinity_key, names):
            if self._loads.estimate(EndpointId(name)).utilisation < AFFINITY_MAX_UTILISATION:
                return name
        return ""

    def _remote_options(self, context: RequestContext, demand: Demand) -> list[Option]:
        return [
            estimate_option(
                RemoteTarget(load.region),
                self._loads.estimate(region_load_key(load.region, demand.serves)),
                demand.work,
                is_cached=False,
            )
            for load in self._fleet.region_loads(demand.serves)
            if load.slots > 0 and self._may_use_region(context, load.region)
        ]

    def _may_use_region(self, context: RequestContext, region: RegionId) -> bool:
        return (
            region != context.own_region
            and region in context.permitted_regions()
            and region_circuit_key(region) not in context.excluded_endpoints
            and self._breakers.permits(region_circuit_key(region))
        )

    def _unreported_regions(self, context: RequestContext, demand: Demand) -> list[Option]:
        """Return permitted regions that may not have reported a load yet, as a last resort."""
        load = LoadEstimate(0, UNREPORTED.slots, UNREPORTED.step_ms, 0.0)
        return [
            estimate_option(RemoteTarget(region), load, demand.work, is_cached=False)
            for region in self._fleet.regions()
            if self._may_use_region(context, region)
        ]


def region_load_key(region: RegionId, serves: str) -> EndpointId:
    """Return the key under which requests sent to a region are counted in the load view."""
    return EndpointId(f"region/{region}/{serves}")


def region_circuit_key(region: RegionId) -> EndpointId:
    """Return the key of a region's circuit breaker."""
    return EndpointId(f"region/{region}")
