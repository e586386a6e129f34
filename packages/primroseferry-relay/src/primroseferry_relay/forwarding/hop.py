"""What one gateway says to another beside the caller's request, and what it hears back."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import RequestId
from primroseferry_core.ids import ServiceId

if TYPE_CHECKING:
    from collections.abc import Mapping

HOP_HEADER = "X-Primroseferry-Hop"
OUTCOME_HEADER = "X-Primroseferry-Outcome"


class HopOutcome(Enum):
    """What the far gateway's answer is."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    REFUSED = "refused"
    LOST = "lost"
    DIED = "died"


@dataclass(frozen=True, slots=True)
class HopOrder:
    """One attempt that a gateway asks a gateway of another region to make.

    ``hop_id`` is new for each attempt: a copy of it that arrives later is not run. A gateway that
    restarted does not know which it has seen, so an order holds for one incarnation only.
    ``deadline_ms`` is what is left when it is sent, ``fingerprint`` what the request is known by,
    ``trial`` the trial that it is admitted to, empty for none.
    """

    hop_id: str
    to_incarnation: IncarnationId
    entry_region: RegionId
    request_id: RequestId
    service: ServiceId
    deadline_ms: int
    priority: int
    is_stream: bool
    is_repeatable: bool
    last_event_id: str
    excluded: tuple[EndpointId, ...]
    fingerprint: Fingerprint = Fingerprint("")
    trial: str = ""

    def encode(self) -> str:
        """Return the value of the header."""
        return json.dumps(asdict(self), separators=(",", ":"))


def decode_hop(text: str) -> HopOrder | None:
    """Return the order that a header's value holds, ``None`` where it holds none."""
    try:
        data: Mapping[str, object] = json.loads(text)
        return HopOrder(
            hop_id=str(data["hop_id"]),
            to_incarnation=IncarnationId(str(data["to_incarnation"])),
            entry_region=RegionId(str(data["entry_region"])),
            request_id=RequestId(str(data["request_id"])),
            service=ServiceId(str(data["service"])),
            deadline_ms=int(str(data["deadline_ms"])),
            priority=int(str(data["priority"])),
            is_stream=bool(data["is_stream"]),
            is_repeatable=bool(data["is_repeatable"]),
            last_event_id=str(data["last_event_id"]),
            excluded=_names(data["excluded"]),
            fingerprint=Fingerprint(str(data.get("fingerprint", ""))),
            trial=str(data.get("trial", "")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _names(value: object) -> tuple[EndpointId, ...]:
    if not isinstance(value, list):
        raise TypeError("a list of endpoints was expected")
    return tuple(EndpointId(str(name)) for name in value)
