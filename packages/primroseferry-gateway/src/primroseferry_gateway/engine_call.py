"""One attempt to stream an answer from one engine of this region."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.plans import Urgency
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RequestId
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import HttpResult

    from .answer_stream import AnswerStream
    from .fleet import Endpoint
    from .settings import GatewaySettings

LIVENESS_PROBE_TIMEOUT_MS = 500
# A probe whose connection is dropped without an answer is repeated after the pause, up to this
# number of probes in all.
MAX_LIVENESS_PROBES = 5
LIVENESS_PROBE_PAUSE_S = 0.05
# After this number of probes that time out, the endpoint counts as slow and not as crashed.
MAX_UNANSWERED_PROBES = 3
DEADLINE_SLACK_S = 0.15
ENGINE_PRIORITIES = {Urgency.HIGH: 2, Urgency.NORMAL: 1, Urgency.LOW: 0}
AGED_PRIORITY = 3
MAX_QUEUE_WAIT_MS = 2_000


@dataclass(frozen=True, slots=True)
class Completed:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller disconnected or read too slowly."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine rejected the request itself; other engines would too.

    ``status`` is a 4xx status other than 408 and 429.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The attempt failed, and another endpoint may continue the answer.

    ``is_endpoint_crashed`` if the endpoint crashed; ``is_sent`` unless the request cannot have
    reached it.
    """

    reason: str
    is_endpoint_crashed: bool
    is_sent: bool


@dataclass(frozen=True, slots=True)
class OutOfTime:
    """The deadline passed before the answer was complete."""


AttemptOutcome = Completed | CallerGone | Refused | Broken | OutOfTime


@dataclass(frozen=True, slots=True)
class EngineBody:
    """A request body as sent to engines: always streamed, with the plan's urgency as priority.

    ``aged`` has a priority above that of every plan. It is sent in place of ``first`` when a
    request has been queued for too long, so that urgent plans cannot starve the others.
    """

    first: bytes
    aged: bytes


def engine_body(request: dict[str, Any], urgency: Urgency) -> EngineBody:
    """Return the bodies that are sent to engines for one request."""
    return EngineBody(
        first=_body_with_priority(request, ENGINE_PRIORITIES[urgency]),
        aged=_body_with_priority(request, AGED_PRIORITY),
    )


def _body_with_priority(request: dict[str, Any], priority: int) -> bytes:
    body = {**request, "stream": True, "priority": priority}
    return json.dumps(body, separators=(",", ":")).encode()


def run_on_engine(
    loop: CurlLoop,
    settings: GatewaySettings,
    endpoint: Endpoint,
    request_id: RequestId,
    body: EngineBody,
    stream: AnswerStream,
    remaining_ms: int,
    on_progress: Callable[[], None],
) -> AttemptOutcome:
    """Stream one answer, or the rest of one, from an engine and wait until it ends.

    A request without a first token after ``MAX_QUEUE_WAIT_MS`` is sent to the engine again as
    ``body.aged``. ``on_progress`` is called with the first event that an attempt adds.
    """
    deadline_s = time.monotonic() + remaining_ms / 1000
    before = stream.last_event
    stream.start_attempt(on_progress)
    call = _call(settings, endpoint, request_id, body.first, stream, remaining_ms)
    if min(settings.first_token_timeout_ms, remaining_ms) > MAX_QUEUE_WAIT_MS:
        call = replace(call, first_byte_timeout_ms=MAX_QUEUE_WAIT_MS)
        result = loop.call(call)
        if stream.last_event > before or not _timed_out(result):
            return _outcome(loop, endpoint, stream, result, deadline_s)
        stream.start_attempt(on_progress)
        left_ms = max(1, int((deadline_s - time.monotonic()) * 1000))
        call = _call(settings, endpoint, request_id, body.aged, stream, left_ms)
    return _outcome(loop, endpoint, stream, loop.call(call), deadline_s)


def _timed_out(result: HttpResult) -> bool:
    match result:
        case Err(failure):
            return failure.stage is FailureStage.TIMED_OUT
        case _:
            return False


def _call(
    settings: GatewaySettings,
    endpoint: Endpoint,
    request_id: RequestId,
    body: bytes,
    stream: AnswerStream,
    remaining_ms: int,
) -> HttpCall:
    headers = [
        Header("Content-Type", "application/json"),
        Header("X-Request-Id", request_id),
    ]
    if stream.last_event:
        headers.append(Header("Last-Event-ID", str(stream.last_event)))
    return HttpCall(
        "POST",
        f"http://{endpoint.address}/v1/chat/completions",
        headers=tuple(headers),
        body=body,
        timeout_ms=remaining_ms,
        first_byte_timeout_ms=min(settings.first_token_timeout_ms, remaining_ms),
        idle_timeout_ms=settings.token_gap_timeout_ms,
        on_chunk=stream.feed,
    )


def _outcome(
    loop: CurlLoop,
    endpoint: Endpoint,
    stream: AnswerStream,
    result: HttpResult,
    deadline_s: float,
) -> AttemptOutcome:
    is_late = time.monotonic() >= deadline_s - DEADLINE_SLACK_S
    if stream.is_caller_disconnected:
        return CallerGone()
    if stream.error is not None:
        return Broken(str(stream.error), is_endpoint_crashed=False, is_sent=True)
    if stream.is_done:
        return Completed()
    match result:
        case Ok(HttpReply(status=status)) if 400 <= status < 500 and status not in (408, 429):
            return Refused(status)
        case Ok(HttpReply(status=200)):
            return Broken("the stream ended early", _has_crashed(loop, endpoint), is_sent=True)
        case Ok(reply):
            return Broken(f"status {reply.status}", is_endpoint_crashed=False, is_sent=True)
        case Err(failure) if failure.stage is FailureStage.NOT_SENT:
            return Broken(failure.reason, is_endpoint_crashed=True, is_sent=False)
        case Err(failure) if failure.stage is FailureStage.TIMED_OUT:
            return OutOfTime() if is_late else Broken(failure.reason, False, True)
        case Err(failure) if failure.stage is FailureStage.INVALID_ANSWER:
            return Broken(failure.reason, is_endpoint_crashed=False, is_sent=True)
        case Err(failure):
            return Broken(failure.reason, _has_crashed(loop, endpoint), is_sent=True)
        case _:
            raise AssertionError("a result is an answer or a failure")


def _has_crashed(loop: CurlLoop, endpoint: Endpoint) -> bool:
    """Probe the endpoint's port: a crashed endpoint refuses the connection.

    While a process exits, the kernel still accepts connections for it and drops them unanswered
    once it has exited, which takes a while on a busy instance. A probe that is dropped or times out
    is therefore repeated until the endpoint answers or refuses the connection. An endpoint that
    does neither within the permitted number of probes counts as live.
    """
    probe = HttpCall(
        "GET",
        f"http://{endpoint.address}/v1/load",
        connect_timeout_ms=LIVENESS_PROBE_TIMEOUT_MS,
        timeout_ms=LIVENESS_PROBE_TIMEOUT_MS,
        is_repeatable=False,
    )
    unanswered = 0
    for _ in range(MAX_LIVENESS_PROBES):
        match loop.call(probe):
            case Err(failure) if failure.stage is FailureStage.TIMED_OUT:
                unanswered += 1
                if unanswered == MAX_UNANSWERED_PROBES:
                    return False
            case Err(failure) if failure.stage is FailureStage.CONNECTION_LOST:
                time.sleep(LIVENESS_PROBE_PAUSE_S)
            case Err(failure):
                return failure.stage is FailureStage.NOT_SENT
            case _:
                return False
    return False
