"""What each gateway tells the others, many times a second, in one datagram."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.far_parts import PartReading
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart

from ..endpoints.catalog import EndpointRun
from ..relay_policy import Placed

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


# The first byte of a datagram that is compressed; JSON never begins so.
_PACKED = b"z"


class GatewayState(Enum):
    """Whether a gateway takes new requests of callers."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


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


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a gateway is reached: by callers, for forwarded requests, and by datagrams."""

    front: str
    hop: str
    report: str


@dataclass(frozen=True, slots=True)
class PeerReport:
    """One gateway's state.

    ``sequence`` grows with each report of an incarnation. ``store_age_ms`` is how long ago the
    store answered it.
    """

    instance: InstanceId
    incarnation: IncarnationId
    sequence: int
    region: RegionId
    failure_domain: FailureDomainId
    address: PeerAddress
    state: GatewayState
    route_revision: int
    control_revision: int
    store_age_ms: float
    loads: Mapping[EndpointId, OpenWork]
    summaries: Mapping[ServiceId, ServiceSummary]
    known: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlacementNote:
    """One request that a gateway just gave to an endpoint; its next report includes it."""

    instance: InstanceId
    incarnation: IncarnationId
    sequence: int
    placed: Placed


@dataclass(frozen=True, slots=True)
class Blame:
    """A request that was running on an endpoint when that died; told to every gateway at once."""

    fingerprint: Fingerprint
    death: str


@dataclass(frozen=True, slots=True)
class PartNote:
    """Shared parts that an engine of another region was given.

    The gateway that hears it from another region passes it on to its own region's gateways, once.
    """

    reading: PartReading
    is_passed_on: bool


@dataclass(frozen=True, slots=True)
class LeavingNote:
    """An endpoint's run that said that it leaves; told to the region's gateways at once."""

    run: EndpointRun


Datagram = PeerReport | PlacementNote | PartNote | Blame | LeavingNote


def encode_leaving(note: LeavingNote) -> bytes:
    """Return the datagram of an endpoint that leaves."""
    run = note.run
    data = {"leaving": [run.endpoint, run.started_ms, run.address]}
    return json.dumps(data, separators=(",", ":")).encode()


def encode_part_note(note: PartNote) -> bytes:
    """Return the datagram of a note on parts."""
    reading = note.reading
    data = {"part": [reading.endpoint, reading.part, reading.tokens, int(note.is_passed_on)]}
    return json.dumps(data, separators=(",", ":")).encode()


def encode_blame(blame: Blame) -> bytes:
    """Return the datagram of a blame."""
    data = {"blame": blame.fingerprint, "death": blame.death}
    return json.dumps(data, separators=(",", ":")).encode()


def encode_note(note: PlacementNote) -> bytes:
    """Return the datagram of a note."""
    placed = note.placed
    work = placed.work
    data = [
        note.instance,
        note.incarnation,
        note.sequence,
        placed.endpoint,
        [work.requests, work.unread_tokens, work.held_tokens],
        [[part.part, part.tokens] for part in placed.parts],
    ]
    return json.dumps(data, separators=(",", ":")).encode()


def encode_report(report: PeerReport) -> bytes:
    """Return the datagram of a report."""
    address = report.address
    data = {
        "i": report.instance,
        "c": report.incarnation,
        "n": report.sequence,
        "r": report.region,
        "d": report.failure_domain,
        "a": [address.front, address.hop, address.report],
        "s": report.state.value,
        "rr": report.route_revision,
        "cr": report.control_revision,
        "sa": round(report.store_age_ms),
        "l": {
            name: [work.requests, work.unread_tokens, work.held_tokens]
            for name, work in report.loads.items()
        },
        "v": {
            name: [
                summary.endpoints,
                summary.slots,
                [summary.work.requests, summary.work.unread_tokens, summary.work.held_tokens],
                round(summary.pace, 2),
                summary.reading_tokens_per_s,
            ]
            for name, summary in report.summaries.items()
        },
        "k": list(report.known),
    }
    return _PACKED + zlib.compress(json.dumps(data, separators=(",", ":")).encode(), level=1)


def decode_datagram(datagram: bytes) -> Datagram | None:
    """Return the report, note or blame of a datagram, ``None`` where it holds none."""
    try:
        if datagram.startswith(_PACKED):
            datagram = zlib.decompress(datagram[1:])
        data = json.loads(datagram)
        if isinstance(data, list):
            return _note(data)
        if "part" in data:
            return _part_note(data["part"])
        if "blame" in data:
            return Blame(Fingerprint(data["blame"]), str(data["death"]))
        if "leaving" in data:
            endpoint, started_ms, address = data["leaving"]
            return LeavingNote(EndpointRun(EndpointId(endpoint), int(started_ms), str(address)))
        return _report(data)
    except (ValueError, KeyError, TypeError, IndexError, AttributeError, zlib.error):
        return None


def _part_note(data: Any) -> PartNote:
    endpoint, part, tokens, is_passed_on = data
    reading = PartReading(EndpointId(endpoint), PartId(part), int(tokens))
    return PartNote(reading, bool(is_passed_on))


def _note(data: Any) -> PlacementNote:
    instance, incarnation, sequence, endpoint, work, parts = data
    return PlacementNote(
        InstanceId(instance),
        IncarnationId(incarnation),
        int(sequence),
        Placed(
            EndpointId(endpoint),
            OpenWork(*map(int, work)),
            tuple(PromptPart(PartId(part), int(tokens)) for part, tokens in parts),
        ),
    )


def _report(data: Any) -> PeerReport:
    front, hop, report = data["a"]
    return PeerReport(
        InstanceId(data["i"]),
        IncarnationId(data["c"]),
        int(data["n"]),
        RegionId(data["r"]),
        FailureDomainId(data["d"]),
        PeerAddress(str(front), str(hop), str(report)),
        GatewayState(data["s"]),
        int(data["rr"]),
        int(data["cr"]),
        float(data["sa"]),
        {EndpointId(name): OpenWork(*map(int, work)) for name, work in data["l"].items()},
        {
            ServiceId(name): ServiceSummary(
                int(count), int(slots), OpenWork(*map(int, work)), float(pace), int(reading)
            )
            for name, (count, slots, work, pace, reading) in data["v"].items()
        },
        tuple(map(str, data["k"])),
    )
