"""Dispatches an at-most-once operation to a single endpoint."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_once.table import StoredAnswer
from primroseferry_peers.proto.peer_pb2 import SERVICE_DISPATCH
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget

from .decisions import describe_target
from .forward_client import Answered
from .forward_client import PeerFailed
from .forward_client import PeerProblem
from .forward_client import service_payload
from .service_call import CallFailed
from .targets import region_circuit_key

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_once.table import OnceRecord
    from primroseferry_once.table import OnceTable

    from .request_context import RequestContext
    from .service_call import ServiceRequest
    from .services import ServiceCalls
    from .targets import Demand
    from .targets import TargetSelector

MAX_DISPATCH_ATTEMPTS = 4
DISPATCH_TIMEOUT_MS = 30_000
MAX_DISPATCH_THREADS = 512


class OperationDispatcher:
    """Sends operations to endpoints and stores the outcome of each in the table."""

    def __init__(self, table: OnceTable, targets: TargetSelector, calls: ServiceCalls) -> None:
        self._table = table
        self._targets = targets
        self._calls = calls
        self._pool = ThreadPoolExecutor(MAX_DISPATCH_THREADS, "dispatch")

    def start(
        self, context: RequestContext, demand: Demand, request: ServiceRequest, record: OnceRecord
    ) -> None:
        """Dispatch a held record on a worker thread; it continues if the caller disconnects."""
        self._pool.submit(self._dispatch_record, context, demand, request, record)

    def dispatch_for_owner(
        self, context: RequestContext, demand: Demand, request: ServiceRequest
    ) -> StoredAnswer:
        """Dispatch an operation to an endpoint of this region for an owner in another region.

        Raises ``NO_ENDPOINT`` (``ran: no``) only if no endpoint can have received the operation,
        else ``OUTCOME_UNKNOWN``.
        """
        context.check_region()
        answer = self._run_dispatch(context, demand, request)
        if isinstance(answer, StoredAnswer):
            return answer
        if answer.is_sent:
            raise problem_error(ErrorKind.OUTCOME_UNKNOWN, answer.reason)
        raise problem_error(ErrorKind.NO_ENDPOINT, answer.reason)

    def _dispatch_record(
        self,
        context: RequestContext,
        demand: Demand,
        request: ServiceRequest,
        record: OnceRecord,
    ) -> None:
        """Dispatch a held record and store its outcome, even after the caller's deadline."""
        deadline_s = time.monotonic() + DISPATCH_TIMEOUT_MS / 1000
        dispatch_context = replace(context, deadline_s=deadline_s)
        try:
            answer = self._run_dispatch(dispatch_context, demand, request, record)
        except Exception as error:
            log_event(Event.REQUEST_CRASHED, path=request.path, error=type(error).__name__)
            answer = CallFailed("the gateway failed during the dispatch", is_sent=True)
        if isinstance(answer, StoredAnswer):
            self._table.finish(record, answer)
            return
        if not answer.is_sent and self._table.abandon(record):
            return
        self._table.mark_unknown(record)
        log_event(
            Event.OPERATION_OUTCOME_UNKNOWN, request_id=context.request_id, reason=answer.reason
        )

    def _run_dispatch(
        self,
        context: RequestContext,
        demand: Demand,
        request: ServiceRequest,
        record: OnceRecord | None = None,
    ) -> StoredAnswer | CallFailed:
        """Try targets until one may have received the operation.

        The result is ``CallFailed`` with ``is_sent=False`` if none can have received it.
        """
        reason = f"no endpoint for {demand.serves} in {', '.join(context.permitted_regions())}"
        for _ in range(MAX_DISPATCH_ATTEMPTS):
            options = self._targets.rank(context, demand)
            if not options:
                break
            best = options[0]
            context.trace.note("chosen", describe_target(best.target), tuple(options))
            if record is not None and not self._table.dispatch(record):
                return CallFailed("this gateway no longer owns the key", is_sent=False)
            log_event(
                Event.OPERATION_DISPATCHED,
                request_id=context.request_id,
                target=describe_target(best.target),
            )
            match best.target:
                case LocalTarget(name):
                    outcome = self._calls.call_local(
                        context, demand, name, request, DISPATCH_TIMEOUT_MS, is_repeatable=False
                    )
                    context.excluded_endpoints.add(name)
                case RemoteTarget(region):
                    outcome = self._dispatch_remote(context, demand, request, region)
                    context.excluded_endpoints.add(region_circuit_key(region))
            if isinstance(outcome, StoredAnswer) or outcome.is_sent:
                return outcome
            reason = outcome.reason
            context.trace.note("attempt not sent", reason)
            if record is not None:
                self._table.mark_not_sent(record)
        return CallFailed(reason, is_sent=False)

    def _dispatch_remote(
        self, context: RequestContext, demand: Demand, request: ServiceRequest, region: RegionId
    ) -> StoredAnswer | CallFailed:
        payload = service_payload(SERVICE_DISPATCH, demand, request)
        match self._calls.call_region(context, region, payload, is_repeatable=False):
            case Answered(answer):
                return answer
            case PeerProblem(problem):
                is_sent = problem.kind not in _NOT_RUN_KINDS
                return CallFailed(f"{problem.kind.value}: {problem.detail}", is_sent)
            case PeerFailed(reason, is_sent):
                return CallFailed(reason, is_sent)


_NOT_RUN_KINDS = frozenset(
    {
        ErrorKind.NO_ENDPOINT,
        ErrorKind.GATEWAY_DRAINING,
        ErrorKind.GATEWAY_NOT_READY,
        ErrorKind.REGION_NOT_PERMITTED,
        ErrorKind.NOT_PERMITTED,
        ErrorKind.NO_PLAN,
        ErrorKind.UNKNOWN_OPERATION,
        ErrorKind.REGION_LOOP,
    }
)
