"""Client of the platform's list of instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import quote

from primroseferry_core.checked_json import JsonObject
from primroseferry_core.checked_json import MalformedJsonError
from primroseferry_core.events import Event
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok
from result import Result

from .key_value import Unreachable

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

LIST_TIMEOUT_MS = 2_000


class InstanceKind(Enum):
    """What runs on an instance."""

    GATEWAY = "gateway"
    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(Enum):
    """Whether the platform keeps the instance or is about to remove it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One row of the instance list.

    ``address`` (``ip:port``) serves HTTP. ``peer_address`` serves the protocol between gateways and
    is empty for endpoints. ``serves`` is the model or the service of an endpoint.
    """

    instance: InstanceId
    kind: InstanceKind
    state: InstanceState
    region: RegionId
    failure_domain: FailureDomainId
    address: str
    peer_address: str = ""
    serves: str = ""


class InstanceListClient:
    """Reads the instance list as it is visible in ``viewer_region``."""

    def __init__(self, loop: CurlLoop, address: str, viewer_region: RegionId) -> None:
        self._loop = loop
        self._url = f"http://{address}/v1/instances?viewer_region={quote(viewer_region, safe='')}"

    def fetch(self) -> Result[list[Instance], Unreachable]:
        """Return all listed instances; invalid rows are skipped."""
        answer = self._loop.call(HttpCall("GET", self._url, timeout_ms=LIST_TIMEOUT_MS))
        match answer:
            case Ok(HttpReply(status=200, body=body)):
                return _parse_list(body)
            case Ok(reply):
                return Err(Unreachable(f"status {reply.status}"))
            case Err(failure):
                return Err(Unreachable(failure.reason))


def _parse_list(body: bytes) -> Result[list[Instance], Unreachable]:
    try:
        rows = JsonObject.parse(body).items("instances")
    except MalformedJsonError as error:
        log_event(Event.PLATFORM_ANSWER_MALFORMED, source="instance list", reason=str(error))
        return Err(Unreachable(f"malformed list: {error}"))
    instances = []
    for row in rows:
        try:
            instances.append(_parse_row(JsonObject(row)))
        except ValueError as error:
            log_event(Event.PLATFORM_ANSWER_MALFORMED, source="instance list", reason=str(error))
    return Ok(instances)


def _parse_row(row: JsonObject) -> Instance:
    return Instance(
        instance=InstanceId(row.text("instance")),
        kind=InstanceKind(row.text("kind")),
        state=InstanceState(row.text("state")),
        region=RegionId(row.text("region")),
        failure_domain=FailureDomainId(row.text("failure_domain")),
        address=row.text("address"),
        peer_address=row.text("peer_address", ""),
        serves=row.text("serves", ""),
    )
