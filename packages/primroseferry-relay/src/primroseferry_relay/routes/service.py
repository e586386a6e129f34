"""The operators' configuration of a service: limits and, for model engines, capacities."""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce
from typing import TYPE_CHECKING

from .stream_targets import StreamTargets

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId


@dataclass(frozen=True, slots=True)
class EngineSize:
    """The capacity of each engine of a service.

    ``slots`` is the number of concurrent requests, ``cache_tokens`` the size of the KV cache.
    ``copy_tokens_per_ms`` is the speed at which an engine copies cached prompt parts from another
    engine, 0 if it cannot. ``tokens_per_event`` is how many tokens an event of a stream holds, 0 if
    unknown.
    """

    slots: int
    cache_tokens: int
    copy_tokens_per_ms: float = 0.0
    tokens_per_event: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A service.

    A cold endpoint gets at most ``warmup_per_s`` requests a second; 0 means no limit. ``warmup_s``
    is the duration of the warm-up in seconds. ``stream_targets`` are those of the streaming routes
    that use the service.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float
    engine: EngineSize | None = None
    stream_targets: tuple[StreamTargets, ...] = ()

    def targets_in(self, region: RegionId) -> StreamTargets | None:
        """Return the shortest targets and the most urgent priority of the routes of a region.

        ``None`` if no streaming route permits the region.
        """
        permitted = [targets for targets in self.stream_targets if targets.permits(region)]
        return reduce(StreamTargets.merged_with, permitted) if permitted else None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers: request sizes, the time to send a head, and the idle time."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000
