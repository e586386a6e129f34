"""Client of the platform's list of instances."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
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
        rows = json.loads(body)["instances"]
    except (ValueError, KeyError, TypeError):
        return Err(Unreachable("the list is not valid JSON"))
    instances = []
    for row in rows:
        try:
            instances.append(_parse_row(row))
        except (KeyError, ValueError, TypeError):
            continue
    return Ok(instances)


def _parse_row(row: dict[str, Any]) -> Instance:
    return Instance(
        instance=InstanceId(row["instance"]),
        kind=InstanceKind(row["kind"]),
        state=InstanceState(row["state"]),
        region=RegionId(row["region"]),
        failure_domain=FailureDomainId(row["failure_domain"]),
        address=row["address"],
        peer_address=row.get("peer_address", ""),
        serves=row.get("serves", ""),
    )
