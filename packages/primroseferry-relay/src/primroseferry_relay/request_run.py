"""Processing of one request: admission, attempts and answer."""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.ids import RequestId
from primroseferry_policy.contention import remaining_budget_ms
from primroseferry_policy.return_times import MAX_RETURN_S
from primroseferry_policy.return_times import MIN_RETURN_S
from primroseferry_policy.return_times import latest_return_s
from primroseferry_policy.urgent_demand import EnginePlace
from primroseferry_transport.disconnect_watch import watch_disconnect

from .attempts.caller_watch import CallerWatch
from .attempts.outcome import Answered
from .attempts.outcome import CallerLeft
from .attempts.outcome import Lost
from .attempts.outcome import Moved
from .attempts.outcome import NotRun
from .attempts.outcome import StreamBroken
from .attempts.outcome import StreamEnded
from .contending_request import ContendingRequest
from .crash_attribution import CRASHED_DETAIL
from .crash_attribution import HELD_PART_DETAIL
from .endpoints.software_version import UNKNOWN_VERSION
from .forwarding.hop import SATURATED_DETAIL
from .ingress.answer_channel import ChannelState
from .ingress.channel_sink import ChannelSink
from .lifecycle.stop_gate import STOP_DETAIL
from .lifecycle.stop_gate import STOPPING_RETRY_AFTER_S
from .local_attempts import BASE_PRIORITY
from .local_attempts import AttemptPlan
from .local_attempts import LocalOption
from .membership.quota_leases import UNLIMITED
from .messages import problem_answer
from .region_choice import RegionOption
from .region_choice import prefers_remote_region
from .routes.route import RouteKind
from .streams.stream_moves import MovableStream
from .streams.stream_moves import MoveOutcome
from .streams.stream_origins import stream_key
from .suspect import suspect_of_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import Fingerprint
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_transport.curl_loop import CurlLoop

    from .attempts.attempt_call import AttemptCall
    from .attempts.attempt_call import StreamSink
    from .attempts.outcome import AttemptOutcome
    from .decision import DecisionRecord
    from .endpoint_adapter import RequestMetadata
    from .forwarding.region_attempts import RegionAttempts
    from .ingress.answer_channel import AnswerChannel
    from .local_attempts import LocalAttempts
    from .membership.peer_table import PeerTable
    from .membership.quota_leases import QuotaLeases
    from .messages import CompleteAnswer
    from .messages import RelayRequest
    from .relay_policy import RelayPolicy
    from .routes.route import Route
    from .routes.service import Service
    from .routes.workspace import Workspace
    from .streams.resumptions import Resumptions
    from .streams.stream_binding import StreamBinding
    from .streams.stream_moves import StreamMoves

# Attempts that never reach an endpoint do not count against the route's limit, but the caller
# waits for each of them.
MAX_TRIES = 6
# How many gateways of one remote region a request is sent to.
MAX_HOPS_PER_REGION = 2
# The same for the own region; tries are left for the others if its endpoints are down.
MAX_HOPS_IN_OWN_REGION = 3
# After this many endpoints that could not be reached, another gateway of the region is tried.
MAX_UNREACHED = 2
MAX_NEW_STREAM_RETRY_AFTER_S = 0.1
# How long a request waits in this gateway while all engines are saturated with prefill, as a share
# of its latency target, and how often it checks for a free one.
CAPACITY_WAIT_SHARE = 0.5
CAPACITY_CHECK_INTERVAL_S = 0.03
# A region that returned a request as saturated is asked again after this time, in which it reports
# its load to other regions.
RETURNED_RETRY_S = 0.2
# How long a request waits for units of its workspace's quota, as a share of its latency target.
QUOTA_WAIT_SHARE = 0.25
VERSION_GONE_DETAIL = "no endpoint of the software version that began the stream is available"
VERSION_UNKNOWN_DETAIL = "the software version that began the stream is not known; begin it anew"
# The least urgent priority that endpoints know.
MAX_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Components that all requests of a gateway share."""

    region: RegionId
    loop: CurlLoop
    local: LocalAttempts
    regions: RegionAttempts
    peers: PeerTable
    policy: RelayPolicy
    resumptions: Resumptions
    quotas: QuotaLeases
    moves: StreamMoves
    on_done: Callable[[DecisionRecord], None]


@dataclass(slots=True)
class _Progress:
    """Accumulated results of the attempts of a request.

    ``sends`` counts the attempts that reached an endpoint. ``tries`` counts all attempts except
    those that were denied a permit, which ``permits_denied`` counts. ``unreached`` counts endpoints
    of the own region that did not get the request. ``is_next_paid``: the next attempt is taken
    from the retry budget already.
    """

    sends: int = 0
    tries: int = 0
    permits_denied: int = 0
    unreached: int = 0
    events: int = 0
    last_event_id: str = ""
    may_have_run: bool = False
    is_stream_complete: bool = False
    is_next_paid: bool = False
    last_failure: CompleteAnswer | None = None
    reason: str = ""
    retry_after_s: float | None = None


class RequestRun:
    """Sends one request until it is answered or has failed."""

    def __init__(
        self,
        context: RelayContext,
        request: RelayRequest,
        metadata: RequestMetadata,
        channel: AnswerChannel,
        route: Route,
        service: Service,
        record: DecisionRecord,
        workspace: Workspace | None = None,
    ) -> None:
        self._workspace = workspace
        self._quota_grant = UNLIMITED
        self._context = context
        self._policy = context.policy
        self._request = request
        self._metadata = metadata
        self._channel = channel
        self._route = route
        self._service = service
        self._record = record
        self._progress = _Progress(last_event_id=metadata.last_event_id)
        self._excluded: set[EndpointId] = set()
        # Endpoints that got the request, however its attempt there ended.
        self._reached: set[EndpointId] = set()
        self._hops: Counter[RegionId] = Counter()
        self._excluded_peers: set[InstanceId] = set()
        # Until when regions are not asked again that returned the request as saturated.
        self._returned_until_s: dict[RegionId, float] = {}
        # Regions in which the last choice needed an endpoint and found all saturated.
        self._saturated_regions: list[RegionId] = []
        self._caller_watch = CallerWatch()
        limit_ms = route.timeout_ms
        if metadata.deadline_ms is not None:
            limit_ms = min(limit_ms, metadata.deadline_ms)
        suspect = suspect_of_request(request, service.name, metadata.generation)
        record.fingerprint = suspect.fingerprint
        self._plan = AttemptPlan(
            request,
            metadata.request_id,
            suspect,
            service.name,
            metadata.generation,
            request.received_s + limit_ms / 1000,
            min(MAX_PRIORITY, BASE_PRIORITY + route.priority),
            metadata.last_event_id,
            may_be_repeated=False,
            target_ms=route.latency_target_ms,
        )

    @property
    def time_limit_s(self) -> float:
        """The monotonic time at which the request is given up."""
        return self._plan.deadline_s

    @property
    def _is_urgent(self) -> bool:
        return self._plan.is_urgent

    @property
    def _may_be_repeated(self) -> bool:
        return self._route.is_repeatable or self._route.is_resumable

    def run(self) -> None:
        """Make attempts until the request is answered or its caller disconnects."""
        if not self._is_admitted() or not self._is_bound() or not self._is_within_quota():
            return
        connection = self._channel.connection
        with (
            self._caller_watch.releasing_answers(),
            watch_disconnect(self._context.loop, connection, self._caller_watch.note_disconnected),
        ):
            while not self._caller_watch.is_disconnected:
                if self._caller_watch.is_given_up:
                    self._give_up_at_stop()
                    return
                if self._plan.remaining_ms <= 0:
                    self._give_up_past_deadline()
                    return
                option = self._choose_option()
                self._note_shortages()
                if option is None:
                    if self._returned_regions():
                        if not self._wait_for_capacity():
                            return
                        continue
                    self._give_up_without_option()
                    return
                if self._reject_if_late(option):
                    return
                if _is_saturated(option):
                    if not self._wait_for_capacity():
                        return
                    continue
                if self._must_stop_sending():
                    self._give_up_quarantined()
                    return
                if not self._may_send_again():
                    self._give_up_after_failure("no further attempt is allowed")
                    return
                if self._handle_outcome(self._attempt(option)):
                    return
        self._finish("caller-left")

    def preview(self) -> LocalOption | RegionOption | None:
        """Return where the request would be sent now; nothing is sent, charged or answered.

        It must be a request that takes up no stream.
        """
        self._is_bound()
        self._plan = replace(self._plan, contending=self._contending())
        return self._choose_option()

    @property
    def plan(self) -> AttemptPlan:
        """The parameters of the request's attempts."""
        return self._plan

    def give_up(self, ends_begun: bool) -> None:
        """Answer at once, because the process ends; a begun stream only if ``ends_begun``."""
        if ends_begun or self._channel.state is ChannelState.UNANSWERED:
            self._caller_watch.give_up()

    def _is_admitted(self) -> bool:
        """Return whether the quarantine admits the request; answer it if not."""
        admittance = self._context.local.crash_attribution.admit(self._plan.suspect)
        if admittance.held_part:
            self._give_up_held_part(admittance.held_part, admittance.wait_s)
            return False
        if admittance.wait_s > 0:
            self._give_up_quarantined()
            return False
        self._plan = replace(self._plan, suspect=admittance.suspect)
        return True

    def _is_bound(self) -> bool:
        """Bind a stream that may be resumed to the version that began it, if it has begun.

        Return whether the stream may be sent; refuse it if not.
        """
        if self._route.kind is not RouteKind.STREAM or not self._route.is_resumable:
            return True
        metadata, version = self._metadata, None
        ids = [metadata.request_id]
        if metadata.last_event_id:
            key = stream_key(self._request, metadata.resumes) if metadata.resumes else None
            resumption = self._context.resumptions.resume(self._service.name, key)
            self._record.note_resumption(metadata.resumes, resumption)
            version = resumption.version
            ids.append(RequestId(metadata.resumes))
        if version == UNKNOWN_VERSION:
            problem = Problem(ErrorKind.NO_ENDPOINT, VERSION_UNKNOWN_DETAIL)
            # The stream can begin anew at once; waiting does not make its version known.
            self._give_up(problem, random.uniform(0.0, MAX_NEW_STREAM_RETRY_AFTER_S))
            return False
        keys = tuple(stream_key(self._request, name) for name in ids if name)
        binding = self._context.resumptions.binding(self._service.name, keys, version)
        self._plan = replace(self._plan, binding=binding)
        return True

    def _is_within_quota(self) -> bool:
        """Charge the request to its workspace's quota; answer it if it is over the quota."""
        if self._workspace is None:
            return True
        max_wait_ms = min(
            self._route.latency_target_ms * QUOTA_WAIT_SHARE, self._plan.remaining_ms / 2
        )
        grant = self._context.quotas.acquire(
            self._workspace, self._metadata.quota_tokens, max_wait_ms / 1000
        )
        self._quota_grant = grant
        if grant.is_granted:
            return True
        if grant.is_unknown:
            problem = Problem(ErrorKind.GATEWAY_NOT_READY, "no gateway issues the quota yet")
        else:
            problem = Problem(ErrorKind.QUOTA_EXCEEDED, "the workspace's quota is used up")
        self._give_up(problem, grant.retry_after_s)
        return False

    @property
    def _binding(self) -> StreamBinding | None:
        return self._plan.binding

    def _serves(self, region: RegionId) -> bool:
        """Whether a region has an endpoint of the version that began the stream."""
        version = self._binding.version if self._binding is not None else None
        return version is None or self._context.local.serves_version(self._service, region, version)

    def _choose_option(self) -> LocalOption | RegionOption | None:
        if self._progress.tries >= MAX_TRIES:
            return None
        route = self._route
        contending = self._contending()
        local = None
        if route.permits(self._context.region):
            options = self._context.local.rank(
                self._service,
                self._plan.generation,
                self._excluded,
                self._is_urgent,
                self._progress.permits_denied,
                self._binding,
                contending=contending,
            )
            local = options[0] if options else None
        remote = self._context.regions.best(
            self._service,
            self._plan.generation,
            route.home_regions,
            [
                *(region for region, hops in self._hops.items() if hops >= MAX_HOPS_PER_REGION),
                *self._returned_regions(),
            ],
            self._excluded_peers,
            self._is_urgent,
            self._serves,
            contending,
        )
        through_peer = self._choose_own_peer(has_local=local is not None)
        if through_peer is not None and (remote is None or through_peer.score <= remote.score):
            remote = through_peer
        if through_peer is not None and self._progress.unreached >= MAX_UNREACHED:
            local = None
        self._record.note_options(local, remote)
        self._saturated_regions = []
        if local is not None and _is_saturated(local):
            self._saturated_regions.append(self._context.region)
        # Urgent requests that have an engine here need none of another region.
        if remote is not None and _is_saturated(remote) and (local is None or _is_saturated(local)):
            self._saturated_regions.append(remote.region)
        if remote is None:
            return local
        if local is None or prefers_remote_region(local.choice, remote, self._contended_target_ms):
            return remote
        return local

    def _returned_regions(self) -> list[RegionId]:
        """Return the regions that returned the request as saturated a moment ago."""
        now_s = time.monotonic()
        return [region for region, until_s in self._returned_until_s.items() if now_s < until_s]

    def _note_returned(self, option: RegionOption) -> None:
        """Ask a region that returned the request as saturated again when its load is known."""
        self._returned_until_s[option.region] = time.monotonic() + RETURNED_RETRY_S
        self._hops[option.region] -= 1
        self._excluded_peers.discard(option.peer.instance)
        self._progress.tries -= 1

    def _note_shortages(self) -> None:
        """Have less urgent requests yield where this one found all engines saturated."""
        contending = self._contending() if self._saturated_regions else None
        for region in self._saturated_regions:
            self._policy.note_shortage(self._service, region, contending)

    def _contending(self) -> ContendingRequest | None:
        """Return what contention needs to know now, ``None`` if the service does not decide by it.

        A request that an endpoint has had is worth its end, also a late one.
        """
        target_ms = self._contended_target_ms
        is_engine = self._service.engine is not None
        if not is_engine or not target_ms or self._progress.sends > 0:
            return None
        waited_ms = (time.monotonic() - self._request.received_s) * 1000
        return ContendingRequest(self._route.priority, remaining_budget_ms(target_ms, waited_ms))

    @property
    def _contended_target_ms(self) -> float | None:
        """The latency target if the service decides by contention, else ``None``."""
        is_contended = self._policy.is_contended(self._service.name)
        return self._route.latency_target_ms if is_contended else None

    def _choose_own_peer(self, has_local: bool) -> RegionOption | None:
        """Return a gateway of the own region to which the request may go, if it has no endpoint."""
        route = self._route
        if has_local and self._progress.unreached < MAX_UNREACHED:
            return None
        region = self._context.region
        is_tried_enough = (
            self._hops[region] >= MAX_HOPS_IN_OWN_REGION or region in self._returned_regions()
        )
        if is_tried_enough or not route.permits(region):
            return None
        generation = self._plan.generation
        summary = self._context.local.summary_beyond_reach(self._service, generation, self._binding)
        return self._context.regions.through_own_region(
            self._service, summary, generation, self._excluded_peers, self._is_urgent
        )

    def _reject_if_late(self, option: LocalOption | RegionOption) -> bool:
        """Reject an unsent request whose first byte is expected after the deadline.

        Return whether the request was rejected.
        """
        first_ms = option.choice.first_ms if isinstance(option, LocalOption) else option.first_ms
        if self._progress.sends > 0 or first_ms <= self._plan.remaining_ms:
            return False
        excess_s = (first_ms - self._route.latency_target_ms) / 1000
        problem = Problem(
            ErrorKind.WOULD_BE_LATE,
            f"the first byte is expected after {first_ms:.0f} ms, "
            f"but only {self._plan.remaining_ms:.0f} ms remain until the deadline",
        )
        self._give_up(problem, min(MAX_RETURN_S, max(MIN_RETURN_S, excess_s)))
        return True

    def _wait_for_capacity(self) -> bool:
        """Sleep for one check interval while all engines are saturated.

        Return ``False`` if the longest wait is over and the request has been answered.
        """
        waited_ms = (time.monotonic() - self._request.received_s) * 1000
        limit_ms = min(self._route.latency_target_ms * CAPACITY_WAIT_SHARE, self._plan.remaining_ms)
        if waited_ms < limit_ms:
            time.sleep(CAPACITY_CHECK_INTERVAL_S)
            return True
        if self._progress.may_have_run:
            self._give_up_after_failure("the other endpoints are saturated")
            return False
        problem = Problem(ErrorKind.WOULD_BE_LATE, "all endpoints are saturated")
        latest_s = latest_return_s(self._plan.remaining_ms / 1000, self._least_yield_factor())
        self._give_up(problem, random.uniform(MIN_RETURN_S, latest_s))
        return False

    def _least_yield_factor(self) -> float:
        """Return the yield factor of the region with the longest shortage for this request."""
        places = [EnginePlace(self._service.name, region) for region in self._saturated_regions]
        return min(map(self._policy.urgent_demand.yield_factor, places), default=1.0)

    def _must_stop_sending(self) -> bool:
        """Whether the request has used its trial or was quarantined after its admission."""
        suspect = self._plan.suspect
        is_trial_used = suspect.is_on_trial and self._progress.may_have_run
        return is_trial_used or self._context.local.crash_attribution.is_quarantined_since(suspect)

    def _may_send_again(self) -> bool:
        progress = self._progress
        if progress.sends == 0:
            return True
        if progress.sends >= self._route.max_attempts:
            return False
        if progress.may_have_run and not self._may_be_repeated:
            return False
        if progress.is_next_paid:
            progress.is_next_paid = False
            return True
        return self._policy.budget.spend(self._service.name, self._context.peers.live_count())

    def _attempt(self, option: LocalOption | RegionOption) -> AttemptOutcome:
        self._progress.tries += 1
        has_attempts_left = self._progress.sends + 1 < self._route.max_attempts
        plan = replace(
            self._plan,
            last_event_id=self._progress.last_event_id,
            may_be_repeated=self._may_be_repeated and has_attempts_left,
            contending=self._contending(),
        )
        sink = None
        if self._route.kind is RouteKind.STREAM:
            sink = ChannelSink(self._channel)
        self._record.note_attempt(option)
        match option:
            case LocalOption(endpoint):
                self._excluded.add(endpoint.endpoint)
                outcome = self._run_locally(option, plan, sink)
            case RegionOption(region, peer):
                self._hops[region] += 1
                self._excluded_peers.add(peer.instance)
                outcome = self._context.regions.run(
                    option,
                    plan,
                    self._route,
                    tuple(self._reached),
                    sink,
                    self._caller_watch.set_current_attempt,
                )
                if isinstance(outcome, NotRun) and outcome.reason == SATURATED_DETAIL:
                    self._note_returned(option)
        self._record.note_outcome(outcome)
        if isinstance(option, LocalOption):
            if isinstance(outcome, NotRun) and not outcome.is_sent:
                self._progress.unreached += not outcome.is_permit_denied
            else:
                self._reached.add(option.endpoint.endpoint)
        return outcome

    def _run_locally(
        self, option: LocalOption, plan: AttemptPlan, sink: StreamSink | None
    ) -> AttemptOutcome:
        local, service = self._context.local, self._service
        if sink is None or not self._route.is_resumable or not plan.may_be_repeated:
            return local.run(option, service, plan, sink, self._caller_watch.set_current_attempt)
        stream = MovableStream(
            plan.request_id,
            option.endpoint.run,
            option.choice.first_ms,
            self._policy.slot_times.hold_ms(service.name),
            self._expected_events(),
            self._reserve_move,
        )

        def on_start(call: AttemptCall) -> None:
            stream.start(call)
            self._caller_watch.set_current_attempt(call)

        with self._context.moves.running(stream):
            outcome = local.run(option, service, plan, sink, on_start)
        if stream.is_moving:
            self._progress.is_next_paid = isinstance(outcome, Moved)
            self._context.moves.note_end(self._progress.is_next_paid)
            if not self._progress.is_next_paid:
                self._policy.budget.refund(service.name)
        return outcome

    def _expected_events(self) -> float:
        """Return how many events the next attempt is expected to add, 0 if unknown."""
        engine = self._service.engine
        # A caller that takes up a stream does not say how many events it has.
        if engine is None or engine.tokens_per_event <= 0 or self._metadata.last_event_id:
            return 0.0
        events = self._plan.generation.answer_tokens / engine.tokens_per_event
        return max(0.0, events - self._progress.events)

    def _reserve_move(self) -> MoveOutcome | None:
        """Take an attempt elsewhere from the retry budget; return why not if that is impossible.

        Runs on another thread while the stream's attempt runs.
        """
        plan, local = self._plan, self._context.local
        is_held = local.crash_attribution.is_quarantined_since(plan.suspect)
        if plan.suspect.is_on_trial or is_held or self._progress.tries >= MAX_TRIES:
            return MoveOutcome.NOT_ALLOWED
        options = local.rank(
            self._service,
            plan.generation,
            self._excluded,
            self._is_urgent,
            self._progress.permits_denied,
            plan.binding,
        )
        if not options or options[0].choice.is_saturated:
            return MoveOutcome.NO_ENDPOINT
        if options[0].choice.first_ms > plan.remaining_ms:
            return MoveOutcome.NO_ENDPOINT
        if not self._policy.budget.spend(self._service.name, self._context.peers.live_count()):
            return MoveOutcome.NO_BUDGET
        return None

    def _handle_outcome(self, outcome: AttemptOutcome) -> bool:
        """Process the outcome of an attempt and return whether the request is finished."""
        progress = self._progress
        match outcome:
            case NotRun(reason, is_sent, retry_after_s, is_permit_denied):
                if progress.sends > 0 and not is_sent:
                    self._policy.budget.refund(self._service.name)
                progress.sends += is_sent
                progress.tries -= is_permit_denied
                progress.permits_denied += is_permit_denied
                progress.reason = reason
                progress.retry_after_s = retry_after_s
                return False
            case Answered(answer, is_failure):
                progress.sends += 1
                progress.may_have_run = True
                if is_failure and self._route.is_repeatable:
                    progress.last_failure = answer
                    progress.reason = f"status {answer.head.status}"
                    return False
                return self._send_answer(answer)
            case StreamEnded(events):
                progress.events += events
                progress.is_stream_complete = True
                is_sent = self._channel.end_stream()
                if is_sent and self._binding is not None:
                    self._binding.complete()
                self._finish("answered" if is_sent else "caller-left")
                return True
            case StreamBroken(reason, last_event_id, events) | Moved(reason, last_event_id, events):
                progress.sends += 1
                progress.may_have_run = True
                progress.events += events
                progress.last_event_id = last_event_id or progress.last_event_id
                progress.reason = reason
                return False
            case Lost(reason):
                progress.sends += 1
                progress.may_have_run = True
                progress.reason = reason
                if outcome.exceeds_memory:
                    # The answer of another endpoint would be as large.
                    self._give_up_after_failure("it is not asked for again")
                return outcome.exceeds_memory
            case CallerLeft():
                progress.may_have_run = True
                if self._caller_watch.is_given_up and not self._caller_watch.is_disconnected:
                    self._give_up_at_stop()
                else:
                    self._finish("caller-left")
                return True

    def _send_answer(self, answer: CompleteAnswer) -> bool:
        if self._channel.state is ChannelState.STREAMING:
            self._abort_stream(f"the stream could not be resumed: status {answer.head.status}")
            return True
        self._caller_watch.offer_answers(self._channel.give_up_if_slow)
        is_sent = self._channel.send(answer)
        self._finish("answered" if is_sent else "caller-left")
        return True

    def _give_up_past_deadline(self) -> None:
        if self._progress.last_failure is not None:
            self._send_answer(self._progress.last_failure)
            return
        kind = ErrorKind.DEADLINE_PASSED
        self._give_up(
            Problem(kind, f"no answer before the deadline; {self._progress.reason}"), None
        )

    def _give_up_at_stop(self) -> None:
        if self._progress.last_failure is not None:
            self._send_answer(self._progress.last_failure)
        elif self._progress.may_have_run:
            self._give_up(Problem(ErrorKind.ENDPOINT_FAILED, STOP_DETAIL), None)
        else:
            self._give_up(Problem(ErrorKind.GATEWAY_DRAINING, STOP_DETAIL), STOPPING_RETRY_AFTER_S)

    def _give_up_without_option(self) -> None:
        if self._progress.may_have_run:
            self._give_up_after_failure("no other endpoint is available")
            return
        detail = self._progress.reason or "no endpoint is available"
        if not any(map(self._serves, (self._context.region, *self._context.peers.regions()))):
            detail = VERSION_GONE_DETAIL
        remote_s = self._progress.retry_after_s
        wait_s = remote_s or _random_retry_after_s()
        local_s = self._context.local.earliest_send_s(self._service, self._is_urgent)
        if local_s > 0:
            earliest_s = min(local_s, remote_s or local_s)
            # Randomized like the other waits, so that callers do not all retry at once.
            wait_s = earliest_s + _random_retry_after_s() - MIN_RETURN_S
            detail = self._progress.reason or "all endpoints asked for fewer requests"
        self._give_up(Problem(ErrorKind.NO_ENDPOINT, detail), wait_s)

    def _give_up_quarantined(self) -> None:
        if self._progress.last_failure is not None:
            self._send_answer(self._progress.last_failure)
            return
        suspect = self._plan.suspect
        part = self._context.local.crash_attribution.held_part(suspect)
        if part is not None and not self._progress.may_have_run:
            self._give_up_held_part(part.key, self._policy.quarantine.wait_s(part.key))
            return
        wait_s = self._policy.quarantine.wait_s(suspect.fingerprint)
        self._give_up(Problem(ErrorKind.ENDPOINT_FAILED, CRASHED_DETAIL), wait_s or None)

    def _give_up_held_part(self, key: Fingerprint, wait_s: float) -> None:
        """Refuse a request that has not run, until a prompt with the part may be tried."""
        self._record.held_part = key
        # Randomized like the other waits, so that callers do not all retry at once.
        retry_after_s = wait_s + _random_retry_after_s() - MIN_RETURN_S
        self._give_up(Problem(ErrorKind.NO_ENDPOINT, HELD_PART_DETAIL), retry_after_s)

    def _give_up_after_failure(self, detail: str) -> None:
        progress = self._progress
        if progress.last_failure is not None:
            self._send_answer(progress.last_failure)
        elif progress.may_have_run:
            text = f"{progress.reason}; {detail}"
            self._give_up(Problem(ErrorKind.ENDPOINT_FAILED, text), None)
        else:
            wait_s = progress.retry_after_s or _random_retry_after_s()
            self._give_up(Problem(ErrorKind.NO_ENDPOINT, progress.reason), wait_s)

    def _give_up(self, problem: Problem, retry_after_s: float | None) -> None:
        if self._channel.state is ChannelState.STREAMING:
            self._abort_stream(problem.detail)
            return
        self._record.reason = problem.detail
        self._channel.send(problem_answer(problem, retry_after_s))
        self._finish(problem.kind.value)

    def _abort_stream(self, reason: str) -> None:
        self._record.reason = reason
        self._channel.abort()
        self._finish("broken-off")

    def _finish(self, outcome: str) -> None:
        if not self._progress.may_have_run:
            self._context.local.crash_attribution.withdraw_trial(self._plan.suspect)
            if not self._progress.is_stream_complete:
                self._context.quotas.give_back(self._quota_grant)
        self._record.close(outcome, self._channel.status)
        self._context.on_done(self._record)


def _is_saturated(option: LocalOption | RegionOption) -> bool:
    if isinstance(option, LocalOption):
        return option.choice.is_saturated
    return option.is_saturated


def _random_retry_after_s() -> float:
    """Return a random ``Retry-After`` in seconds, so that callers do not all retry at once."""
    return random.uniform(MIN_RETURN_S, MAX_RETURN_S)
