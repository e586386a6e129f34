"""Common handling of callers' requests: admission, authentication, plan capacity, logging."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.hashing import request_fingerprint
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_policy.capacity import CapacityKey
from primroseferry_policy.capacity import local_share
from primroseferry_transport.serving import problem_response

from .request_context import RequestContext
from .request_parsing import bearer_token

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from primroseferry_core.ids import RequestId
    from primroseferry_core.plans import PlanDocument
    from primroseferry_core.plans import PlanUse
    from primroseferry_platform.client_directory import Client
    from primroseferry_platform.client_directory import ClientDirectory
    from primroseferry_policy.capacity import PlanCapacity
    from primroseferry_transport.serving import Exchange
    from werkzeug.wrappers import Response

    from .decisions import DecisionLog
    from .fleet import FleetView
    from .metrics import Metrics
    from .plan_manager import PlanManager
    from .settings import GatewaySettings
    from .work_gate import WorkGate


@dataclass(frozen=True, slots=True)
class Caller:
    """The client that sent a request, and its plan."""

    client: Client
    plan: PlanUse
    plans_revision: int


class RequestIntake:
    """Admits, identifies and accounts for callers' requests."""

    def __init__(
        self,
        settings: GatewaySettings,
        clients: ClientDirectory,
        fleet: FleetView,
        plans: PlanManager,
        gate: WorkGate,
        capacity: PlanCapacity,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._clients = clients
        self._fleet = fleet
        self._plans = plans
        self._gate = gate
        self._capacity = capacity
        self._decisions = decisions
        self._metrics = metrics

    @property
    def document(self) -> PlanDocument:
        """The current plans."""
        return self._plans.document

    def answer(
        self, request_id: RequestId, kind: str, serve: Callable[[], Response | None]
    ) -> Response | None:
        """Serve one request through the gate, count it and log its end.

        A ``ProblemError`` of ``serve`` becomes a problem response.
        """
        began_s = time.monotonic()
        outcome = "answered"
        try:
            with self._gate.enter():
                if not self._plans.is_loaded:
                    raise problem_error(ErrorKind.GATEWAY_NOT_READY, "no plans are loaded yet")
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
                log_event(Event.REQUEST_ANSWERED, request_id=request_id, elapsed_ms=elapsed_ms)

    def identify(self, exchange: Exchange) -> Caller:
        """Return the client and plan of a request. Raises ``ProblemError`` if there is none."""
        client = self._clients.authenticate(bearer_token(exchange.request))
        document = self._plans.document
        plan = document.plan_of(client.customer)
        if plan is None:
            raise problem_error(
                ErrorKind.NO_PLAN, f"customer {client.customer} has no row in the list customers"
            )
        return Caller(client, plan, document.revision)

    def context(
        self, request_id: RequestId, caller: Caller, target: str, content: bytes, timeout_ms: int
    ) -> RequestContext:
        """Create the context of a request and start its decision trace."""
        customer = caller.client.customer
        trace = self._decisions.open(request_id, target)
        trace.note("entered", f"customer {customer}, plan {caller.plan.plan}")
        return RequestContext(
            request_id=request_id,
            customer=customer,
            plan=caller.plan,
            plans_revision=caller.plans_revision,
            entry_region=self._settings.region,
            own_region=self._settings.region,
            deadline_s=time.monotonic() + timeout_ms / 1000,
            fingerprint=Fingerprint(request_fingerprint(customer, target, content)),
            trace=trace,
        )

    def hold_capacity(
        self, plan: PlanUse, target: str, max_open_requests: int
    ) -> AbstractContextManager[None]:
        """Return a guard that counts one open request against this gateway's capacity share."""
        share = self._share(plan, max_open_requests)
        return self._capacity.hold(CapacityKey(plan.plan, target), share)

    def _share(self, plan: PlanUse, max_open_requests: int) -> int:
        """Return this gateway's share of a capacity; the shares of all entry gateways add up to it.

        Shares follow the instance list and not the gateways presumed live, so that both sides of a
        network partition keep the shares they had.
        """
        names = self._fleet.entry_instances(plan.regions)
        me = self._settings.instance
        if me not in names:
            # The request is refused later with the reason REGION_NOT_PERMITTED.
            return max_open_requests
        return local_share(max_open_requests, names.index(me), len(names))
