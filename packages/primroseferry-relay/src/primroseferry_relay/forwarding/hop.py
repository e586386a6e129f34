"""The headers that gateways add to a forwarded request (a hop) and to the answer to it."""

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
from primroseferry_core.ids import WorkspaceId

if TYPE_CHECKING:
    from collections.abc import Mapping

HOP_HEADER = "X-Primroseferry-Hop"
OUTCOME_HEADER = "X-Primroseferry-Outcome"
VERSION_DETAIL = "version="
# Detail of a refusal by a gateway that has no endpoint for the request.
NO_ENDPOINT_DETAIL = "no endpoint is available in this region"
SATURATED_DETAIL = "all endpoints of this region are saturated"


class HopOutcome(Enum):
    """How an attempt ended at the gateway of the remote region.

    ``ANSWERED``: a complete answer was received. ``FAILED``: a complete answer reports a failure,
    and another endpoint may succeed. ``NOT_RUN``: an endpoint received the request and did not run
    it. ``REFUSED``: no endpoint received it. ``LOST``: the request may have run. ``DIED``: as
    ``LOST``, and the connection broke while the endpoint had the request.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not-run"
    REFUSED = "refused"
    LOST = "lost"
    DIED = "died"


@dataclass(frozen=True, slots=True)
class HopRequest:
    """One attempt that a gateway asks a gateway of another region to make.

    ``hop_id`` is unique for each attempt: the receiver does not run a second request with the same
    id. A restarted gateway no longer knows the ids that it received before, so a hop request is
    valid for the incarnation ``to_incarnation`` only.

    ``deadline_ms`` is the time in ms that remains when the request is sent. ``excluded`` are the
    endpoints that must not be tried. ``fingerprint`` identifies the request in the quarantine.
    ``trial`` is the quarantine trial that admits the request, empty for none. ``part_trials`` are
    those of parts of its prompt, as pairs of the part's key and the trial. ``is_resumable``: the
    stream may go on at another endpoint, of the software version ``version`` if it has begun, 0 for
    a new one. ``workspace`` is the caller's, empty for none; its API key is not sent. ``budget_ms``
    is the time to the first event with which a request is on time whose service decides by
    contention, 0 for none.
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
    part_trials: tuple[tuple[str, str], ...] = ()
    is_resumable: bool = False
    version: int = 0
    workspace: WorkspaceId = WorkspaceId("")
    budget_ms: int = 0

    def encode(self) -> str:
        """Return the value of the ``X-Primroseferry-Hop`` header as JSON."""
        return json.dumps(asdict(self), separators=(",", ":"))


def decode_hop_request(text: str) -> HopRequest | None:
    """Return the hop request in a header value, ``None`` if the value is malformed."""
    try:
        data: Mapping[str, object] = json.loads(text)
        return HopRequest(
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
            excluded=_decode_endpoints(data["excluded"]),
            fingerprint=Fingerprint(str(data.get("fingerprint", ""))),
            trial=str(data.get("trial", "")),
            part_trials=_decode_part_trials(data.get("part_trials", [])),
            is_resumable=bool(data.get("is_resumable", False)),
            version=int(str(data.get("version", 0))),
            workspace=WorkspaceId(str(data.get("workspace", ""))),
            budget_ms=int(str(data.get("budget_ms", 0))),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _decode_part_trials(value: object) -> tuple[tuple[str, str], ...]:
    if not isinstance(value, list):
        raise TypeError("the trials of parts are not a list")
    return tuple((str(key), str(trial)) for key, trial in value)


def _decode_endpoints(value: object) -> tuple[EndpointId, ...]:
    if not isinstance(value, list):
        raise TypeError("the excluded endpoints are not a list")
    return tuple(EndpointId(str(name)) for name in value)
