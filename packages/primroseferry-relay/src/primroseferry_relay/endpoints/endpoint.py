"""One endpoint as its entry in the store describes it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.ids import SoftwareVersion

from .software_version import version_hash

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

    from .software_version import VersionHash


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
    stays cold from the moment at which the entry was written. ``version`` is that of its software,
    empty if the entry names none. ``gone_after_ms`` is how many ms after the entry was written a
    draining endpoint ends, whatever it is running; ``None`` if the entry does not say so.
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
    version: SoftwareVersion = SoftwareVersion("")
    gone_after_ms: float | None = None

    @property
    def run(self) -> EndpointRun:
        """The run of the process that the entry describes."""
        return EndpointRun(self.endpoint, self.started_ms, self.address)

    @property
    def version_hash(self) -> VersionHash:
        """The software version that writes its answers, as other gateways are told of it."""
        return version_hash(self.service, self.version)
