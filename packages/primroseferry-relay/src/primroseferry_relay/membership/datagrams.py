"""The datagrams that gateways exchange.

Each gateway is a *member* of its region and reports its own state to two *collectors*, which are
gateways like all others. One of them sends it a *digest* of the whole region several times per
second. The traffic of a member therefore does not grow with the region's requests, and grows with
its gateways only by their entries in the roster.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

from ..endpoints.run_notice import RunNotice

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
    from primroseferry_policy.quarantine import SuspicionReport

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointHash
    from ..endpoints.endpoint_point import RunHash
    from ..endpoints.request_limits import LimitObservation
    from ..streams.stream_origins import StreamKey
    from ..streams.stream_origins import StreamOrigin
    from .peer import ControlStatus
    from .peer import Peer
    from .peer import ServiceSummary
    from .permit_issuer import IssuerRole

RosterVersion = NewType("RosterVersion", int)
WorkspaceHash = NewType("WorkspaceHash", int)


@dataclass(frozen=True, slots=True)
class Placement:
    """A request that a member placed on an engine, numbered by the member.

    ``parts`` are all parts of its prompt, since those that no other prompt shares occupy the
    engine's memory too.
    """

    number: int
    endpoint: EndpointHash
    uncached_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class SlowdownReport:
    """An endpoint of the service reported its machine's slowdown to a gateway ``age_s`` ago."""

    service: ServiceId
    age_s: float


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The complete state of one member, which replaces all earlier ones.

    ``placements`` repeats the latest placements because datagrams can be lost. ``wants_digest``
    requests digests from the receiver, ``wants_full`` requests that the next one is full.
    ``limits`` are the member's own latest observations of request limits, ``slowdowns`` the
    services whose endpoints report slowdowns to it.
    """

    peer: Peer
    sequence: int
    wants_digest: bool
    wants_full: bool
    control: ControlStatus
    loads: Mapping[EndpointHash, OpenWork]
    placements: tuple[Placement, ...]
    limits: tuple[LimitObservation, ...] = ()
    slowdowns: tuple[SlowdownReport, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The in-flight work of an endpoint, and its prefill tokens of the last second."""

    endpoint: EndpointHash
    work: OpenWork
    prefill_tokens_per_s: int


@dataclass(frozen=True, slots=True)
class CachedParts:
    """Prompt parts that were sent to an engine, which is expected to cache them."""

    endpoint: EndpointHash
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class RemotePart:
    """An engine of another region received a prompt up to ``part``, ``tokens`` tokens in total."""

    endpoint: EndpointHash
    part: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class RegionSummary:
    """The state of a region that its collector sends to other regions.

    ``collector`` is the collector's datagram address. ``others`` are the datagram addresses of
    further regions' collectors, so that regions without a common seed find each other.
    ``suspicions`` is the version of the collector's suspicions, ``None`` if its release does not
    report one.
    """

    region: RegionId
    collector: str
    roster: RosterVersion
    control: ControlStatus
    services: Mapping[ServiceId, ServiceSummary]
    others: tuple[str, ...] = ()
    suspicions: int | None = None


@dataclass(frozen=True, slots=True)
class Digest:
    """The changes in a region since the previous digest; a full digest contains all loads.

    ``acked`` is the sequence of the receiving member's latest update that the loads include. A
    collector is warm once every member had time to report its state to it. ``address`` is its
    datagram address. ``unreported_placements`` estimates, at the rate of the last second, how many
    requests the region's members place before the next digest reports them. ``suspicions`` has the
    same meaning as in ``RegionSummary``.
    """

    collector: InstanceId
    incarnation: IncarnationId
    address: str
    sequence: int
    is_full: bool
    is_warm: bool
    roster: RosterVersion
    control: ControlStatus
    loads: tuple[EndpointLoad, ...]
    parts: tuple[CachedParts, ...]
    remote_parts: tuple[RemotePart, ...]
    remote_regions: tuple[RegionSummary, ...]
    unreported_placements: float
    suspicions: int | None = None
    acked: int = 0
    limits: tuple[LimitObservation, ...] = ()
    slowdowns: tuple[SlowdownReport, ...] = ()


@dataclass(frozen=True, slots=True)
class Roster:
    """The live gateways of one region, as its collector knows them.

    The version is a hash of the content, so that collectors with equal views report equal versions.
    ``sender`` is the gateway that sends or forwards the roster.
    """

    region: RegionId
    version: RosterVersion
    peers: tuple[Peer, ...]
    sender: InstanceId


@dataclass(frozen=True, slots=True)
class RosterRequest:
    """Requests the rosters of regions; the reply goes to ``reply_to``."""

    reply_to: str
    regions: tuple[RegionId, ...]


@dataclass(frozen=True, slots=True)
class Referral:
    """Addresses of gateways in the receiver's region, sent to it by a gateway of another region."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RemoteParts:
    """Shared prompt parts that engines of another region received, for a region's collector."""

    parts: tuple[RemotePart, ...]


@dataclass(frozen=True, slots=True)
class Blame:
    """A request that was running on an endpoint when it crashed; sent to every gateway at once."""

    fingerprint: Fingerprint
    death: str


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """An endpoint's run that announced that it is leaving; sent to the region's gateways."""

    run: EndpointRun


@dataclass(frozen=True, slots=True)
class SuspicionInventory:
    """Hashes of all suspicions of the sender, eight bytes each.

    The receiver sends the suspicions that are not among them to ``reply_to``.
    """

    reply_to: str
    content_hashes: bytes


@dataclass(frozen=True, slots=True)
class Suspicions:
    """Some of the sender's suspicions."""

    entries: tuple[SuspicionReport, ...]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks for a permit to send one request to a run of an endpoint that named a limit.

    ``number`` identifies the request at its sender. ``role`` is that in which the receiver is
    asked. ``limit_per_s`` is the limit that the sender keeps to, in case the receiver knows none.
    """

    reply_to: str
    number: int
    role: IssuerRole
    is_urgent: bool
    run: RunHash
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class PermitReply:
    """A permit or its denial; the sender of the request may ask again after ``ask_again_ms``."""

    number: int
    is_granted: bool
    ask_again_ms: int


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Asks the issuer of a workspace's quota for ``cost`` units, and up to ``extra`` more.

    ``number`` identifies the request at its sender. ``role`` is that in which the receiver is
    asked.
    """

    reply_to: str
    number: int
    role: IssuerRole
    workspace: WorkspaceHash
    cost: int
    extra: int


@dataclass(frozen=True, slots=True)
class QuotaReply:
    """Issued units, at least the asked ``cost``; with 0, the sender may ask again later."""

    number: int
    cost: int
    units: int
    ask_again_ms: int


@dataclass(frozen=True, slots=True)
class QuotaTransferRequest:
    """Asks the issuer of another region for units that it does not need."""

    reply_to: str
    number: int
    workspace: WorkspaceHash
    units: int


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """Units that the sender has subtracted from its own bucket; 0 if it has none to spare."""

    number: int
    units: int


@dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams that the sender began, with their software versions, and those that are complete."""

    origins: tuple[StreamOrigin, ...]
    complete: tuple[StreamKey, ...] = ()


@dataclass(frozen=True, slots=True)
class OriginQuery:
    """Asks at which software version a stream began; the reply goes to ``reply_to``."""

    reply_to: str
    number: int
    key: StreamKey


@dataclass(frozen=True, slots=True)
class OriginReply:
    """The origin of a stream, ``None`` if ``sender``, a datagram address, does not know it."""

    sender: str
    number: int
    origin: StreamOrigin | None


Datagram = (
    MemberUpdate
    | Digest
    | RegionSummary
    | Roster
    | RosterRequest
    | Referral
    | RemoteParts
    | Blame
    | LeavingNotice
    | RunNotice
    | SuspicionInventory
    | Suspicions
    | PermitRequest
    | PermitReply
    | QuotaRequest
    | QuotaReply
    | QuotaTransferRequest
    | QuotaTransfer
    | OriginReport
    | OriginQuery
    | OriginReply
)
