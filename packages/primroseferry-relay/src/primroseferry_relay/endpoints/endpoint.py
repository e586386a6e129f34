"""One endpoint as its entry in the store describes it."""

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
    """Whether an endpoint accepts new requests."""

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
    """The entry of one endpoint.

    ``address`` is an IP address and a port. ``slots`` is the number of requests that the endpoint
    runs at the same time. ``started_ms`` is the Unix time of the start of its process in ms, 0 for
    unknown; it distinguishes the runs under one id. ``warmup_left_ms`` is how many ms the endpoint
    stays cold from the moment at which the entry was written.
    """

    endpoint: EndpointId
    service: ServiceId
    address: str
    failure_domain: FailureDomainId
    region: RegionId
    slots: int
    state: EndpointState
    warmup_left_ms: float
    started_ms: int

    @property
    def run(self) -> EndpointRun:
        """The run of the process that the entry describes."""
        return EndpointRun(self.endpoint, self.started_ms, self.address)
