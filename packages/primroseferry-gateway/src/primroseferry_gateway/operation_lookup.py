"""Resolves an unknown outcome through the look-up operation of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_once.table import StoredAnswer

from .service_call import ServiceRequest

if TYPE_CHECKING:
    from primroseferry_core.plans import Operation

    from .fleet import FleetView
    from .request_context import RequestContext
    from .services import ServiceCalls
    from .targets import Demand

LOOKUP_TIMEOUT_MS = 2_000
UNKNOWN_ADVICE = (
    "the operation is never dispatched again under this key; look it up in the service, or retry "
    "with the same key and the same body"
)


class OperationLookup:
    """Asks the endpoints of this region whether an operation ran."""

    def __init__(self, fleet: FleetView, calls: ServiceCalls) -> None:
        self._fleet = fleet
        self._calls = calls

    def reconcile(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
        reason: str,
    ) -> StoredAnswer:
        """Return the answer of the service's look-up if it confirms that the operation ran.

        Raises ``OUTCOME_UNKNOWN`` otherwise. A look-up that does not find the operation proves
        nothing.
        """
        answer = self._look_up(context, demand, operation, request)
        if answer is not None:
            log_event(Event.OPERATION_RECONCILED, request_id=context.request_id)
            context.trace.note("reconciled", "the service confirms that the operation ran")
            return answer
        raise problem_error(ErrorKind.OUTCOME_UNKNOWN, f"{reason}; {UNKNOWN_ADVICE}")

    def _look_up(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
    ) -> StoredAnswer | None:
        if not operation.lookup_path:
            return None
        path = operation.lookup_path.replace("{key}", request.idempotency_key)
        lookup = ServiceRequest("GET", path, "", b"")
        context.excluded_endpoints.clear()
        for endpoint in self._fleet.endpoints(demand.serves, context.own_region, is_engine=False):
            outcome = self._calls.call_local(
                context, demand, endpoint.endpoint, lookup, LOOKUP_TIMEOUT_MS, is_repeatable=True
            )
            if isinstance(outcome, StoredAnswer) and 200 <= outcome.status < 300:
                return outcome
        return None
