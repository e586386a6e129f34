"""Serves streamed model answers: target selection, resumption, retries, crash attribution."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_peers.proto.peer_pb2 import CHAT
from primroseferry_policy.admission import expected_lateness_ms
from primroseferry_policy.admission import in_time
from primroseferry_policy.routing import TYPICAL_ANSWER_TOKENS
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget

from .attempt_failures import record_failure
from .decisions import describe_target
from .engine_call import Broken
from .engine_call import CallerGone
from .engine_call import Completed
from .engine_call import OutOfTime
from .engine_call import Refused
from .engine_call import engine_body
from .engine_call import run_on_engine
from .forward_client import ForwardPayload
from .forward_client import PeerProblem
from .targets import region_circuit_key
from .targets import region_load_key

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.routing import Option
    from primroseferry_transport.curl_loop import CurlLoop

    from .answer_stream import AnswerStream
    from .crash_watch import CrashWatch
    from .engine_call import AttemptOutcome
    from .engine_call import EngineBody
    from .fleet import Endpoint
    from .forward_client import ForwardClient
    from .metrics import Metrics
    from .peer_selector import PeerSelector
    from .policy_state import PolicyState
    from .request_context import RequestContext
    from .settings import GatewaySettings
    from .targets import Demand
    from .targets import TargetSelector

MAX_ATTEMPTS = 6
RETRY_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A parsed chat request: the caller's JSON body and the work that it demands."""

    body: dict[str, Any]
    demand: Demand

    @property
    def max_tokens(self) -> int:
        """The longest accepted answer in tokens; a typical length if the caller sets none."""
        return int(self.body.get("max_tokens") or TYPICAL_ANSWER_TOKENS)


class ChatService:
    """Serves chat requests from callers of this region and from gateways of other regions."""

    def __init__(
        self,
        settings: GatewaySettings,
        loop: CurlLoop,
        peers: PeerSelector,
        targets: TargetSelector,
        policy: PolicyState,
        crashes: CrashWatch,
        forwards: ForwardClient,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._loop = loop
        self._peers = peers
        self._targets = targets
        self._loads = policy.loads
        self._breakers = policy.breakers
        self._budget = policy.budget
        self._crashes = crashes
        self._probation = policy.probation
        self._lengths = policy.answer_lengths
        self._forwards = forwards
        self._metrics = metrics

    def serve(self, context: RequestContext, request: ChatRequest, stream: AnswerStream) -> bool:
        """Stream the complete answer; ``False`` if the caller disconnected.

        Raises ``ProblemError`` if the request is refused or its attempts fail.
        """
        context.check_region()
        self._budget.earn()
        body = engine_body(request.body, context.plan.urgency)
        for attempt in range(MAX_ATTEMPTS):
            self._crashes.refuse_quarantined(context.fingerprint)
            option = self._choose(context, request.demand, stream, is_first=attempt == 0)
            if attempt > 0:
                self._spend_retry(context, stream)
            outcome = self._attempt(context, request.demand, option, body, stream)
            self._metrics.count_attempt(type(outcome).__name__.lower())
            if isinstance(outcome, Completed) and context.may_leave_region:
                self._lengths.learn(request.demand.serves, request.max_tokens, stream.delivered)
            if self._is_finished(context, option, outcome, stream):
                return not isinstance(outcome, CallerGone)
        raise problem_error(
            ErrorKind.ANSWER_INCOMPLETE if stream.last_event else ErrorKind.ENDPOINT_FAILED,
            f"{MAX_ATTEMPTS} attempts failed; retry the request",
        )

    def _choose(
        self, context: RequestContext, demand: Demand, stream: AnswerStream, is_first: bool
    ) -> Option:
        options = self._targets.rank(context, demand)
        if not options and context.excluded_endpoints:
            time.sleep(RETRY_PAUSE_S)
            context.excluded_endpoints.clear()
            options = self._targets.rank(context, demand)
        if not options:
            permitted = ", ".join(context.permitted_regions())
            kind = _no_endpoint_kind(stream, is_first)
            raise problem_error(kind, f"no endpoint for {demand.serves} in {permitted}")
        timely = in_time(options, context.remaining_ms)
        if is_first and not timely:
            self._refuse_late(context, options)
        best = timely[0] if timely else options[0]
        context.trace.note("chosen", describe_target(best.target), tuple(options))
        return best

    def _refuse_late(self, context: RequestContext, options: list[Option]) -> None:
        late_ms = expected_lateness_ms(options, context.remaining_ms)
        context.trace.note("refused", f"{late_ms:.0f} ms too late", tuple(options))
        raise problem_error(
            ErrorKind.WOULD_BE_LATE,
            f"the answer is needed within {context.remaining_ms} ms, but is expected "
            f"{late_ms:.0f} ms after that",
            retry_after_s=max(1, round(late_ms / 1000)),
        )

    def _spend_retry(self, context: RequestContext, stream: AnswerStream) -> None:
        if self._budget.spend():
            return
        context.trace.note("retry refused", "the retry budget is exhausted")
        kind = ErrorKind.ANSWER_INCOMPLETE if stream.last_event else ErrorKind.RETRY_BUDGET_SPENT
        raise problem_error(kind, "too many attempts are failing; retry later")

    def _attempt(
        self,
        context: RequestContext,
        demand: Demand,
        option: Option,
        body: EngineBody,
        stream: AnswerStream,
    ) -> AttemptOutcome | PeerProblem:
        match option.target:
            case LocalTarget(name):
                return self._attempt_local(context, demand, name, body, stream)
            case RemoteTarget(region):
                return self._attempt_remote(context, demand, region, body, stream)

    def _attempt_local(
        self,
        context: RequestContext,
        demand: Demand,
        name: EndpointId,
        body: EngineBody,
        stream: AnswerStream,
    ) -> AttemptOutcome:
        is_suspect = self._crashes.is_suspected(context.fingerprint)
        if is_suspect:
            name = self._isolate(context, demand, name)
        try:
            endpoint = self._targets.find_endpoint(context, demand, name)
            if endpoint is None:
                return Broken(
                    "the endpoint is no longer available", is_endpoint_crashed=False, is_sent=False
                )
            return self._run(context, endpoint, body, stream)
        finally:
            if is_suspect:
                self._probation.leave(name)

    def _isolate(
        self, context: RequestContext, demand: Demand, preferred: EndpointId
    ) -> EndpointId:
        """Wait for an endpoint on which no other suspected request runs."""
        options = self._targets.rank(context, demand)
        names = [
            option.target.endpoint for option in options if isinstance(option.target, LocalTarget)
        ]
        ordered = self._crashes.isolation_order(names or [preferred])
        name = self._probation.enter(ordered, context.remaining_ms / 1000)
        if name is None:
            raise problem_error(
                ErrorKind.DEADLINE_PASSED,
                "the request was running on an endpoint that crashed; its deadline passed while it "
                "waited for an endpoint without other suspected requests",
            )
        self._crashes.refuse_quarantined_and_leave(context.fingerprint, self._probation, name)
        context.trace.note("isolated", name)
        return name

    def _run(
        self, context: RequestContext, endpoint: Endpoint, body: EngineBody, stream: AnswerStream
    ) -> AttemptOutcome:
        with self._breakers.attempt(endpoint.endpoint):
            with self._loads.open_request(endpoint.endpoint):
                outcome = run_on_engine(
                    self._loop,
                    self._settings,
                    endpoint,
                    context.request_id,
                    body,
                    stream,
                    max(1, context.remaining_ms),
                    lambda: self._record_first_token(context, endpoint.endpoint),
                )
            self._record_outcome(context, endpoint, outcome)
        return outcome

    def _record_first_token(self, context: RequestContext, circuit: EndpointId) -> None:
        """Close the circuit at the first token, since a trial request may stream for long."""
        self._breakers.succeed(circuit)
        if context.may_leave_region:
            self._metrics.observe_first_token(time.monotonic() - context.trace.began_s)

    def _record_outcome(
        self, context: RequestContext, endpoint: Endpoint, outcome: AttemptOutcome
    ) -> None:
        match outcome:
            case Completed():
                self._breakers.succeed(endpoint.endpoint)
                self._crashes.clear(context.fingerprint)
            case Broken(is_endpoint_crashed=is_endpoint_crashed, is_sent=is_sent):
                self._breakers.fail(endpoint.endpoint)
                if is_endpoint_crashed and is_sent:
                    self._crashes.blame(context.fingerprint, endpoint.endpoint)
            case _:
                self._breakers.release(endpoint.endpoint)

    def _attempt_remote(
        self,
        context: RequestContext,
        demand: Demand,
        region: RegionId,
        body: EngineBody,
        stream: AnswerStream,
    ) -> AttemptOutcome | PeerProblem:
        circuit = region_circuit_key(region)
        with self._breakers.attempt(circuit):
            with self._loads.open_request(region_load_key(region, demand.serves)):
                outcome = self._forward(context, demand, region, body, stream)
            match outcome:
                case Broken():
                    self._breakers.fail(circuit)
                case Completed() | PeerProblem():
                    self._breakers.succeed(circuit)
                case _:
                    self._breakers.release(circuit)
        return outcome

    def _forward(
        self,
        context: RequestContext,
        demand: Demand,
        region: RegionId,
        body: EngineBody,
        stream: AnswerStream,
    ) -> AttemptOutcome | PeerProblem:
        payload = ForwardPayload(CHAT, demand.serves, body.first)
        circuit = region_circuit_key(region)
        outcome: AttemptOutcome | PeerProblem = Broken("no live gateway is listed", False, False)
        for peer in self._peers.ordered(region):
            self._metrics.count_forward(region)
            context.trace.note("forwarded", f"{peer.instance} in {region}")
            outcome = self._forwards.stream_chat(
                peer, context, payload, stream, lambda: self._record_first_token(context, circuit)
            )
            if not isinstance(outcome, Broken):
                self._peers.succeed(peer)
                break
            self._peers.fail(peer)
            context.trace.note("peer failed", f"{peer.instance}: {outcome.reason}")
            if outcome.is_sent and not self._budget.spend():
                break
        return outcome

    def _is_finished(
        self,
        context: RequestContext,
        option: Option,
        outcome: AttemptOutcome | PeerProblem,
        stream: AnswerStream,
    ) -> bool:
        """Return whether the request is finished. Raises ``ProblemError`` if it failed for good."""
        target = describe_target(option.target)
        match outcome:
            case Completed() | CallerGone():
                context.trace.note("ended", type(outcome).__name__)
                return True
            case Refused(status):
                raise problem_error(
                    ErrorKind.ENDPOINT_REFUSED, f"{target} answered status {status}"
                )
            case OutOfTime():
                raise problem_error(
                    ErrorKind.DEADLINE_PASSED, f"{target} was still answering at the deadline"
                )
            case PeerProblem(problem) if problem.kind in _FINAL_PEER_PROBLEMS:
                raise problem_error(problem.kind, problem.detail, problem.retry_after_s)
            case PeerProblem(problem):
                record_failure(context, option, f"{problem.kind.value}: {problem.detail}")
            case Broken(reason=reason):
                record_failure(context, option, reason)
        if stream.last_event:
            self._metrics.count_resume()
            log_event(
                Event.STREAM_RESUMED, request_id=context.request_id, event_id=stream.last_event
            )
        return False


def _no_endpoint_kind(stream: AnswerStream, is_first: bool) -> ErrorKind:
    """Report ``not run`` only before the first attempt: a failed one may have run the request."""
    if stream.last_event:
        return ErrorKind.ANSWER_INCOMPLETE
    return ErrorKind.NO_ENDPOINT if is_first else ErrorKind.ENDPOINT_FAILED


_FINAL_PEER_PROBLEMS = frozenset(
    {ErrorKind.REQUEST_QUARANTINED, ErrorKind.ENDPOINT_REFUSED, ErrorKind.DEADLINE_PASSED}
)
