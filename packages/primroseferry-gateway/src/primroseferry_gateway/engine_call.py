"""One attempt of a streamed answer on one engine of this region."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_core.ids import RequestId
    from primroseferry_core.plans import Urgency
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import HttpResult

    from .answer_stream import AnswerStream
    from .fleet import Endpoint
    from .settings import GatewaySettings

DEATH_PROBE_TIMEOUT_MS = 500
DEADLINE_SLACK_S = 0.15
ENGINE_PRIORITIES = {"high": 2, "normal": 1, "low": 0}


@dataclass(frozen=True, slots=True)
class Completed:
    """The answer is whole."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection or read too slowly."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine refused the request itself; another engine would too."""

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt failed; another endpoint may go on. ``is_dead`` if the endpoint is gone."""

    reason: str
    is_dead: bool
    is_sent: bool


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The caller's deadline passed."""


AttemptOutcome = Completed | CallerGone | Refused | Broken | OutOfTime


def engine_body(request: dict[str, Any], urgency: Urgency) -> bytes:
    """Return the body that engines get: always streamed, with the plan's urgency as priority."""
    body = {**request, "stream": True, "priority": ENGINE_PRIORITIES[urgency.value]}
    return json.dumps(body, separators=(",", ":")).encode()


def run_on_engine(
    loop: CurlLoop,
    settings: GatewaySettings,
    endpoint: Endpoint,
    request_id: RequestId,
    body: bytes,
    stream: AnswerStream,
    remaining_ms: int,
) -> AttemptOutcome:
    """Stream one answer, or the rest of one, from an engine and wait for its end."""
    stream.start_attempt()
    headers = [
        Header("Content-Type", "application/json"),
        Header("X-Request-Id", request_id),
    ]
    if stream.last_event:
        headers.append(Header("Last-Event-ID", str(stream.last_event)))
    call = HttpCall(
        "POST",
        f"http://{endpoint.address}/v1/chat/completions",
        headers=tuple(headers),
        body=body,
        timeout_ms=remaining_ms,
        first_byte_timeout_ms=min(settings.first_token_timeout_ms, remaining_ms),
        idle_timeout_ms=settings.token_gap_timeout_ms,
        on_chunk=stream.feed,
    )
    deadline_s = time.monotonic() + remaining_ms / 1000
    result = loop.call(call)
    is_late = time.monotonic() >= deadline_s - DEADLINE_SLACK_S
    return _outcome(loop, endpoint, stream, result, is_late)


def _outcome(
    loop: CurlLoop,
    endpoint: Endpoint,
    stream: AnswerStream,
    result: HttpResult,
    is_late: bool,
) -> AttemptOutcome:
    if stream.is_caller_gone:
        return CallerGone()
    if stream.error is not None:
        return Broken(str(stream.error), is_dead=False, is_sent=True)
    if stream.is_done:
        return Completed()
    match result:
        case Ok(HttpReply(status=status)) if 400 <= status < 500 and status not in (408, 429):
            return Refused(status)
        case Ok(HttpReply(status=200)):
            return Broken("the stream ended early", _is_dead(loop, endpoint), is_sent=True)
        case Ok(reply):
            return Broken(f"status {reply.status}", is_dead=False, is_sent=True)
        case Err(failure) if failure.stage is FailureStage.NOT_SENT:
            return Broken(failure.reason, is_dead=True, is_sent=False)
        case Err(failure) if failure.stage is FailureStage.TIMED_OUT:
            return OutOfTime() if is_late else Broken(failure.reason, False, True)
        case Err(failure):
            return Broken(failure.reason, _is_dead(loop, endpoint), is_sent=True)
        case _:
            raise AssertionError("a result is an answer or a failure")


def _is_dead(loop: CurlLoop, endpoint: Endpoint) -> bool:
    """Ask the endpoint's port: an endpoint that crashed refuses the connection."""
    probe = HttpCall(
        "GET",
        f"http://{endpoint.address}/v1/load",
        connect_timeout_ms=DEATH_PROBE_TIMEOUT_MS,
        timeout_ms=DEATH_PROBE_TIMEOUT_MS,
        is_repeatable=False,
    )
    match loop.call(probe):
        case Err(failure):
            return failure.stage is FailureStage.NOT_SENT
        case _:
            return False
