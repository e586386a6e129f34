"""Wire format of datagrams: a magic byte, the format version, the kind, and msgpack fields.

A release may append fields; older releases ignore those that they do not know. A change of existing
fields needs a new version, and gateways of different versions reject each other's datagrams.
"""

from __future__ import annotations

import math
import struct
import zlib
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import Any

import msgpack
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_policy.quarantine import SuspicionReport
from primroseferry_policy.suspicion import Suspicion

from ..endpoints.endpoint import EndpointRun
from ..endpoints.endpoint_point import EndpointHash
from ..endpoints.endpoint_point import RunHash
from ..endpoints.request_limits import MAX_LIMIT_PER_S
from ..endpoints.request_limits import LimitObservation
from ..endpoints.request_limits import ObservationId
from ..endpoints.run_notice import RunNotice
from ..endpoints.run_notice import RunStanding
from ..endpoints.software_version import VersionHash
from ..streams.stream_origins import StreamKey
from ..streams.stream_origins import StreamOrigin
from .datagrams import Blame
from .datagrams import CachedParts
from .datagrams import Digest
from .datagrams import EndpointLoad
from .datagrams import LeavingNotice
from .datagrams import MemberUpdate
from .datagrams import OriginQuery
from .datagrams import OriginReply
from .datagrams import OriginReport
from .datagrams import PermitReply
from .datagrams import PermitRequest
from .datagrams import Placement
from .datagrams import QuotaReply
from .datagrams import QuotaRequest
from .datagrams import QuotaTransfer
from .datagrams import QuotaTransferRequest
from .datagrams import Referral
from .datagrams import RegionSummary
from .datagrams import RemotePart
from .datagrams import RemoteParts
from .datagrams import Roster
from .datagrams import RosterRequest
from .datagrams import RosterVersion
from .datagrams import SlowdownReport
from .datagrams import SuspicionInventory
from .datagrams import Suspicions
from .datagrams import WorkspaceHash
from .peer import ControlStatus
from .peer import GatewayState
from .peer import Peer
from .peer import PeerAddress
from .peer import ServiceSummary
from .permit_issuer import IssuerRole

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .datagrams import Datagram

MAGIC = 0xF7
VERSION = 1
# Bounds on a datagram and on its decompressed content, so that no datagram exhausts memory.
MAX_DATAGRAM_BYTES = 60_000
MAX_DECOMPRESSED_BYTES = 1_000_000
_HEADER = struct.Struct("<BBBI")
# An endpoint's hash, its in-flight requests, its uncached tokens, its tokens in engine memory, and
# its prefill tokens per second. Tokens are counted in steps too small to affect routing: a digest
# goes to every gateway of a region many times per second, so its size matters.
_LOAD = struct.Struct("<IBHHB")
# A stream's key and the hash of its software version.
_ORIGIN = struct.Struct("<QQ")
_MAX_REQUESTS = 0xFF
UNCACHED_TOKENS_STEP = 16
MEMORY_TOKENS_STEP = 64
PREFILL_RATE_STEP = 512
_STATES = (GatewayState.STARTING, GatewayState.READY, GatewayState.DRAINING)


class _Kind(IntEnum):
    """The kind of a datagram as a number on the wire."""

    UPDATE = 1
    DIGEST = 2
    SUMMARY = 3
    ROSTER = 4
    ROSTER_REQUEST = 5
    REFERRAL = 6
    REMOTE_PARTS = 7
    BLAME = 8
    LEAVING = 9
    SUSPICION_INVENTORY = 10
    SUSPICIONS = 11
    PERMIT_REQUEST = 12
    PERMIT_REPLY = 13
    ORIGIN_REPORT = 14
    ORIGIN_QUERY = 15
    ORIGIN_REPLY = 16
    RUN_NOTICE = 17
    QUOTA_REQUEST = 18
    QUOTA_REPLY = 19
    QUOTA_TRANSFER_REQUEST = 20
    QUOTA_TRANSFER = 21


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram as sent."""
    match datagram:
        case MemberUpdate():
            return _pack(_Kind.UPDATE, _update_fields(datagram))
        case Digest(acked=acked):
            return digest_header(acked) + encode_digest_body(datagram)
        case RegionSummary():
            return _pack(_Kind.SUMMARY, _summary_fields(datagram))
        case Roster(region, version, peers, sender):
            packed = msgpack.packb([_peer_fields(peer) for peer in peers])
            return _pack(_Kind.ROSTER, [region, version, zlib.compress(packed, level=1), sender])
        case RosterRequest(reply_to, regions):
            return _pack(_Kind.ROSTER_REQUEST, [reply_to, list(regions)])
        case Referral(addresses):
            return _pack(_Kind.REFERRAL, list(addresses))
        case RemoteParts(parts):
            return _pack(_Kind.REMOTE_PARTS, [_remote_part_fields(part) for part in parts])
        case Blame(fingerprint, death):
            return _pack(_Kind.BLAME, [fingerprint, death])
        case LeavingNotice(run):
            return _pack(_Kind.LEAVING, _run_fields(run))
        case RunNotice(run, standing, cold_ms, reply_to):
            fields = [_run_fields(run), standing.value, round(cold_ms), reply_to]
            return _pack(_Kind.RUN_NOTICE, fields)
        case SuspicionInventory(reply_to, content_hashes):
            return _pack(_Kind.SUSPICION_INVENTORY, [reply_to, content_hashes])
        case Suspicions(entries):
            return _pack(_Kind.SUSPICIONS, [encode_suspicion(entry) for entry in entries])
        case PermitRequest(reply_to, number, role, is_urgent, run, limit_per_s):
            is_standby = role is IssuerRole.STANDBY
            return _pack(
                _Kind.PERMIT_REQUEST, [reply_to, number, is_standby, is_urgent, run, limit_per_s]
            )
        case PermitReply(number, is_granted, ask_again_ms):
            return _pack(_Kind.PERMIT_REPLY, [number, is_granted, ask_again_ms])
        case QuotaRequest(reply_to, number, role, workspace, cost, extra):
            is_standby = role is IssuerRole.STANDBY
            return _pack(
                _Kind.QUOTA_REQUEST, [reply_to, number, is_standby, workspace, cost, extra]
            )
        case QuotaReply(number, cost, units, ask_again_ms):
            return _pack(_Kind.QUOTA_REPLY, [number, cost, units, ask_again_ms])
        case QuotaTransferRequest(reply_to, number, workspace, units):
            return _pack(_Kind.QUOTA_TRANSFER_REQUEST, [reply_to, number, workspace, units])
        case QuotaTransfer(number, units):
            return _pack(_Kind.QUOTA_TRANSFER, [number, units])
        case OriginReport(origins, complete):
            packed = b"".join(map(_encode_origin, origins))
            return _pack(
                _Kind.ORIGIN_REPORT, [packed, struct.pack(f"<{len(complete)}Q", *complete)]
            )
        case OriginQuery(reply_to, number, key):
            return _pack(_Kind.ORIGIN_QUERY, [reply_to, number, key])
        case OriginReply(own_address, number, origin):
            packed = b"" if origin is None else _encode_origin(origin)
            return _pack(_Kind.ORIGIN_REPLY, [own_address, number, packed])


def digest_header(acked: int) -> bytes:
    """Return the header of a digest, the only part that differs between its receivers."""
    return _HEADER.pack(MAGIC, VERSION, _Kind.DIGEST, acked & 0xFFFFFFFF)


def encode_digest_body(digest: Digest) -> bytes:
    """Return the compressed body of a digest, which is the same for all receivers."""
    fields = [
        digest.collector,
        digest.incarnation,
        digest.address,
        digest.sequence,
        digest.is_full,
        digest.is_warm,
        digest.roster,
        _control_fields(digest.control),
        b"".join(_encode_load(load) for load in digest.loads),
        [[cached.endpoint, _part_fields(cached.parts)] for cached in digest.parts],
        [_remote_part_fields(part) for part in digest.remote_parts],
        [_summary_fields(summary) for summary in digest.remote_regions],
        round(digest.unreported_placements, 1),
        digest.suspicions,
        [_observation_fields(observation) for observation in digest.limits],
        list(map(_slowdown_fields, digest.slowdowns)),
    ]
    return zlib.compress(msgpack.packb(fields), level=1)


def decode(data: bytes) -> Datagram | None:
    """Return the decoded datagram, ``None`` if it is damaged or of another format or version."""
    if len(data) < _HEADER.size or len(data) > MAX_DATAGRAM_BYTES:
        return None
    magic, version, kind, acked = _HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return None
    try:
        packed = data[_HEADER.size :]
        if kind == _Kind.DIGEST:
            packed = _decompress(packed)
        fields = msgpack.unpackb(packed, strict_map_key=False)
        return _decode_fields(kind, fields, acked)
    except (
        ValueError,
        KeyError,
        TypeError,
        IndexError,
        AttributeError,
        OverflowError,
        struct.error,
        zlib.error,
        msgpack.UnpackException,
    ):
        return None


def rounded(work: OpenWork) -> OpenWork:
    """Return work as it is after encoding and decoding."""
    return OpenWork(
        min(_MAX_REQUESTS, work.requests),
        _quantize(work.uncached_tokens, UNCACHED_TOKENS_STEP, 0xFFFF) * UNCACHED_TOKENS_STEP,
        _quantize(work.memory_tokens, MEMORY_TOKENS_STEP, 0xFFFF) * MEMORY_TOKENS_STEP,
    )


def _pack(kind: _Kind, fields: Sequence[Any]) -> bytes:
    return _HEADER.pack(MAGIC, VERSION, kind, 0) + bytes(msgpack.packb(fields))


def _decode_fields(kind: int, fields: Any, acked: int) -> Datagram | None:
    match kind:
        case _Kind.UPDATE:
            return _decode_update(fields)
        case _Kind.DIGEST:
            return _decode_digest(fields, acked)
        case _Kind.SUMMARY:
            return _decode_summary(fields)
        case _Kind.ROSTER:
            return _decode_roster(fields)
        case _Kind.ROSTER_REQUEST:
            return RosterRequest(
                _string(fields[0]), tuple(RegionId(_string(region)) for region in fields[1])
            )
        case _Kind.REFERRAL:
            return Referral(tuple(map(_string, fields)))
        case _Kind.REMOTE_PARTS:
            return RemoteParts(tuple(map(_decode_remote_part, fields)))
        case _Kind.BLAME:
            return Blame(Fingerprint(_string(fields[0])), _string(fields[1]))
        case _Kind.LEAVING:
            return LeavingNotice(_decode_run(fields))
        case _Kind.RUN_NOTICE:
            run_fields, standing, cold_ms, reply_to = fields[:4]
            return RunNotice(
                _decode_run(run_fields),
                RunStanding(standing),
                float(_non_negative_int(cold_ms)),
                _string(reply_to),
            )
        case _Kind.SUSPICION_INVENTORY:
            reply_to, content_hashes = fields[:2]
            return SuspicionInventory(_string(reply_to), bytes(memoryview(content_hashes)))
        case _Kind.SUSPICIONS:
            return Suspicions(tuple(map(decode_suspicion, fields)))
        case _Kind.PERMIT_REQUEST:
            reply_to, number, is_standby, is_urgent, run, limit_per_s = fields[:6]
            return PermitRequest(
                _string(reply_to),
                _non_negative_int(number),
                IssuerRole.STANDBY if is_standby else IssuerRole.PRIMARY,
                bool(is_urgent),
                RunHash(_non_negative_int(run)),
                _decode_limit(limit_per_s),
            )
        case _Kind.PERMIT_REPLY:
            number, is_granted, ask_again_ms = fields[:3]
            return PermitReply(
                _non_negative_int(number), bool(is_granted), _non_negative_int(ask_again_ms)
            )
        case _Kind.QUOTA_REQUEST:
            reply_to, number, is_standby, workspace, cost, extra = fields[:6]
            return QuotaRequest(
                _string(reply_to),
                _non_negative_int(number),
                IssuerRole.STANDBY if is_standby else IssuerRole.PRIMARY,
                WorkspaceHash(_non_negative_int(workspace)),
                _non_negative_int(cost),
                _non_negative_int(extra),
            )
        case _Kind.QUOTA_REPLY:
            return QuotaReply(*map(_non_negative_int, fields[:4]))
        case _Kind.QUOTA_TRANSFER_REQUEST:
            reply_to, number, workspace, units = fields[:4]
            return QuotaTransferRequest(
                _string(reply_to),
                _non_negative_int(number),
                WorkspaceHash(_non_negative_int(workspace)),
                _non_negative_int(units),
            )
        case _Kind.QUOTA_TRANSFER:
            return QuotaTransfer(*map(_non_negative_int, fields[:2]))
        case _Kind.ORIGIN_REPORT:
            packed, complete = fields[:2]
            return OriginReport(_decode_origins(packed), _decode_keys(complete))
        case _Kind.ORIGIN_QUERY:
            reply_to, number, key = fields[:3]
            return OriginQuery(
                _string(reply_to), _non_negative_int(number), StreamKey(_non_negative_int(key))
            )
        case _Kind.ORIGIN_REPLY:
            sender, number, packed = fields[:3]
            origins = _decode_origins(packed)
            return OriginReply(
                _string(sender), _non_negative_int(number), origins[0] if origins else None
            )
    return None


def _encode_origin(origin: StreamOrigin) -> bytes:
    return _ORIGIN.pack(origin.key, origin.version)


def _decode_origins(packed: Any) -> tuple[StreamOrigin, ...]:
    return tuple(
        StreamOrigin(StreamKey(key), VersionHash(version))
        for key, version in _ORIGIN.iter_unpack(bytes(memoryview(packed)))
    )


def _decode_keys(packed: Any) -> tuple[StreamKey, ...]:
    return tuple(StreamKey(key) for (key,) in struct.iter_unpack("<Q", bytes(memoryview(packed))))


def _update_fields(update: MemberUpdate) -> list[Any]:
    return [
        _peer_fields(update.peer),
        update.sequence,
        update.wants_digest,
        update.wants_full,
        _control_fields(update.control),
        b"".join(
            _encode_load(EndpointLoad(endpoint, work, 0)) for endpoint, work in update.loads.items()
        ),
        [
            [
                placed.number,
                placed.endpoint,
                placed.uncached_tokens,
                _part_fields(placed.parts),
            ]
            for placed in update.placements
        ],
        [_observation_fields(observation) for observation in update.limits],
        list(map(_slowdown_fields, update.slowdowns)),
    ]


def _decode_update(fields: Any) -> MemberUpdate:
    peer, sequence, wants_digest, wants_full, control, loads, placements = fields[:7]
    return MemberUpdate(
        _decode_peer(peer),
        _non_negative_int(sequence),
        bool(wants_digest),
        bool(wants_full),
        _decode_control(control),
        {load.endpoint: load.work for load in _decode_loads(loads)},
        tuple(
            Placement(
                _non_negative_int(number),
                _decode_endpoint_hash(endpoint),
                _non_negative_int(uncached),
                _decode_parts(parts),
            )
            for number, endpoint, uncached, parts in placements
        ),
        _decode_observations(fields, 7),
        _decode_slowdowns(fields, 8),
    )


def _decode_digest(fields: Any, acked: int) -> Digest:
    collector, incarnation, address, sequence, is_full, is_warm, roster, control = fields[:8]
    loads, parts, remote_parts, remote_regions, unreported = fields[8:13]
    return Digest(
        InstanceId(_string(collector)),
        IncarnationId(_string(incarnation)),
        _string(address),
        _non_negative_int(sequence),
        bool(is_full),
        bool(is_warm),
        RosterVersion(_non_negative_int(roster)),
        _decode_control(control),
        tuple(_decode_loads(loads)),
        tuple(
            CachedParts(_decode_endpoint_hash(endpoint), _decode_parts(cached))
            for endpoint, cached in parts
        ),
        tuple(map(_decode_remote_part, remote_parts)),
        tuple(map(_decode_summary, remote_regions)),
        float(unreported),
        _optional_int(fields, 13),
        acked,
        _decode_observations(fields, 14),
        _decode_slowdowns(fields, 15),
    )


def _run_fields(run: EndpointRun) -> list[Any]:
    return [run.endpoint, run.started_ms, run.address]


def _decode_run(fields: Any) -> EndpointRun:
    endpoint, started_ms, address = fields[:3]
    return EndpointRun(
        EndpointId(_string(endpoint)), _non_negative_int(started_ms), _string(address)
    )


def _observation_fields(observation: LimitObservation) -> list[Any]:
    return [
        _run_fields(observation.run),
        observation.limit_per_s,
        observation.is_lifted,
        observation.observation,
        round(observation.age_s, 3),
    ]


def _decode_limit(value: Any) -> float:
    if not 0 <= value <= MAX_LIMIT_PER_S:
        raise ValueError("expected a request limit of at least 0")
    return float(value)


def _decode_observation(fields: Any) -> LimitObservation:
    run, limit_per_s, is_lifted, observation, age_s = fields[:5]
    if not 0 <= age_s < float("inf"):
        raise ValueError("expected a finite age of at least 0 s")
    return LimitObservation(
        _decode_run(run),
        _decode_limit(limit_per_s),
        bool(is_lifted),
        ObservationId(_non_negative_int(observation)),
        float(age_s),
    )


def _decode_observations(fields: Any, index: int) -> tuple[LimitObservation, ...]:
    """Return the observations at ``index``, none if an earlier release did not send them."""
    return tuple(map(_decode_observation, fields[index] if len(fields) > index else ()))


def _slowdown_fields(report: SlowdownReport) -> list[Any]:
    # Rounded up, so that a report gets no younger by being passed on.
    return [report.service, math.ceil(report.age_s * 10)]


def _decode_slowdowns(fields: Any, index: int) -> tuple[SlowdownReport, ...]:
    """Return the reports at ``index``, none if an earlier release did not send them."""
    return tuple(
        SlowdownReport(ServiceId(_string(service)), _non_negative_int(age) / 10)
        for service, age in (fields[index] if len(fields) > index else ())
    )


def _summary_fields(summary: RegionSummary) -> list[Any]:
    return [
        summary.region,
        summary.collector,
        summary.roster,
        _control_fields(summary.control),
        [
            [
                name,
                service.endpoints,
                service.slots,
                [service.work.requests, service.work.uncached_tokens, service.work.memory_tokens],
                round(service.pace, 2),
                service.prefill_tokens_per_s,
            ]
            for name, service in summary.services.items()
        ],
        list(summary.others),
        summary.suspicions,
    ]


def _decode_summary(fields: Any) -> RegionSummary:
    region, collector, roster, control, services, others = fields[:6]
    return RegionSummary(
        RegionId(_string(region)),
        _string(collector),
        RosterVersion(_non_negative_int(roster)),
        _decode_control(control),
        {
            ServiceId(_string(name)): ServiceSummary(
                _non_negative_int(endpoints),
                _non_negative_int(slots),
                OpenWork(*map(_non_negative_int, work)),
                float(pace),
                _non_negative_int(prefill_rate),
            )
            for name, endpoints, slots, work, pace, prefill_rate in services
        },
        tuple(map(_string, others)),
        _optional_int(fields, 6),
    )


def _decode_roster(fields: Any) -> Roster:
    region, version, packed, sender = fields[:4]
    peers = msgpack.unpackb(_decompress(packed))
    return Roster(
        RegionId(_string(region)),
        RosterVersion(_non_negative_int(version)),
        tuple(map(_decode_peer, peers)),
        InstanceId(_string(sender)),
    )


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(packed, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("compressed content is truncated or too large")
    return content


def _peer_fields(peer: Peer) -> list[Any]:
    address = peer.address
    return [
        peer.instance,
        peer.incarnation,
        peer.region,
        peer.failure_domain,
        address.front,
        address.hop,
        address.report,
        _STATES.index(peer.state),
        peer.link_mbps,
    ]


def _decode_peer(fields: Any) -> Peer:
    instance, incarnation, region, domain, front, hop, report, state, link_mbps = fields[:9]
    if not 0 <= state < len(_STATES):
        raise ValueError(f"unknown gateway state {state}")
    return Peer(
        InstanceId(_string(instance)),
        IncarnationId(_string(incarnation)),
        RegionId(_string(region)),
        FailureDomainId(_string(domain)),
        PeerAddress(_string(front), _string(hop), _string(report)),
        _STATES[state],
        _non_negative_int(link_mbps),
    )


def _control_fields(control: ControlStatus) -> list[Any]:
    age_ms = round(min(control.store_age_ms, 1e9))
    return [control.revision, age_ms, list(control.holders), control.era, control.step]


def _decode_control(fields: Any) -> ControlStatus:
    revision, age_ms, holders = fields[:3]
    return ControlStatus(
        _non_negative_int(revision),
        float(age_ms),
        tuple(map(_string, holders)),
        _optional_int(fields, 3) or 0,
        _optional_int(fields, 4) or 0,
    )


def _encode_load(load: EndpointLoad) -> bytes:
    work = load.work
    return _LOAD.pack(
        load.endpoint,
        min(_MAX_REQUESTS, max(0, work.requests)),
        _quantize(work.uncached_tokens, UNCACHED_TOKENS_STEP, 0xFFFF),
        _quantize(work.memory_tokens, MEMORY_TOKENS_STEP, 0xFFFF),
        _quantize(load.prefill_tokens_per_s, PREFILL_RATE_STEP, 0xFF),
    )


def _quantize(value: int, step: int, limit: int) -> int:
    return min(limit, max(0, (value + step // 2) // step))


def _decode_loads(data: bytes) -> list[EndpointLoad]:
    return [
        EndpointLoad(
            EndpointHash(endpoint),
            OpenWork(requests, uncached * UNCACHED_TOKENS_STEP, memory * MEMORY_TOKENS_STEP),
            prefill_rate * PREFILL_RATE_STEP,
        )
        for endpoint, requests, uncached, memory, prefill_rate in _LOAD.iter_unpack(data)
    ]


def encode_suspicion(entry: SuspicionReport) -> list[Any]:
    """Return the fields of a suspicion, as sent and as written to the store."""
    suspicion = entry.suspicion
    fields: list[Any] = [
        suspicion.fingerprint,
        sorted(suspicion.deaths),
        sorted(suspicion.breaks),
        sorted(suspicion.retracted),
        round(max(0.0, entry.age_s), 1),
        suspicion.answered_s,
    ]
    if suspicion.losses:
        return [*fields, suspicion.depth, sorted(suspicion.losses)]
    return [*fields, suspicion.depth] if suspicion.depth else fields


def decode_suspicion(fields: Any) -> SuspicionReport:
    """Reverse ``encode_suspicion``; raise ``ValueError`` or ``TypeError`` if invalid."""
    fingerprint, deaths, breaks, retracted, age_s, answered_s = fields[:6]
    if not 0 <= age_s < float("inf"):
        raise ValueError("expected a finite age of at least 0 s")
    return SuspicionReport(
        Suspicion(
            Fingerprint(_string(fingerprint)),
            frozenset(map(_string, deaths)),
            frozenset(map(_string, breaks)),
            frozenset(map(_string, retracted)),
            _non_negative_int(answered_s),
            _optional_int(fields, 6) or 0,
            frozenset(map(_string, fields[7] if len(fields) > 7 else ())),
        ),
        float(age_s),
    )


def _part_fields(parts: Sequence[PromptPart]) -> list[list[Any]]:
    return [[part.part, part.tokens] for part in parts]


def _decode_parts(fields: Any) -> tuple[PromptPart, ...]:
    return tuple(
        PromptPart(PartId(_string(part)), _non_negative_int(tokens)) for part, tokens in fields
    )


def _remote_part_fields(part: RemotePart) -> list[Any]:
    return [part.endpoint, part.part, part.tokens]


def _decode_remote_part(fields: Any) -> RemotePart:
    endpoint, part, tokens = fields[:3]
    return RemotePart(
        _decode_endpoint_hash(endpoint), PartId(_string(part)), _non_negative_int(tokens)
    )


def _decode_endpoint_hash(value: Any) -> EndpointHash:
    return EndpointHash(_non_negative_int(value))


def _string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {type(value).__name__}")
    return value


def _optional_int(fields: Any, index: int) -> int | None:
    """Return the number at ``index``, ``None`` if an earlier release did not send it."""
    value = fields[index] if len(fields) > index else None
    return _non_negative_int(value) if value is not None else None


def _non_negative_int(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("expected a non-negative integer")
    return value
