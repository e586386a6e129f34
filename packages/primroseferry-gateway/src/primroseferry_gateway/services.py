"""Serves idempotent calls of plain services on any endpoint, with retries within a budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_once.table import StoredAnswer
from primroseferry_peers.proto.peer_pb2 import SERVICE_IDEMPOTENT
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget

from .attempt_failures import record_failure
from .decisions import describe_target
from .forward_client import Answered
from .forward_client import ForwardPayload
from .forward_client import PeerFailed
from .forward_client import PeerProblem
from .forward_client import service_payload
from .service_call import CallFailed
from .service_call import call_service
from .targets import region_circuit_key
from .targets import region_load_key

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.routing import Option
    from primroseferry_transport.curl_loop import CurlLoop

    from .forward_client import ForwardClient
    from .metrics import Metrics
    from .peer_selector import PeerSelector
    from .policy_state import PolicyState
    from .request_context import RequestContext
    from .service_call import ServiceRequest
    from .targets import Demand
    from .targets import TargetSelector

MAX_ATTEMPTS = 4
ATTEMPT_TIMEOUT_MS = 4_000
RETRIED_STATUSES = frozenset({502, 503, 504})


class ServiceCalls:
    """Runs calls of plain services on endpoints of this region or forwards them to another."""

    def __init__(
        self,
        loop: CurlLoop,
        peers: PeerSelector,
        targets: TargetSelector,
        policy: PolicyState,
        forwards: ForwardClient,
        metrics: Metrics,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._targets = targets
        self._loads = policy.loads
        self._breakers = policy.breakers
        self._budget = policy.budget
        self._forwards = forwards
        self._metrics = metrics

    def serve_idempotent(
        self, context: RequestContext, demand: Demand, request: ServiceRequest
    ) -> StoredAnswer:
        """Return the service's answer. Raises ``ProblemError`` if no attempt gets one in time."""
        context.check_region()
        self._budget.earn()
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            options = self._targets.rank(context, demand)
            if not options:
                break
            if attempt > 0 and not self._budget.spend():
                raise problem_error(
                    ErrorKind.RETRY_BUDGET_SPENT, f"{reason}; the retry budget is used up"
                )
            best = options[0]
            context.trace.note("chosen", describe_target(best.target), tuple(options))
            outcome = self._attempt(context, demand, best, request)
            if isinstance(outcome, StoredAnswer):
                return outcome
            reason = outcome.reason
            record_failure(context, best, reason)
            if context.remaining_ms == 0:
                raise problem_error(ErrorKind.DEADLINE_PASSED, reason)
        if reason:
            raise problem_error(ErrorKind.ENDPOINT_FAILED, reason)
        permitted = ", ".join(context.permitted_regions())
        raise problem_error(
            ErrorKind.NO_ENDPOINT, f"no endpoint for {demand.serves} in {permitted}"
        )

    def call_local(
        self,
        context: RequestContext,
        demand: Demand,
        name: EndpointId,
        request: ServiceRequest,
        timeout_ms: int,
        is_repeatable: bool,
    ) -> StoredAnswer | CallFailed:
        """Run one call on one endpoint of this region and record its outcome."""
        endpoint = self._targets.find_endpoint(context, demand, name)
        if endpoint is None:
            return CallFailed(f"endpoint {name} accepts no new work", is_sent=False)
        with self._breakers.attempt(name):
            with self._loads.open_request(name):
                outcome = call_service(
                    self._loop, endpoint, context.request_id, request, timeout_ms, is_repeatable
                )
            if isinstance(outcome, CallFailed):
                self._breakers.fail(name)
            else:
                self._breakers.succeed(name)
        self._metrics.count_attempt("completed" if isinstance(outcome, StoredAnswer) else "broken")
        return outcome

    def call_region(
        self,
        context: RequestContext,
        region: RegionId,
        payload: ForwardPayload,
        is_repeatable: bool,
    ) -> Answered | PeerProblem | PeerFailed:
        """Forward one call to a gateway of another region.

        If it fails, another gateway is tried, provided that the first one cannot have received the
        call, or that the call is repeatable and the retry budget allows a retry.
        """
        circuit = region_circuit_key(region)
        with self._breakers.attempt(circuit):
            with self._loads.open_request(region_load_key(region, payload.target)):
                outcome = self._forward(context, region, payload, is_repeatable)
            if isinstance(outcome, PeerFailed):
                self._breakers.fail(circuit)
            else:
                self._breakers.succeed(circuit)
        return outcome

    def _forward(
        self,
        context: RequestContext,
        region: RegionId,
        payload: ForwardPayload,
        is_repeatable: bool,
    ) -> Answered | PeerProblem | PeerFailed:
        outcome: Answered | PeerProblem | PeerFailed = PeerFailed(
            "no gateway is listed", is_sent=False
        )
        for peer in self._peers.ordered(region):
            self._metrics.count_forward(region)
            context.trace.note("forwarded", f"{peer.instance} in {region}")
            outcome = self._forwards.call_service(peer, context, payload)
            if not isinstance(outcome, PeerFailed):
                self._peers.succeed(peer)
                break
            self._peers.fail(peer)
            if outcome.is_sent and not (is_repeatable and self._budget.spend()):
                break
        return outcome

    def _attempt(
        self, context: RequestContext, demand: Demand, option: Option, request: ServiceRequest
    ) -> StoredAnswer | CallFailed:
        match option.target:
            case LocalTarget(name):
                timeout_ms = min(ATTEMPT_TIMEOUT_MS, context.remaining_ms)
                outcome = self.call_local(
                    context, demand, name, request, timeout_ms, is_repeatable=True
                )
                if isinstance(outcome, StoredAnswer) and outcome.status in RETRIED_STATUSES:
                    return CallFailed(f"status {outcome.status}", is_sent=True)
                return outcome
            case RemoteTarget(region):
                payload = service_payload(SERVICE_IDEMPOTENT, demand, request)
                match self.call_region(context, region, payload, is_repeatable=True):
                    case Answered(answer):
                        return answer
                    case PeerProblem(problem):
                        return CallFailed(f"{problem.kind.value}: {problem.detail}", True)
                    case PeerFailed(reason, is_sent):
                        return CallFailed(reason, is_sent)
