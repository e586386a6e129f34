"""What gateways tell each other by datagrams.

Each gateway is a *member* of its region and tells its own state to two *collectors*, which are
gateways like all others. One of them sends it a *digest* of the whole region some times a second.
What a member sends and takes in therefore does not grow with the region's requests, and only as far
with its gateways as their names do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseferry_core.ids import Fingerprint
    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.prompt import PartId
    from primroseferry_policy.prompt import PromptPart
    from primroseferry_policy.quarantine import ToldSuspicion

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointPoint
    from .peer import ControlFacts
    from .peer import Peer
    from .peer import ServiceSummary

RosterVersion = NewType("RosterVersion", int)


@dataclass(frozen=True, slots=True)
class Placement:
    """A request that a member gave to an engine, numbered by the member.

    ``parts`` are all of its prompt: also those that no other prompt has take the engine's memory.
    """

    number: int
    endpoint: EndpointPoint
    unread_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """One member's state, whole: the newest replaces all before.

    ``placements`` repeats those of the last moments, because datagrams get lost. ``wants_digest``
    asks the receiver for digests, ``wants_full`` for a whole one next.
    """

    peer: Peer
    sequence: int
    wants_digest: bool
    wants_full: bool
    control: ControlFacts
    loads: Mapping[EndpointPoint, OpenWork]
    placements: tuple[Placement, ...]


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """All open work of an endpoint, and prompt tokens that it was given in the last second."""

    endpoint: EndpointPoint
    work: OpenWork
    reading_tokens_per_s: int


@dataclass(frozen=True, slots=True)
class HeldParts:
    """Parts of prompts that an engine was given."""

    endpoint: EndpointPoint
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class FarPart:
    """An engine of another region was given a prompt up to ``part``, ``tokens`` tokens in all."""

    endpoint: EndpointPoint
    part: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """What a region's collector tells other regions; ``collector`` is where it is reached.

    ``others`` are where the collectors of further regions are reached, so that regions find each
    other that share no seed. ``suspicions`` is the version of what the collector holds
    against requests, ``None`` where its release tells none.
    """

    region: RegionId
    collector: str
    roster: RosterVersion
    control: ControlFacts
    services: Mapping[ServiceId, ServiceSummary]
    others: tuple[str, ...] = ()
    suspicions: int | None = None


@dataclass(frozen=True, slots=True)
class Digest:
    """What changed in a region since the digest before; a full one holds everything.

    ``acked`` is the last update of the receiving member that the loads include. A collector is
    warm when every member had the time to tell it its state. ``address`` is where it is reached.
    ``unseen_placements`` are how many requests the region's members place, at the rate of the last
    second, until the next digest tells of them. ``suspicions`` is as in a summary.
    """

    collector: InstanceId
    incarnation: IncarnationId
    address: str
    sequence: int
    is_full: bool
    is_warm: bool
    roster: RosterVersion
    control: ControlFacts
    loads: tuple[EndpointLoad, ...]
    parts: tuple[HeldParts, ...]
    far_parts: tuple[FarPart, ...]
    far_regions: tuple[RegionSummary, ...]
    unseen_placements: float
    suspicions: int | None = None
    acked: int = 0


@dataclass(frozen=True, slots=True)
class Roster:
    """The gateways of one region that live, as its collector sees them.

    The version is a hash of the content, so that two collectors that see the same say the same.
    ``sender`` is the gateway that passes it on.
    """

    region: RegionId
    version: RosterVersion
    peers: tuple[Peer, ...]
    sender: InstanceId


@dataclass(frozen=True, slots=True)
class RosterWanted:
    """Asks for the rosters of regions; the answer goes to ``reply_to``."""

    reply_to: str
    regions: tuple[RegionId, ...]


@dataclass(frozen=True, slots=True)
class Referral:
    """Names gateways of the receiver's region to one that asked in another region."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FarParts:
    """Shared parts that engines of another region were given, for a region's collector."""

    parts: tuple[FarPart, ...]


@dataclass(frozen=True, slots=True)
class Blame:
    """A request that was running on an endpoint when that died; told to every gateway at once."""

    fingerprint: Fingerprint
    death: str


@dataclass(frozen=True, slots=True)
class LeavingNote:
    """An endpoint's run that said that it leaves; told to the region's gateways at once."""

    run: EndpointRun


@dataclass(frozen=True, slots=True)
class SuspicionsKnown:
    """Hashes of all suspicions that the sender holds, eight bytes each.

    The receiver tells ``reply_to`` those that are not among them.
    """

    reply_to: str
    points: bytes


@dataclass(frozen=True, slots=True)
class Suspicions:
    """Some of what the sender holds against requests."""

    told: tuple[ToldSuspicion, ...]


Datagram = (
    MemberUpdate
    | Digest
    | RegionSummary
    | Roster
    | RosterWanted
    | Referral
    | FarParts
    | Blame
    | LeavingNote
    | SuspicionsKnown
    | Suspicions
)
