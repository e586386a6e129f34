"""The HTTP routes for callers and operators."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.ids import RequestId
from primroseferry_core.logs import log_event
from primroseferry_transport.router import Router
from primroseferry_transport.serving import problem_response
from werkzeug.wrappers import Response

if TYPE_CHECKING:
    from primroseferry_transport.serving import Exchange

    from .chat_route import ChatRoute
    from .decisions import DecisionLog
    from .entry import EntryDirectory
    from .metrics import Metrics
    from .plan_manager import PlanManager
    from .request_intake import RequestIntake
    from .service_route import ServiceRoute
    from .state import StateDump
    from .work_gate import WorkGate


class HttpApi:
    """Registers all routes and serves those that describe the gateway itself."""

    def __init__(
        self,
        intake: RequestIntake,
        chat: ChatRoute,
        services: ServiceRoute,
        entry: EntryDirectory,
        plans: PlanManager,
        gate: WorkGate,
        decisions: DecisionLog,
        metrics: Metrics,
        state: StateDump,
    ) -> None:
        self._intake = intake
        self._chat = chat
        self._services = services
        self._entry = entry
        self._plans = plans
        self._gate = gate
        self._decisions = decisions
        self._metrics = metrics
        self._state = state

    def router(self) -> Router:
        """Return a router with all routes of the gateway."""
        router = Router()
        router.add("GET", "/v1/entry", self._serve_entry)
        router.add("POST", "/v1/chat/completions", self._chat.serve)
        router.add("*", "/v1/services/<service>/<path:path>", self._services.serve)
        router.add("GET", "/healthz", lambda exchange: _text_response("ok\n"))
        router.add("GET", "/readyz", self._serve_ready)
        router.add("GET", "/metrics", self._serve_metrics)
        router.add("GET", "/v1/state", self._serve_state)
        router.add("GET", "/v1/state/requests/<request_id>", self._serve_trace)
        return router

    def _serve_entry(self, exchange: Exchange) -> Response:
        caller = self._intake.identify(exchange)
        return _json_response(self._entry.describe(caller.client, caller.plan))

    def _serve_ready(self, exchange: Exchange) -> Response:
        if self._gate.is_closed:
            return problem_response(
                problem_error(ErrorKind.GATEWAY_DRAINING, "the gateway is shutting down").problem
            )
        if not self._plans.is_loaded:
            return problem_response(
                problem_error(ErrorKind.GATEWAY_NOT_READY, "no plans are loaded yet").problem
            )
        return _text_response("ready\n")

    def _serve_metrics(self, exchange: Exchange) -> Response:
        self._state.update_metrics()
        content, headers = self._metrics.render(exchange.request.headers.getlist("Accept"))
        return Response(content, headers=headers)

    def _serve_state(self, exchange: Exchange) -> Response:
        log_event(Event.STATE_DUMPED)
        return _json_response(self._state.dump())

    def _serve_trace(self, exchange: Exchange, request_id: str) -> Response:
        trace = self._decisions.find(RequestId(request_id))
        if trace is None:
            raise problem_error(
                ErrorKind.UNKNOWN_PATH,
                f"this gateway has no decisions of request {request_id[:80]}; query the gateway "
                "that answered it",
            )
        return _json_response(asdict(trace))


def _text_response(text: str) -> Response:
    return Response(text, content_type="text/plain; charset=utf-8")


def _json_response(data: object) -> Response:
    return Response(json.dumps(data) + "\n", content_type="application/json")
