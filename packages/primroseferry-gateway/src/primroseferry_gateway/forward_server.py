"""Serves requests that other gateways forward.

Before it sends a request to an endpoint, the receiver checks it against its own plans: the region
is permitted, the request comes from its entry region, and it has not visited this region before.
"""

from __future__ import annotations

import json
import time
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import RequestId
from primroseferry_core.ids import ServiceId
from primroseferry_core.logs import log_event
from primroseferry_peers.proto.peer_pb2 import CHAT
from primroseferry_peers.proto.peer_pb2 import SERVICE_DISPATCH
from primroseferry_peers.proto.peer_pb2 import SERVICE_IDEMPOTENT
from primroseferry_peers.proto.peer_pb2 import SERVICE_OWNER
from primroseferry_peers.proto.peer_pb2 import ForwardEnd
from primroseferry_peers.proto.peer_pb2 import ForwardEvent
from primroseferry_peers.proto.peer_pb2 import ForwardHead
from primroseferry_peers.proto.peer_pb2 import ForwardRequest

from .answer_stream import AnswerStream
from .chat import ChatRequest
from .forward_client import problem_to_message
from .peer_sink import PeerSink
from .request_context import RequestContext
from .service_call import ServiceRequest
from .work_estimates import chat_demand
from .work_estimates import service_demand

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

    from primroseferry_core.plans import Operation
    from primroseferry_core.plans import PlanUse
    from primroseferry_once.table import StoredAnswer

    from .at_most_once import AtMostOnceService
    from .chat import ChatService
    from .decisions import DecisionLog
    from .operation_dispatch import OperationDispatcher
    from .plan_manager import PlanManager
    from .services import ServiceCalls
    from .work_gate import WorkGate

MAX_FORWARD_THREADS = 512


class ForwardServer:
    """Runs each forwarded request in a thread pool."""

    def __init__(
        self,
        region: RegionId,
        plans: PlanManager,
        gate: WorkGate,
        decisions: DecisionLog,
        chat: ChatService,
        services: ServiceCalls,
        at_most_once: AtMostOnceService,
        dispatcher: OperationDispatcher,
    ) -> None:
        self._region = region
        self._plans = plans
        self._gate = gate
        self._decisions = decisions
        self._chat = chat
        self._services = services
        self._at_most_once = at_most_once
        self._dispatcher = dispatcher
        self._pool = ThreadPoolExecutor(MAX_FORWARD_THREADS, "forward")

    async def serve(
        self, request: ForwardRequest, loop: asyncio.AbstractEventLoop
    ) -> AsyncIterator[ForwardEvent]:
        """Answer one forwarded request with a head, chunks, and an end or a problem event."""
        sink = PeerSink(loop)
        yield ForwardEvent(head=ForwardHead())
        serving = self._pool.submit(self._serve_checked, request, sink)
        serving.add_done_callback(lambda _done: sink.wake())
        try:
            async for event in self._relay(serving, sink):
                yield event
        finally:
            sink.is_abandoned = True

    async def _relay(
        self, serving: Future[StoredAnswer | AnswerStream | Problem], sink: PeerSink
    ) -> AsyncIterator[ForwardEvent]:
        is_finished = False
        while not is_finished:
            is_finished = serving.done()
            if not is_finished:
                data = await sink.take_pending()
            else:
                sink.wake()
                data = await sink.take_pending()
            if data:
                yield ForwardEvent(chunk=data)
        match serving.result():
            case Problem() as problem:
                yield ForwardEvent(problem=problem_to_message(problem))
            case AnswerStream() as stream:
                yield ForwardEvent(end=ForwardEnd(events=stream.delivered))
            case answer:
                head = ForwardHead(status=answer.status, content_type=answer.content_type)
                yield ForwardEvent(head=head)
                if answer.body:
                    yield ForwardEvent(chunk=answer.body)
                yield ForwardEvent(end=ForwardEnd())

    def _serve_checked(
        self, request: ForwardRequest, sink: PeerSink
    ) -> StoredAnswer | AnswerStream | Problem:
        try:
            with self._gate.enter(is_for_owned_key=request.purpose == SERVICE_OWNER):
                return self._serve(request, sink)
        except ProblemError as error:
            log_event(
                Event.FORWARD_REFUSED,
                request_id=request.request_id,
                kind=error.problem.kind.value,
                reason=error.problem.detail,
            )
            return error.problem
        except Exception as error:
            log_event(
                Event.REQUEST_CRASHED, request_id=request.request_id, error=type(error).__name__
            )
            return Problem(ErrorKind.INTERNAL, "the gateway failed to serve the forwarded request")

    def _serve(self, request: ForwardRequest, sink: PeerSink) -> StoredAnswer | AnswerStream:
        context = self._context(request)
        if request.purpose == CHAT:
            return self._serve_chat(context, request, sink)
        demand = service_demand(request.target)
        call = ServiceRequest(
            request.method,
            request.path,
            request.content_type,
            request.body,
            request.idempotency_key,
        )
        operation = self._operation(context.plan, request)
        match request.purpose:
            case purpose if purpose == SERVICE_IDEMPOTENT:
                return self._services.serve_idempotent(context, demand, call)
            case purpose if purpose == SERVICE_DISPATCH:
                return self._dispatcher.dispatch_for_owner(context, demand, call)
            case purpose if purpose == SERVICE_OWNER:
                if not self._at_most_once.owns(IncarnationId(request.owner_incarnation)):
                    raise problem_error(
                        ErrorKind.OUTCOME_UNKNOWN, "this gateway does not own the idempotency key"
                    )
                return self._at_most_once.serve_as_owner(context, demand, operation, call)
        raise problem_error(ErrorKind.BAD_REQUEST, f"unknown purpose {request.purpose}")

    def _serve_chat(
        self, context: RequestContext, request: ForwardRequest, sink: PeerSink
    ) -> AnswerStream:
        body = json.loads(request.body)
        if context.plan.find_model(body["model"]) is None:
            raise problem_error(
                ErrorKind.NOT_PERMITTED, f"plan {context.plan.plan} may not use {body['model']}"
            )
        chat = ChatRequest(body, chat_demand(context.customer, body))
        stream = AnswerStream(sink, first_event=request.events_delivered + 1)
        self._chat.serve(context, chat, stream)
        return stream

    def _operation(self, plan: PlanUse, request: ForwardRequest) -> Operation:
        use = plan.find_service(ServiceId(request.target))
        path = request.path.partition("?")[0]
        operation = use.find_operation(request.method, path) if use is not None else None
        if operation is None:
            raise problem_error(
                ErrorKind.UNKNOWN_OPERATION,
                f"plan {plan.plan} declares no {request.method} {path} of {request.target}",
            )
        return operation

    def _context(self, request: ForwardRequest) -> RequestContext:
        document = self._plans.document
        plan = document.plan_of(CustomerId(request.customer))
        if plan is None:
            raise problem_error(ErrorKind.NO_PLAN, f"customer {request.customer} has no plan here")
        visited = tuple(RegionId(region) for region in request.visited_regions)
        self._reject_loop(request, visited)
        trace = self._decisions.open(RequestId(request.request_id), request.target)
        trace.note("received", f"from region {visited[-1]}")
        context = RequestContext(
            request_id=RequestId(request.request_id),
            customer=CustomerId(request.customer),
            plan=plan,
            plans_revision=document.revision,
            entry_region=RegionId(request.entry_region),
            own_region=self._region,
            deadline_s=time.monotonic() + request.remaining_ms / 1000,
            fingerprint=Fingerprint(request.fingerprint),
            trace=trace,
            visited_regions=() if self._is_same_region(request) else visited,
        )
        context.check_region()
        return context

    def _is_same_region(self, request: ForwardRequest) -> bool:
        """Whether the request was forwarded to a key's owner within its entry region.

        Such a hop does not count as a hop between regions.
        """
        return request.purpose == SERVICE_OWNER and request.entry_region == self._region

    def _reject_loop(self, request: ForwardRequest, visited: tuple[RegionId, ...]) -> None:
        if self._is_same_region(request) and visited == (self._region,):
            return
        if self._region in visited or visited != (RegionId(request.entry_region),):
            raise problem_error(
                ErrorKind.REGION_LOOP,
                f"the request reached {self._region} through {', '.join(visited) or 'no region'}; "
                f"only its entry region {request.entry_region} may forward it, once",
            )
