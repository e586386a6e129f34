"""The HTTP route to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.ids import ServiceId
from primroseferry_core.ids import new_request_id
from primroseferry_core.plans import Execution
from werkzeug.wrappers import Response

from .request_parsing import needed_within_ms
from .service_call import ServiceRequest
from .work_estimates import service_demand

if TYPE_CHECKING:
    from primroseferry_core.ids import RequestId
    from primroseferry_core.plans import Operation
    from primroseferry_once.table import StoredAnswer
    from primroseferry_transport.serving import Exchange

    from .at_most_once import AtMostOnceService
    from .request_intake import Caller
    from .request_intake import RequestIntake
    from .services import ServiceCalls


class ServiceRoute:
    """Answers ``/v1/services/<service>/<path>`` for idempotent and at-most-once operations."""

    def __init__(
        self,
        intake: RequestIntake,
        services: ServiceCalls,
        at_most_once: AtMostOnceService,
        default_timeout_ms: int,
    ) -> None:
        self._intake = intake
        self._services = services
        self._at_most_once = at_most_once
        self._default_timeout_ms = default_timeout_ms

    def serve(self, exchange: Exchange, service: str, path: str) -> Response | None:
        """Answer one request; errors become problem responses."""
        request_id = new_request_id()

        def run() -> Response:
            caller = self._intake.identify(exchange)
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

        return self._intake.answer(request_id, "service", run)

    def _call_service(
        self,
        exchange: Exchange,
        request_id: RequestId,
        caller: Caller,
        service: str,
        operation: Operation,
        request: ServiceRequest,
    ) -> Response:
        timeout_ms = needed_within_ms(exchange.request, self._default_timeout_ms)
        content = f"{request.method} {request.path}\0".encode() + request.body
        context = self._intake.context(request_id, caller, service, content, timeout_ms)
        use = caller.plan.find_service(ServiceId(service))
        max_open_requests = use.max_open_requests if use is not None else 0
        demand = service_demand(service)
        is_at_most_once = operation.execution is Execution.AT_MOST_ONCE
        if is_at_most_once and not request.idempotency_key:
            raise problem_error(
                ErrorKind.KEY_REQUIRED,
                f"{operation.method} {operation.path} runs at most once; send an Idempotency-Key, "
                "preferably with the prefix that GET /v1/entry returns",
            )
        try:
            with self._intake.hold_capacity(caller.plan, service, max_open_requests):
                if is_at_most_once:
                    answer = self._at_most_once.serve(context, demand, operation, request)
                else:
                    answer = self._services.serve_idempotent(context, demand, request)
        except ProblemError as error:
            if is_at_most_once and error.problem.kind is ErrorKind.OVER_CAPACITY:
                raise ProblemError(error.problem.with_execution_unknown()) from error
            raise
        return _service_response(answer, request_id)

    def _find_operation(
        self, caller: Caller, service: ServiceId, method: str, path: str
    ) -> Operation:
        use = caller.plan.find_service(service)
        if use is None:
            is_known = any(plan.find_service(service) for plan in self._intake.document.plans)
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
                f"{method} {path[:80]} is not declared for {service}; declared: {declared}",
            )
        return operation


def _service_response(answer: StoredAnswer, request_id: RequestId) -> Response:
    return Response(
        answer.body,
        status=answer.status,
        content_type=answer.content_type or None,
        headers={"X-Request-Id": request_id},
    )
