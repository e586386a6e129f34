"""The state of a gateway that other gateways receive."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..control.metadata_store import StorePosition

if TYPE_CHECKING:
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.endpoint_loads import OpenWork


class GatewayState(Enum):
    """Whether a gateway accepts new requests from callers; only ``READY`` does."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """A gateway's addresses: for callers, for forwarded requests, and for datagrams."""

    front: str
    hop: str
    report: str


@dataclass(frozen=True, slots=True)
class Peer:
    """The rarely changing state of a gateway.

    ``link_mbps`` is the bandwidth of its instance's link, 0 if unknown.
    """

    instance: InstanceId
    incarnation: IncarnationId
    region: RegionId
    failure_domain: FailureDomainId
    address: PeerAddress
    state: GatewayState
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """How current the control items of one or several gateways are.

    ``revision``, ``era`` and ``step`` are the latest position in the store's history that any of
    them has, ``store_age_ms`` the time since the store answered any of them, ``holders`` the hop
    addresses of some that have the position.
    """

    revision: int
    store_age_ms: float
    holders: tuple[str, ...] = ()
    era: int = 0
    step: int = 0

    @property
    def position(self) -> StorePosition:
        """The latest position in the store's history."""
        return StorePosition(self.era, self.revision, self.step)


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """A region's usable endpoints of a service, and the load of the best one.

    ``work`` is the in-flight work of the best endpoint, ``pace`` its current duration of a request
    as a multiple of the usual one.
    """

    endpoints: int
    slots: int
    work: OpenWork
    pace: float
    prefill_tokens_per_s: int
