"""Policy state that a relay shares among its requests."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.breaker import Breakers
from primroseferry_policy.contention import NO_LIMITS
from primroseferry_policy.contention import PrefillLimits
from primroseferry_policy.contention import backlog_limit_ms
from primroseferry_policy.contention import prefill_share
from primroseferry_policy.endpoint_backoffs import EndpointBackoffs
from primroseferry_policy.endpoint_loads import EndpointLoads
from primroseferry_policy.endpoint_profile import EndpointProfiles
from primroseferry_policy.event_pace import EventPace
from primroseferry_policy.far_parts import RemotePartIndex
from primroseferry_policy.pace import Pace
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.reading_load import PrefillLoad
from primroseferry_policy.shared_budget import ColdEndpointLimiter
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_policy.slot_time import SlotTimes
from primroseferry_policy.urgent_demand import EnginePlace
from primroseferry_policy.urgent_demand import UrgentDemand

from .endpoints.request_limits import RequestLimits

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.prompt import PromptPart

    from .contending_request import ContendingRequest
    from .routes.service import Service

# How long a request that crashed endpoints waits for its next trial: after the second crash, the
# third and so on. The last wait also applies to all further crashes.
TRIAL_WAITS_S = (5.0, 60.0, 600.0, 3_600.0, 86_400.0)
# A fleet replaces far fewer endpoints while an attempt lasts.
MAX_FORGOTTEN = 4_096


@dataclass(frozen=True, slots=True)
class PlacedRequest:
    """A request sent to an endpoint, as reported to the region's other gateways."""

    endpoint: EndpointId
    work: OpenWork
    parts: tuple[PromptPart, ...]


@dataclass(slots=True)
class RelayPolicy:
    """Loads, pace, circuit breakers, cached prompt parts, budgets and quarantine of one gateway."""

    budget: SharedRetryBudget
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    pace: Pace = field(default_factory=Pace)
    profiles: EndpointProfiles = field(default_factory=EndpointProfiles)
    breakers: Breakers = field(default_factory=Breakers)
    parts: PartCache = field(default_factory=PartCache)
    remote_parts: RemotePartIndex = field(default_factory=RemotePartIndex)
    cold_limiter: ColdEndpointLimiter = field(default_factory=ColdEndpointLimiter)
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(trial_waits_s=TRIAL_WAITS_S))
    prefill_load: PrefillLoad = field(default_factory=PrefillLoad)
    slot_times: SlotTimes = field(default_factory=SlotTimes)
    backoffs: EndpointBackoffs = field(default_factory=EndpointBackoffs)
    request_limits: RequestLimits = field(default_factory=RequestLimits)
    urgent_demand: UrgentDemand = field(default_factory=UrgentDemand)
    event_pace: EventPace = field(default_factory=EventPace)
    has_workspaces: bool = False
    _forgotten: BoundedMap[EndpointId, int] = field(
        default_factory=lambda: BoundedMap(MAX_FORGOTTEN)
    )
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def is_contended(self, service: ServiceId) -> bool:
        """Whether requests of a service are placed by the rules for contended engines.

        So they are where workspaces share the engines, and where endpoints share their machines.
        """
        return self.has_workspaces or self.profiles.is_active(service)

    def prefill_limits(self, service: Service, region: RegionId) -> PrefillLimits:
        """Return how much prefill a region's engines may do beside running streams."""
        targets = service.targets_in(region)
        if service.engine is None or targets is None or not self.is_contended(service.name):
            return NO_LIMITS
        return PrefillLimits(
            backlog_limit_ms(targets.latency_ms),
            prefill_share(targets.gap_ms, self.event_pace.event_ms(service.name)),
            self.urgent_demand.yield_factor(EnginePlace(service.name, region)),
        )

    def note_shortage(
        self, service: Service, region: RegionId, contending: ContendingRequest | None
    ) -> None:
        """Record that a request found all engines of a region saturated."""
        if contending is not None and contending.is_urgent_in(service, region):
            place = EnginePlace(service.name, region)
            if self.urgent_demand.note_shortage(place):
                log_event(
                    Event.ENGINES_SHORT,
                    service=service.name,
                    region=region,
                    priority=contending.priority,
                    budget_ms=round(contending.budget_ms),
                )

    def times_forgotten(self, endpoint: EndpointId) -> int:
        """Return how often the state of an endpoint was discarded.

        What was observed at an endpoint counts only while this number is the one of before.
        """
        return self._forgotten.get(endpoint, 0)

    def slowdown(self, service: ServiceId, endpoint: EndpointId) -> float:
        """Return the ratio of an endpoint's times to the expected ones."""
        if self.profiles.is_active(service):
            return self.profiles.slowdown(endpoint)
        return self.pace.ratio(endpoint)

    def forget(self, endpoint: EndpointId) -> None:
        """Discard all state of an endpoint whose process was replaced or has ended."""
        with self._lock:
            self._forgotten.put(endpoint, self._forgotten.get(endpoint, 0) + 1)
        self.pace.forget(endpoint)
        self.profiles.forget(endpoint)
        self.breakers.forget(endpoint)
        self.parts.forget(endpoint)
        self.remote_parts.forget(endpoint)
        self.prefill_load.forget(endpoint)
        self.backoffs.forget(endpoint)
