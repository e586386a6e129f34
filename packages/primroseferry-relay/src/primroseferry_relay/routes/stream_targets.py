"""The targets of the streaming routes that use a service."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId


@dataclass(frozen=True, slots=True)
class StreamTargets:
    """The shortest targets and the most urgent priority of some streaming routes.

    ``latency_ms`` is the time to the first event, ``gap_ms`` the time between events; 0 if no route
    names one. All routes have the same home regions; none means all regions.
    """

    home_regions: frozenset[RegionId]
    priority: int
    latency_ms: float = 0.0
    gap_ms: float = 0.0

    def permits(self, region: RegionId) -> bool:
        """Whether the routes may be served in a region."""
        return not self.home_regions or region in self.home_regions

    def merged_with(self, other: StreamTargets) -> StreamTargets:
        """Return the targets with those of other routes; the home regions stay."""
        return replace(
            self,
            priority=min(self.priority, other.priority),
            latency_ms=_shorter(self.latency_ms, other.latency_ms),
            gap_ms=_shorter(self.gap_ms, other.gap_ms),
        )


def _shorter(known_ms: float, other_ms: float) -> float:
    """Return the shorter of two times; 0 stands for an unknown one."""
    return min(known_ms or other_ms, other_ms or known_ms)
