"""The settings of a relay gateway, independent of the file or flags that they come from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.client_limits import DEFAULT_CLIENT_LIMITS
from primroseferry_core.relay_variables import LEARNED_CAPACITY
from primroseferry_policy.endpoint_profile import CapacitySwitch

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseferry_core.client_limits import ClientLimits
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The retry budget of all gateways together.

    Within ``window_s`` seconds, retries may make up the share ``ratio`` of the requests, plus a
    fixed number ``slack``.
    """

    window_s: float
    ratio: float
    slack: float


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The identity, addresses and limits of a gateway.

    Ports are on ``host``; port 0 selects a free one. ``seeds`` are addresses at which other
    gateways listen for reports. ``stop_timeout_ms`` is the time between a stop signal and the kill.
    ``link_mbps`` is the bandwidth of the instance's link, 0 if unknown. ``is_first_start`` is set
    when the whole fleet starts for the first time, before any caller connects. ``region_count`` is
    the number of regions of the deployment, among which quotas are divided. ``memory_mb`` and
    ``max_fds`` are the memory in MiB and the descriptors of the instance, 0 if unknown; both take
    effect at the start, as do ``capacity_switch`` and ``client_limits``.
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
    region_count: int = 1
    memory_mb: int = 0
    max_fds: int = 0
    capacity_switch: CapacitySwitch = CapacitySwitch.AUTO
    client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS


def read_capacity_switch(environment: Mapping[str, str]) -> CapacitySwitch:
    """Return the switch that the environment sets. Raises ``ValueError`` for an unknown value."""
    value = environment.get(LEARNED_CAPACITY.name, LEARNED_CAPACITY.default)
    if value not in LEARNED_CAPACITY.values:
        allowed = ", ".join(LEARNED_CAPACITY.values)
        raise ValueError(f"{LEARNED_CAPACITY.name}={value!r}: expected one of {allowed}")
    return CapacitySwitch(value)
