"""The routes that callers and operators use."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.hashing import fingerprint_of
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import ModelId
from primroseferry_core.ids import RequestId
from primroseferry_core.ids import ServiceId
from primroseferry_core.ids import new_request_id
from primroseferry_core.logs import log_event
from primroseferry_core.plans import Execution
from primroseferry_policy.capacity import CapacityKey
from primroseferry_policy.capacity import local_share
from primroseferry_transport.hang_up import watch_hang_up
from primroseferry_transport.router import Router
from primroseferry_transport.serving import problem_response
from primroseferry_transport.serving import response_bytes
from primroseferry_transport.socket_writer import SocketWriter
from werkzeug.wrappers import Response

from .answer_stream import AnswerStream
from .chat import ChatRequest
from .request_context import RequestContext
from .request_parsing import bearer_token
from .request_parsing import needed_within_ms
from .request_parsing import parse_chat_body
from .service_call import ServiceRequest
from .sinks import CollectSink
from .sinks import HttpStreamSink
from .work_estimates import chat_demand
from .work_estimates import service_demand

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.plans import Operation
    from primroseferry_core.plans import PlanUse
    from primroseferry_once.table import StoredAnswer
    from primroseferry_platform.client_directory import Client
    from primroseferry_platform.client_directory import ClientDirectory
    from primroseferry_policy.capacity import PlanCapacity
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.serving import Exchange

    from .chat import ChatService
    from .decisions import DecisionLog
    from .entry import EntryDirectory
    from .fleet import FleetView
    from .metrics import Metrics
    from .orders import OrderService
    from .plan_keeper import PlanKeeper
    from .services import ServiceCalls
    from .settings import GatewaySettings
    from .state import StateDump
    from .work_gate import WorkGate


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request, under which plan."""

    client: Client
    plan: PlanUse
    plans_revision: int


class HttpApi:
    """Turns HTTP requests into calls of the gateway's services."""

    def __init__(
        self,
        settings: GatewaySettings,
        loop: CurlLoop,
        clients: ClientDirectory,
        fleet: FleetView,
        plans: PlanKeeper,
        gate: WorkGate,
        capacity: PlanCapacity,
        entry: EntryDirectory,
        decisions: DecisionLog,
        chat: ChatService,
        services: ServiceCalls,
        orders: OrderService,
        metrics: Metrics,
        state: StateDump,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._clients = clients
        self._fleet = fleet
        self._plans = plans
        self._gate = gate
        self._capacity = capacity
        self._entry = entry
        self._decisions = decisions
        self._chat = chat
        self._services = services
        self._orders = orders
        self._metrics = metrics
        self._state = state

    def router(self) -> Router:
        """Return the routes."""
        router = Router()
        router.add("GET", "/v1/entry", self._serve_entry)
        router.add("POST", "/v1/chat/completions", self._serve_chat)
        router.add("*", "/v1/services/<service>/<path:path>", self._serve_service)
        router.add("GET", "/healthz", lambda exchange: _text("ok\n"))
        router.add("GET", "/readyz", self._serve_ready)
        router.add("GET", "/metrics", self._serve_metrics)
        router.add("GET", "/v1/state", self._serve_state)
        router.add("GET", "/v1/state/requests/<request_id>", self._serve_trace)
        return router

    def _serve_entry(self, exchange: Exchange) -> Response:
        caller = self._identify(exchange)
        return _json(self._entry.describe(caller.client, caller.plan))

    def _serve_ready(self, exchange: Exchange) -> Response:
        if self._gate.is_closed:
            return problem_response(
                problem_error(ErrorKind.GATEWAY_DRAINING, "graceful shutdown").problem
            )
        if not self._plans.is_loaded:
            return problem_response(
                problem_error(ErrorKind.GATEWAY_NOT_READY, "no plans held yet").problem
            )
        return _text("ready\n")

    def _serve_metrics(self, exchange: Exchange) -> Response:
        self._state.update_metrics()
        content, headers = self._metrics.render(exchange.request.headers.getlist("Accept"))
        return Response(content, headers=headers)

    def _serve_state(self, exchange: Exchange) -> Response:
        log_event(Event.STATE_DUMPED)
        return _json(self._state.dump())

    def _serve_trace(self, exchange: Exchange, request_id: str) -> Response:
        trace = self._decisions.find(RequestId(request_id))
        if trace is None:
            raise problem_error(
                ErrorKind.UNKNOWN_PATH,
                f"this gateway keeps no decisions for request {request_id[:80]}; ask the gateway "
                "that answered it",
            )
        return _json(asdict(trace))

    def _serve_chat(self, exchange: Exchange) -> Response | None:
        request_id = new_request_id()

        def serve() -> Response | None:
            caller = self._identify(exchange)
            timeout_ms = needed_within_ms(exchange.request, self._settings.default_chat_timeout_ms)
            body = parse_chat_body(exchange.read_body())
            model = ModelId(body["model"])
            use = caller.plan.find_model(model)
            if use is None:
                raise self._unknown_model(caller, model)
            chat = ChatRequest(body, chat_demand(caller.client.customer, body))
            content = json.dumps(body, sort_keys=True).encode()
            context = self._context(request_id, caller, str(model), content, timeout_ms)
            share = self._share(caller.plan, use.max_open_requests)
            with self._capacity.hold(CapacityKey(caller.plan.plan, model), share):
                if body.get("stream", False):
                    return self._stream_chat(exchange, context, chat)
                return self._collect_chat(exchange, context, chat)

        return self._answer(request_id, "chat", serve)

    def _stream_chat(
        self, exchange: Exchange, context: RequestContext, chat: ChatRequest
    ) -> Response | None:
        writer = SocketWriter(exchange.take_connection(), self._loop)
        sink = HttpStreamSink(writer, context.request_id, exchange.is_chunking_understood())
        stream = AnswerStream(sink)
        try:
            with watch_hang_up(self._loop, exchange.connection, writer.give_up):
                is_answered = self._chat.serve(context, chat, stream)
        except ProblemError as error:
            if sink.is_started:
                sink.fail(error.problem)
            else:
                writer.write(response_bytes(problem_response(error.problem, context.request_id)))
                writer.wait_flushed(1.0)
            raise
        if not is_answered or not sink.finish(stream):
            event = Event.CALLER_TOO_SLOW if writer.is_too_slow else Event.CALLER_GONE
            log_event(event, request_id=context.request_id)
        return None

    def _collect_chat(
        self, exchange: Exchange, context: RequestContext, chat: ChatRequest
    ) -> Response | None:
        sink = CollectSink()
        stream = AnswerStream(sink)
        with watch_hang_up(self._loop, exchange.connection, sink.abandon):
            is_answered = self._chat.serve(context, chat, stream)
        if not is_answered:
            exchange.take_connection()
            log_event(Event.CALLER_GONE, request_id=context.request_id)
            return None
        text, reason = sink.text_and_reason()
        answer = {
            "id": f"chatcmpl-{context.request_id}",
            "object": "chat.completion",
            "model": chat.body["model"],
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": reason,
                }
            ],
            "usage": {"completion_tokens": stream.delivered},
            "primroseferry": {
                "request_id": context.request_id,
                "events": stream.delivered,
                "crc32": stream.checksum,
            },
        }
        response = _json(answer)
        response.headers["X-Request-Id"] = context.request_id
        return response

    def _serve_service(self, exchange: Exchange, service: str, path: str) -> Response | None:
        request_id = new_request_id()

        def serve() -> Response:
            caller = self._identify(exchange)
            method = exchange.request.method
            operation = self._find_operation(caller, ServiceId(service), method, f"/{path}")
            query = exchange.request.query_string.decode("latin-1")
            request = ServiceRequest(
                method=method,
                path=f"/{path}?{query}" if query else f"/{path}",
                content_type=exchange.request.content_type or "",
                body=exchange.read_body(),
                idempotency_key=exchange.request.headers.get("Idempotency-Key", ""),
            )
            return self._call_service(exchange, request_id, caller, service, operation, request)

        return self._answer(request_id, "service", serve)

    def _call_service(
        self,
        exchange: Exchange,
        request_id: RequestId,
        caller: Caller,
        service: str,
        operation: Operation,
        request: ServiceRequest,
    ) -> Response:
        timeout_ms = needed_within_ms(exchange.request, self._settings.default_service_timeout_ms)
        content = f"{request.method} {request.path}\0".encode() + request.body
        context = self._context(request_id, caller, service, content, timeout_ms)
        use = caller.plan.find_service(ServiceId(service))
        limit = self._share(caller.plan, use.max_open_requests) if use is not None else 0
        demand = service_demand(service)
        is_once = operation.execution is Execution.AT_MOST_ONCE
        if is_once and not request.idempotency_key:
            raise problem_error(
                ErrorKind.KEY_REQUIRED,
                f"{operation.method} {operation.path} runs at most once; send an Idempotency-Key, "
                "best with the prefix that GET /v1/entry gives",
            )
        try:
            with self._capacity.hold(CapacityKey(caller.plan.plan, service), limit):
                if is_once:
                    answer = self._orders.serve(context, demand, operation, request)
                else:
                    answer = self._services.serve_idempotent(context, demand, request)
        except ProblemError as error:
            if is_once and error.problem.kind is ErrorKind.OVER_CAPACITY:
                raise ProblemError(error.problem.without_proof()) from error
            raise
        return _service_response(answer, request_id)

    def _answer(
        self, request_id: RequestId, kind: str, serve: Callable[[], Response | None]
    ) -> Response | None:
        """Run one request through the gate, count it and log its end."""
        began_s = time.monotonic()
        outcome = "answered"
        try:
            with self._gate.enter():
                if not self._plans.is_loaded:
                    raise problem_error(ErrorKind.GATEWAY_NOT_READY, "no plans held yet")
                return serve()
        except ProblemError as error:
            outcome = error.problem.kind.value
            log_event(
                Event.REQUEST_REFUSED,
                request_id=request_id,
                kind=outcome,
                ran=error.problem.ran.value,
                reason=error.problem.detail,
            )
            return problem_response(error.problem, request_id)
        finally:
            elapsed_s = time.monotonic() - began_s
            self._metrics.count_request(kind, outcome)
            if outcome == "answered":
                self._metrics.observe_answer(kind, elapsed_s)
                elapsed_ms = round(elapsed_s * 1000, 1)
                log_event(Event.REQUEST_DONE, request_id=request_id, elapsed_ms=elapsed_ms)

    def _identify(self, exchange: Exchange) -> Caller:
        client = self._clients.authenticate(bearer_token(exchange.request))
        document = self._plans.document
        plan = document.plan_of(client.customer)
        if plan is None:
            raise problem_error(
                ErrorKind.NO_PLAN, f"customer {client.customer} is in no row of the list customers"
            )
        return Caller(client, plan, document.revision)

    def _context(
        self, request_id: RequestId, caller: Caller, target: str, content: bytes, timeout_ms: int
    ) -> RequestContext:
        customer = caller.client.customer
        trace = self._decisions.open(request_id, target)
        trace.note("entered", f"customer {customer}, plan {caller.plan.plan}")
        return RequestContext(
            request_id=request_id,
            customer=customer,
            plan=caller.plan,
            plans_revision=caller.plans_revision,
            entry_region=self._settings.region,
            here=self._settings.region,
            deadline_s=time.monotonic() + timeout_ms / 1000,
            fingerprint=Fingerprint(fingerprint_of(customer, target, content)),
            trace=trace,
        )

    def _share(self, plan: PlanUse, max_open_requests: int) -> int:
        """Return this gateway's share of a capacity; the shares of all entries add up to it.

        The instance list decides and not who is believed live, so that both sides of a cut keep to
        the shares they had.
        """
        names = self._fleet.entry_instances(plan.regions)
        me = self._settings.instance
        if me not in names:
            # Refused as outside the plan's regions, with that reason, further on.
            return max_open_requests
        return local_share(max_open_requests, names.index(me), len(names))

    def _unknown_model(self, caller: Caller, model: ModelId) -> ProblemError:
        is_known = any(use.find_model(model) for use in self._plans.document.plans)
        if is_known:
            detail = f"plan {caller.plan.plan} may not use model {model}"
            return problem_error(ErrorKind.NOT_PERMITTED, detail)
        return problem_error(ErrorKind.UNKNOWN_MODEL, f"no plan names the model {model[:80]!r}")

    def _find_operation(
        self, caller: Caller, service: ServiceId, method: str, path: str
    ) -> Operation:
        use = caller.plan.find_service(service)
        if use is None:
            is_known = any(plan.find_service(service) for plan in self._plans.document.plans)
            if is_known:
                detail = f"plan {caller.plan.plan} may not use service {service}"
                raise problem_error(ErrorKind.NOT_PERMITTED, detail)
            detail = f"no plan names the service {service[:80]!r}"
            raise problem_error(ErrorKind.UNKNOWN_SERVICE, detail)
        operation = use.find_operation(method, path)
        if operation is None:
            declared = ", ".join(f"{row.method} {row.path}" for row in use.operations)
            raise problem_error(
                ErrorKind.UNKNOWN_OPERATION,
                f"{method} {path[:80]} is not declared for {service}; declared are {declared}",
            )
        return operation


def _text(text: str) -> Response:
    return Response(text, content_type="text/plain; charset=utf-8")


def _json(data: object) -> Response:
    return Response(json.dumps(data) + "\n", content_type="application/json")


def _service_response(answer: StoredAnswer, request_id: RequestId) -> Response:
    return Response(
        answer.body,
        status=answer.status,
        content_type=answer.content_type or None,
        headers={"X-Request-Id": request_id},
    )
