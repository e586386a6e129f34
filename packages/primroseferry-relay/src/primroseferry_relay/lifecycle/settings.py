"""The settings of a relay gateway, whatever file or flags they came from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """What all gateways together may send again: a share of the requests and a fixed slack."""

    window_s: float
    ratio: float
    slack: float


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Who this gateway is, where it listens and what bounds it keeps.

    Ports are on ``host``; port 0 takes a free one. ``seeds`` are addresses at which other gateways
    listen for reports. ``stop_timeout_ms`` is the time between a stop signal and the kill.
    ``link_mbps`` is what the instance's link carries, 0 where that is not known.
    ``is_first_start``: the whole fleet starts for the first time, before any caller comes.
    """

    instance: InstanceId
    region: RegionId
    failure_domain: FailureDomainId
    host: str
    front_port: int
    ready_port: int
    directory_port: int
    hop_port: int
    report_port: int
    metrics_port: int | None
    seeds: tuple[str, ...]
    retry_limits: RetryLimits
    stop_timeout_ms: float
    max_connections: int
    log_level: str = "info"
    link_mbps: int = 0
    is_first_start: bool = False
