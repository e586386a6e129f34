"""Policy state that a relay shares among its requests."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_policy.breaker import Breakers
from primroseferry_policy.endpoint_loads import EndpointLoads
from primroseferry_policy.endpoint_rests import EndpointRests
from primroseferry_policy.far_parts import FarParts
from primroseferry_policy.pace import Pace
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.reading_load import ReadingLoad
from primroseferry_policy.shared_budget import ColdGate
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_policy.slot_time import SlotTimes

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.prompt import PromptPart

# How long a request that crashed endpoints waits for its next trial, after the second crash and
# each further one; the last wait repeats.
TRIAL_WAITS_S = (5.0, 60.0, 600.0, 3_600.0, 86_400.0)


@dataclass(frozen=True, slots=True)
class Placed:
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
    breakers: Breakers = field(default_factory=Breakers)
    parts: PartCache = field(default_factory=PartCache)
    far_parts: FarParts = field(default_factory=FarParts)
    cold_gate: ColdGate = field(default_factory=ColdGate)
    quarantine: Quarantine = field(default_factory=lambda: Quarantine(trial_waits_s=TRIAL_WAITS_S))
    reading: ReadingLoad = field(default_factory=ReadingLoad)
    slot_times: SlotTimes = field(default_factory=SlotTimes)
    backoffs: EndpointRests = field(default_factory=EndpointRests)

    def forget(self, endpoint: EndpointId) -> None:
        """Discard all state of an endpoint whose process was replaced or has ended."""
        self.pace.forget(endpoint)
        self.breakers.forget(endpoint)
        self.parts.forget(endpoint)
        self.far_parts.forget(endpoint)
        self.reading.forget(endpoint)
        self.backoffs.forget(endpoint)
