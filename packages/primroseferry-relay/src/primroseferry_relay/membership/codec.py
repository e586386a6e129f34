"""Datagrams on the wire: a magic byte, the format's version, the kind, and msgpack.

A release may append fields; those that an older one does not know are ignored. A change of what is
there needs a new version, and gateways of the two then do not hear each other.
"""

from __future__ import annotations

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
from primroseferry_policy.quarantine import ToldSuspicion
from primroseferry_policy.suspicion import Suspicion

from ..endpoints.endpoint import EndpointRun
from ..endpoints.endpoint_point import EndpointPoint
from .datagrams import Blame
from .datagrams import Digest
from .datagrams import EndpointLoad
from .datagrams import FarPart
from .datagrams import FarParts
from .datagrams import HeldParts
from .datagrams import LeavingNote
from .datagrams import MemberUpdate
from .datagrams import Placement
from .datagrams import Referral
from .datagrams import RegionSummary
from .datagrams import Roster
from .datagrams import RosterVersion
from .datagrams import RosterWanted
from .datagrams import Suspicions
from .datagrams import SuspicionsKnown
from .peer import ControlFacts
from .peer import GatewayState
from .peer import Peer
from .peer import PeerAddress
from .peer import ServiceSummary

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .datagrams import Datagram

MAGIC = 0xF7
VERSION = 1
# No datagram is larger; what a decoder makes of one stays in proportion.
MAX_DATAGRAM_BYTES = 60_000
MAX_INFLATED_BYTES = 1_000_000
_HEAD = struct.Struct("<BBBI")
# An endpoint's point, open requests, and tokens: unread, held, and read a second, in steps that
# decide nothing. A digest goes to every gateway of a region many times a second, so bytes count.
_LOAD = struct.Struct("<IBHHB")
_MAX_REQUESTS = 0xFF
UNREAD_STEP = 16
HELD_STEP = 64
READING_STEP = 512
_STATES = (GatewayState.STARTING, GatewayState.READY, GatewayState.DRAINING)


class _Kind(IntEnum):
    """What a datagram is, on the wire."""

    UPDATE = 1
    DIGEST = 2
    SUMMARY = 3
    ROSTER = 4
    ROSTER_WANTED = 5
    REFERRAL = 6
    FAR_PARTS = 7
    BLAME = 8
    LEAVING = 9
    SUSPICIONS_KNOWN = 10
    SUSPICIONS = 11


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram."""
    match datagram:
        case MemberUpdate():
            return _packed(_Kind.UPDATE, _update_fields(datagram))
        case Digest(acked=acked):
            return digest_head(acked) + encode_digest_body(datagram)
        case RegionSummary():
            return _packed(_Kind.SUMMARY, _summary_fields(datagram))
        case Roster(region, version, peers, sender):
            packed = msgpack.packb([_peer_fields(peer) for peer in peers])
            return _packed(_Kind.ROSTER, [region, version, zlib.compress(packed, level=1), sender])
        case RosterWanted(reply_to, regions):
            return _packed(_Kind.ROSTER_WANTED, [reply_to, list(regions)])
        case Referral(addresses):
            return _packed(_Kind.REFERRAL, list(addresses))
        case FarParts(parts):
            return _packed(_Kind.FAR_PARTS, [_far_part_fields(part) for part in parts])
        case Blame(fingerprint, death):
            return _packed(_Kind.BLAME, [fingerprint, death])
        case LeavingNote(run):
            return _packed(_Kind.LEAVING, [run.endpoint, run.started_ms, run.address])
        case SuspicionsKnown(reply_to, points):
            return _packed(_Kind.SUSPICIONS_KNOWN, [reply_to, points])
        case Suspicions(told):
            return _packed(_Kind.SUSPICIONS, [told_fields(one) for one in told])


def digest_head(acked: int) -> bytes:
    """Return what of a digest differs between its receivers."""
    return _HEAD.pack(MAGIC, VERSION, _Kind.DIGEST, acked & 0xFFFFFFFF)


def encode_digest_body(digest: Digest) -> bytes:
    """Return what all receivers of a digest get."""
    fields = [
        digest.collector,
        digest.incarnation,
        digest.address,
        digest.sequence,
        digest.is_full,
        digest.is_warm,
        digest.roster,
        _control_fields(digest.control),
        b"".join(_load_bytes(load) for load in digest.loads),
        [[held.endpoint, _part_fields(held.parts)] for held in digest.parts],
        [_far_part_fields(part) for part in digest.far_parts],
        [_summary_fields(summary) for summary in digest.far_regions],
        round(digest.unseen_placements, 1),
        digest.suspicions,
    ]
    return zlib.compress(msgpack.packb(fields), level=1)


def decode(data: bytes) -> Datagram | None:
    """Return what a datagram says, ``None`` where it is not one of ours or is damaged."""
    if len(data) < _HEAD.size or len(data) > MAX_DATAGRAM_BYTES:
        return None
    magic, version, kind, acked = _HEAD.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return None
    try:
        packed = data[_HEAD.size :]
        if kind == _Kind.DIGEST:
            packed = _inflated(packed)
        fields = msgpack.unpackb(packed, strict_map_key=False)
        return _decoded(kind, fields, acked)
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
    """Return work as it is after its way through a datagram."""
    return OpenWork(
        min(_MAX_REQUESTS, work.requests),
        _steps(work.unread_tokens, UNREAD_STEP, 0xFFFF) * UNREAD_STEP,
        _steps(work.held_tokens, HELD_STEP, 0xFFFF) * HELD_STEP,
    )


def _packed(kind: _Kind, fields: Sequence[Any]) -> bytes:
    return _HEAD.pack(MAGIC, VERSION, kind, 0) + bytes(msgpack.packb(fields))


def _decoded(kind: int, fields: Any, acked: int) -> Datagram | None:
    match kind:
        case _Kind.UPDATE:
            return _update(fields)
        case _Kind.DIGEST:
            return _digest(fields, acked)
        case _Kind.SUMMARY:
            return _summary(fields)
        case _Kind.ROSTER:
            return _roster(fields)
        case _Kind.ROSTER_WANTED:
            return RosterWanted(_text(fields[0]), tuple(RegionId(_text(one)) for one in fields[1]))
        case _Kind.REFERRAL:
            return Referral(tuple(map(_text, fields)))
        case _Kind.FAR_PARTS:
            return FarParts(tuple(map(_far_part, fields)))
        case _Kind.BLAME:
            return Blame(Fingerprint(_text(fields[0])), _text(fields[1]))
        case _Kind.LEAVING:
            endpoint, started_ms, address = fields[:3]
            return LeavingNote(
                EndpointRun(EndpointId(_text(endpoint)), _whole(started_ms), _text(address))
            )
        case _Kind.SUSPICIONS_KNOWN:
            reply_to, points = fields[:2]
            return SuspicionsKnown(_text(reply_to), bytes(memoryview(points)))
        case _Kind.SUSPICIONS:
            return Suspicions(tuple(map(told_suspicion, fields)))
    return None


def _update_fields(update: MemberUpdate) -> list[Any]:
    return [
        _peer_fields(update.peer),
        update.sequence,
        update.wants_digest,
        update.wants_full,
        _control_fields(update.control),
        b"".join(
            _load_bytes(EndpointLoad(endpoint, work, 0)) for endpoint, work in update.loads.items()
        ),
        [
            [
                placed.number,
                placed.endpoint,
                placed.unread_tokens,
                _part_fields(placed.parts),
            ]
            for placed in update.placements
        ],
    ]


def _update(fields: Any) -> MemberUpdate:
    peer, sequence, wants_digest, wants_full, control, loads, placements = fields[:7]
    return MemberUpdate(
        _peer(peer),
        _whole(sequence),
        bool(wants_digest),
        bool(wants_full),
        _control(control),
        {load.endpoint: load.work for load in _loads(loads)},
        tuple(
            Placement(_whole(number), _point(endpoint), _whole(unread), _parts(parts))
            for number, endpoint, unread, parts in placements
        ),
    )


def _digest(fields: Any, acked: int) -> Digest:
    collector, incarnation, address, sequence, is_full, is_warm, roster, control = fields[:8]
    loads, parts, far_parts, far_regions, unseen = fields[8:13]
    return Digest(
        InstanceId(_text(collector)),
        IncarnationId(_text(incarnation)),
        _text(address),
        _whole(sequence),
        bool(is_full),
        bool(is_warm),
        RosterVersion(_whole(roster)),
        _control(control),
        tuple(_loads(loads)),
        tuple(HeldParts(_point(endpoint), _parts(held)) for endpoint, held in parts),
        tuple(map(_far_part, far_parts)),
        tuple(map(_summary, far_regions)),
        float(unseen),
        _appended_whole(fields, 13),
        acked,
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
                one.endpoints,
                one.slots,
                [one.work.requests, one.work.unread_tokens, one.work.held_tokens],
                round(one.pace, 2),
                one.reading_tokens_per_s,
            ]
            for name, one in summary.services.items()
        ],
        list(summary.others),
        summary.suspicions,
    ]


def _summary(fields: Any) -> RegionSummary:
    region, collector, roster, control, services, others = fields[:6]
    return RegionSummary(
        RegionId(_text(region)),
        _text(collector),
        RosterVersion(_whole(roster)),
        _control(control),
        {
            ServiceId(_text(name)): ServiceSummary(
                _whole(endpoints),
                _whole(slots),
                OpenWork(*map(_whole, work)),
                float(pace),
                _whole(reading),
            )
            for name, endpoints, slots, work, pace, reading in services
        },
        tuple(map(_text, others)),
        _appended_whole(fields, 6),
    )


def _roster(fields: Any) -> Roster:
    region, version, packed, sender = fields[:4]
    peers = msgpack.unpackb(_inflated(packed))
    return Roster(
        RegionId(_text(region)),
        RosterVersion(_whole(version)),
        tuple(map(_peer, peers)),
        InstanceId(_text(sender)),
    )


def _inflated(packed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    content = inflater.decompress(packed, MAX_INFLATED_BYTES)
    if not inflater.eof:
        raise ValueError("the content is cut or too large")
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


def _peer(fields: Any) -> Peer:
    instance, incarnation, region, domain, front, hop, report, state, link_mbps = fields[:9]
    if not 0 <= state < len(_STATES):
        raise ValueError(f"state {state} is not known")
    return Peer(
        InstanceId(_text(instance)),
        IncarnationId(_text(incarnation)),
        RegionId(_text(region)),
        FailureDomainId(_text(domain)),
        PeerAddress(_text(front), _text(hop), _text(report)),
        _STATES[state],
        _whole(link_mbps),
    )


def _control_fields(control: ControlFacts) -> list[Any]:
    return [control.revision, round(min(control.store_age_ms, 1e9)), list(control.holders)]


def _control(fields: Any) -> ControlFacts:
    revision, age_ms, holders = fields[:3]
    return ControlFacts(_whole(revision), float(age_ms), tuple(map(_text, holders)))


def _load_bytes(load: EndpointLoad) -> bytes:
    work = load.work
    return _LOAD.pack(
        load.endpoint,
        min(_MAX_REQUESTS, max(0, work.requests)),
        _steps(work.unread_tokens, UNREAD_STEP, 0xFFFF),
        _steps(work.held_tokens, HELD_STEP, 0xFFFF),
        _steps(load.reading_tokens_per_s, READING_STEP, 0xFF),
    )


def _steps(value: int, step: int, most: int) -> int:
    return min(most, max(0, (value + step // 2) // step))


def _loads(data: bytes) -> list[EndpointLoad]:
    return [
        EndpointLoad(
            EndpointPoint(endpoint),
            OpenWork(requests, unread * UNREAD_STEP, held * HELD_STEP),
            reading * READING_STEP,
        )
        for endpoint, requests, unread, held, reading in _LOAD.iter_unpack(data)
    ]


def told_fields(told: ToldSuspicion) -> list[Any]:
    """Return a suspicion as it goes on the wire and into the store."""
    held = told.suspicion
    return [
        held.fingerprint,
        sorted(held.deaths),
        sorted(held.breaks),
        sorted(held.dropped),
        round(max(0.0, told.age_s), 1),
        held.answered_s,
    ]


def told_suspicion(fields: Any) -> ToldSuspicion:
    """Return the suspicion that ``told_fields`` made; raises ``ValueError`` or ``TypeError``."""
    fingerprint, deaths, breaks, dropped, age_s, answered_s = fields[:6]
    if not 0 <= age_s < float("inf"):
        raise ValueError("an age is needed")
    return ToldSuspicion(
        Suspicion(
            Fingerprint(_text(fingerprint)),
            frozenset(map(_text, deaths)),
            frozenset(map(_text, breaks)),
            frozenset(map(_text, dropped)),
            _whole(answered_s),
        ),
        float(age_s),
    )


def _part_fields(parts: Sequence[PromptPart]) -> list[list[Any]]:
    return [[part.part, part.tokens] for part in parts]


def _parts(fields: Any) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(PartId(_text(part)), _whole(tokens)) for part, tokens in fields)


def _far_part_fields(part: FarPart) -> list[Any]:
    return [part.endpoint, part.part, part.tokens]


def _far_part(fields: Any) -> FarPart:
    endpoint, part, tokens = fields[:3]
    return FarPart(_point(endpoint), PartId(_text(part)), _whole(tokens))


def _point(value: Any) -> EndpointPoint:
    return EndpointPoint(_whole(value))


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("a text is needed")
    return value


def _appended_whole(fields: Any, index: int) -> int | None:
    """Return a number that an earlier release does not send."""
    value = fields[index] if len(fields) > index else None
    return _whole(value) if value is not None else None


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("a whole number is needed")
    return value
