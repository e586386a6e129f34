"""One call of a plain service on one endpoint of this region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_once.table import StoredAnswer
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.port_probe import PortState
from primroseferry_transport.port_probe import probe_port
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_core.ids import RequestId
    from primroseferry_transport.curl_loop import CurlLoop

    from .fleet import Endpoint


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's request. ``path`` includes the query; an empty key means that none was sent."""

    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The endpoint did not answer. ``is_sent`` is ``False`` only if it received nothing."""

    reason: str
    is_sent: bool


def call_service(
    loop: CurlLoop,
    endpoint: Endpoint,
    request_id: RequestId,
    request: ServiceRequest,
    timeout_ms: int,
    is_repeatable: bool,
) -> StoredAnswer | CallFailed:
    """Run one call and wait until it completes, fails or times out after ``timeout_ms``.

    An answer without a length or chunks ends with its connection. If the endpoint ended too, the
    answer was broken off.
    """
    headers = [Header("X-Request-Id", request_id)]
    if request.content_type:
        headers.append(Header("Content-Type", request.content_type))
    if request.idempotency_key:
        headers.append(Header("Idempotency-Key", request.idempotency_key))
    has_body = request.method in ("POST", "PUT", "PATCH") or bool(request.body)
    call = HttpCall(
        request.method,
        f"http://{endpoint.address}{request.path}",
        headers=tuple(headers),
        body=request.body if has_body else None,
        timeout_ms=max(1, timeout_ms),
        is_repeatable=is_repeatable,
    )
    match loop.call(call):
        case Ok(reply) if not reply.is_framed and (
            probe_port(endpoint.address) is PortState.REFUSED
        ):
            return CallFailed("the endpoint ended with its answer", is_sent=True)
        case Ok(reply):
            return StoredAnswer(reply.status, reply.headers.get("content-type", ""), reply.body)
        case Err(failure):
            return CallFailed(failure.reason, failure.stage is not FailureStage.NOT_SENT)
        case _:
            raise AssertionError("result is neither Ok nor Err")
