"""The policy's parts that a relay shares among its requests."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_policy.breaker import Breakers
from primroseferry_policy.endpoint_loads import EndpointLoads
from primroseferry_policy.pace import Pace
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.shared_budget import ColdGate
from primroseferry_policy.shared_budget import SharedRetryBudget

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_policy.prompt import Generation
    from primroseferry_policy.prompt import PromptPart

# Placements kept for the next report to the peers; older ones are dropped, which costs a reading.
MAX_PLACED = 64


@dataclass(frozen=True, slots=True)
class Placed:
    """A prompt that an endpoint reads, as it is told to the region's other gateways."""

    endpoint: EndpointId
    parts: tuple[PromptPart, ...]


@dataclass(slots=True)
class RelayPolicy:
    """Loads, pace, circuit breakers, cached parts, budgets and quarantine of one gateway."""

    budget: SharedRetryBudget
    loads: EndpointLoads = field(default_factory=EndpointLoads)
    pace: Pace = field(default_factory=Pace)
    breakers: Breakers = field(default_factory=Breakers)
    parts: PartCache = field(default_factory=PartCache)
    cold_gate: ColdGate = field(default_factory=ColdGate)
    quarantine: Quarantine = field(default_factory=Quarantine)
    _placed: list[Placed] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def note_placed(self, endpoint: EndpointId, generation: Generation, cache_tokens: int) -> None:
        """Note the parts that an endpoint is about to read."""
        if not generation.parts:
            return
        self.parts.note_read(endpoint, generation.parts, cache_tokens)
        with self._lock:
            self._placed.append(Placed(endpoint, generation.parts[:-1]))
            del self._placed[:-MAX_PLACED]

    def take_placed(self) -> list[Placed]:
        """Return what was placed since the last call."""
        with self._lock:
            placed, self._placed = self._placed, []
        return placed

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint, because its process is new or gone."""
        self.pace.forget(endpoint)
        self.breakers.forget(endpoint)
        self.parts.forget(endpoint)
