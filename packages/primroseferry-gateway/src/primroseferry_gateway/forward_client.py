"""Forwards requests to a gateway of another region or to the owner of an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_once.table import StoredAnswer
from primroseferry_peers.peer_client import ForwardTimeouts
from primroseferry_peers.peer_client import PeerError
from primroseferry_peers.proto.peer_pb2 import CHAT
from primroseferry_peers.proto.peer_pb2 import ForwardEvent
from primroseferry_peers.proto.peer_pb2 import ForwardProblem
from primroseferry_peers.proto.peer_pb2 import ForwardRequest

from .engine_call import Broken
from .engine_call import CallerGone
from .engine_call import Completed
from .engine_call import OutOfTime

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_peers.exchanger import PeerAddress
    from primroseferry_peers.loop_thread import LoopThread
    from primroseferry_peers.peer_client import PeerClient

    from .answer_stream import AnswerStream
    from .engine_call import AttemptOutcome
    from .request_context import RequestContext
    from .service_call import ServiceRequest
    from .settings import GatewaySettings
    from .targets import Demand

ACCEPT_TIMEOUT_S = 1.5
# Added to the time-outs that the peer applies itself.
TIMEOUT_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class ForwardPayload:
    """The fields of a forwarded request that its ``RequestContext`` does not hold."""

    purpose: int
    target: str
    body: bytes
    method: str = "POST"
    path: str = ""
    content_type: str = ""
    idempotency_key: str = ""
    owner_incarnation: str = ""


def service_payload(purpose: int, demand: Demand, request: ServiceRequest) -> ForwardPayload:
    """Return the payload of one call of a plain service."""
    return ForwardPayload(
        purpose,
        demand.serves,
        request.body,
        request.method,
        request.path,
        request.content_type,
        request.idempotency_key,
    )


@dataclass(frozen=True, slots=True)
class Answered:
    """The peer returned the service's answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class PeerProblem:
    """The peer answered with a problem."""

    problem: Problem


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """The call ended without an answer or a problem.

    ``is_sent`` is ``False`` only if the peer cannot have received the request.
    """

    reason: str
    is_sent: bool


class ForwardClient:
    """Forwards requests over the peer protocol and waits for their outcome."""

    def __init__(self, peers: PeerClient, loop: LoopThread, settings: GatewaySettings) -> None:
        self._peers = peers
        self._loop = loop
        self._settings = settings

    def stream_chat(
        self,
        peer: PeerAddress,
        context: RequestContext,
        payload: ForwardPayload,
        stream: AnswerStream,
        on_progress: Callable[[], None],
    ) -> AttemptOutcome | PeerProblem:
        """Stream a chat answer from a peer, or the rest of one that ``stream`` has begun."""
        stream.start_attempt(on_progress)
        request = self._request(peer, context, payload)
        request.events_delivered = stream.last_event
        problems: list[Problem] = []

        def on_event(event: ForwardEvent) -> bool:
            match event.WhichOneof("event"):
                case "chunk":
                    return stream.feed(event.chunk)
                case "end":
                    stream.is_done = True
                case "problem":
                    problems.append(_problem_from_message(event.problem))
            return True

        failure = self._run(peer, request, on_event)
        if stream.is_caller_disconnected:
            return CallerGone()
        if stream.error is not None:
            return Broken(str(stream.error), is_endpoint_crashed=False, is_sent=True)
        if stream.is_done:
            return Completed()
        if problems:
            return PeerProblem(problems[0])
        if context.remaining_ms == 0:
            return OutOfTime()
        reason = failure.reason if failure is not None else "the peer closed without an end event"
        return Broken(reason, is_endpoint_crashed=False, is_sent=failure is None or failure.is_sent)

    def call_service(
        self, peer: PeerAddress, context: RequestContext, payload: ForwardPayload
    ) -> Answered | PeerProblem | PeerFailed:
        """Run one call of a service through the peer, in the role that its purpose names."""
        outcome: list[Answered | PeerProblem] = []
        head: list[tuple[int, str]] = []
        body = bytearray()

        def on_event(event: ForwardEvent) -> bool:
            match event.WhichOneof("event"):
                case "head" if event.head.status:
                    head.append((event.head.status, event.head.content_type))
                case "chunk":
                    body.extend(event.chunk)
                case "end" if head:
                    status, content_type = head[0]
                    outcome.append(Answered(StoredAnswer(status, content_type, bytes(body))))
                case "problem":
                    outcome.append(PeerProblem(_problem_from_message(event.problem)))
            return True

        failure = self._run(peer, self._request(peer, context, payload), on_event)
        if outcome:
            return outcome[0]
        return failure or PeerFailed("the peer closed without an end event", is_sent=True)

    def _run(
        self, peer: PeerAddress, request: ForwardRequest, on_event: Callable[[ForwardEvent], bool]
    ) -> PeerFailed | None:
        is_chat = request.purpose == CHAT
        first_chunk_s = self._settings.first_token_timeout_ms / 1000 + TIMEOUT_MARGIN_S
        gap_s = self._settings.token_gap_timeout_ms / 1000 + TIMEOUT_MARGIN_S
        timeouts = ForwardTimeouts(
            head_s=ACCEPT_TIMEOUT_S,
            first_chunk_s=(
                first_chunk_s if is_chat else request.remaining_ms / 1000 + TIMEOUT_MARGIN_S
            ),
            gap_s=gap_s,
        )
        call = self._peers.forward(peer.address, request, on_event, timeouts)
        try:
            self._loop.submit(call).result()
        except PeerError as error:
            return PeerFailed(str(error), error.is_sent)
        return None

    def _request(
        self, peer: PeerAddress, context: RequestContext, payload: ForwardPayload
    ) -> ForwardRequest:
        if peer.region != context.own_region:
            log_event(
                Event.REQUEST_FORWARDED,
                request_id=context.request_id,
                from_region=context.own_region,
                to_region=peer.region,
            )
        return ForwardRequest(
            request_id=context.request_id,
            purpose=payload.purpose,  # type: ignore[arg-type]
            customer=context.customer,
            plans_revision=context.plans_revision,
            entry_region=context.entry_region,
            visited_regions=[*context.visited_regions, context.own_region],
            target=payload.target,
            fingerprint=context.fingerprint,
            method=payload.method,
            path=payload.path,
            content_type=payload.content_type,
            body=payload.body,
            idempotency_key=payload.idempotency_key,
            owner_incarnation=payload.owner_incarnation,
            remaining_ms=max(1, context.remaining_ms),
            excluded_endpoints=sorted(context.excluded_endpoints),
        )


def problem_to_message(problem: Problem) -> ForwardProblem:
    """Convert a problem to its message in the peer protocol."""
    return ForwardProblem(
        kind=problem.kind.value,
        detail=problem.detail,
        retry_after_s=problem.effective_retry_after_s or 0,
        is_ran_unknown=problem.is_ran_unknown,
    )


def _problem_from_message(message: ForwardProblem) -> Problem:
    retry_after_s = message.retry_after_s or None
    try:
        kind = ErrorKind(message.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return Problem(kind, message.detail, retry_after_s, message.is_ran_unknown)
