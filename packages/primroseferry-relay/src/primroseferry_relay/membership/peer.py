"""A gateway as the others know it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.endpoint_loads import OpenWork


class GatewayState(Enum):
    """Whether a gateway takes new requests of callers."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a gateway is reached: by callers, for forwarded requests, and by datagrams."""

    front: str
    hop: str
    report: str


@dataclass(frozen=True, slots=True)
class Peer:
    """What of a gateway changes seldom. ``link_mbps`` is its instance's link, 0 if unknown."""

    instance: InstanceId
    incarnation: IncarnationId
    region: RegionId
    failure_domain: FailureDomainId
    address: PeerAddress
    state: GatewayState
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class ControlFacts:
    """How far gateways are with the items of the store.

    ``revision`` is the highest one held, ``store_age_ms`` how long ago the store answered any of
    them, ``holders`` where some that hold the revision are asked for it.
    """

    revision: int
    store_age_ms: float
    holders: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """What a region has of a service: usable endpoints, and how the best of them stands.

    ``work`` is the best endpoint's open work, ``pace`` how many times as long as usual it takes.
    """

    endpoints: int
    slots: int
    work: OpenWork
    pace: float
    reading_tokens_per_s: int
