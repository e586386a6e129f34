"""One endpoint as its entry in the store tells it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EndpointRun:
    """One run of one endpoint's process."""

    endpoint: EndpointId
    started_ms: int
    address: str


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint.

    ``started_ms`` is the Unix time of its start and tells one run under an id from the next, 0
    where it says nothing. ``cold_left_ms`` is how long it stays cold, counted from the moment its
    entry was written.
    """

    endpoint: EndpointId
    service: ServiceId
    address: str
    failure_domain: FailureDomainId
    region: RegionId
    slots: int
    state: EndpointState
    cold_left_ms: float
    started_ms: int

    @property
    def run(self) -> EndpointRun:
        """The run of the process that the entry tells of."""
        return EndpointRun(self.endpoint, self.started_ms, self.address)
