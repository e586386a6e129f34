"""Attempts on endpoints of the own region: ranking, sending and evaluation of the outcome."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.endpoint_loads import NO_WORK
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.part_cache import CachedTokens
from primroseferry_policy.part_copy import CopySources
from primroseferry_policy.part_copy import PartHolder
from primroseferry_policy.placement import Candidate
from primroseferry_policy.placement import rank_calls
from primroseferry_policy.placement import rank_engines
from primroseferry_policy.prompt import Generation

from .attempts.endpoint_call import EndpointAttempt
from .attempts.endpoint_call import EndpointCall
from .attempts.outcome import Answered
from .attempts.outcome import Lost
from .attempts.outcome import NotRun
from .attempts.outcome import StreamBroken
from .attempts.outcome import StreamEnded
from .attempts.stream_pauses import StreamPauses
from .capacity_observer import CapacityObserver
from .crash_attribution import BlameReporter
from .crash_attribution import CrashAttribution
from .endpoint_adapter import EndpointRequestOptions
from .endpoints.brittle_endpoints import REST_S
from .endpoints.brittle_endpoints import BrittleEndpoints
from .endpoints.endpoint_reach import OTHER_ENDPOINT_STATUS
from .endpoints.sample import choose_sample
from .membership.peer import ServiceSummary
from .relay_policy import PlacedRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_loads import OpenRequest
    from primroseferry_policy.placement import Choice
    from primroseferry_transport.curl_loop import CurlLoop

    from .attempts.attempt_call import AttemptCall
    from .attempts.attempt_call import StreamSink
    from .attempts.outcome import AttemptOutcome
    from .contending_request import ContendingRequest
    from .endpoint_adapter import EndpointAdapter
    from .endpoint_adapter import ReplyMetadata
    from .endpoints.catalog import EndpointCatalog
    from .endpoints.endpoint import Endpoint
    from .endpoints.endpoint import EndpointRun
    from .endpoints.endpoint_reach import EndpointReach
    from .endpoints.run_verification import RunVerification
    from .endpoints.software_version import VersionHash
    from .membership.peer_table import PeerTable
    from .membership.request_permits import RequestPermits
    from .messages import AnswerHead
    from .messages import RelayRequest
    from .relay_policy import RelayPolicy
    from .routes.service import EngineSize
    from .routes.service import Service
    from .streams.stream_binding import StreamBinding
    from .suspect import Suspect

# A repeatable request goes to another endpoint once its first byte takes this many times as long
# as expected.
FIRST_BYTE_TIMEOUT_RATIO = 4.0
MIN_FIRST_BYTE_TIMEOUT_MS = 400.0
# The timeout is at least this many latency targets: while the answer may still be in time, a retry
# would repeat the prefill that an overloaded endpoint has already done.
MIN_FIRST_BYTE_TIMEOUT_TARGETS = 1.0
# Priority sent to endpoints, 0 is the most urgent; the route's own priority is added to the base.
BASE_PRIORITY = 3
# How often a request asks for a permit; each time takes a round trip within the region.
MAX_PERMITS_DENIED = 4
# Status of an endpoint that rejects a request because it is overloaded.
OVERLOADED_STATUS = 503
# Statuses of an endpoint that has no room for a request.
FULL_STATUSES = frozenset({429, OVERLOADED_STATUS})
# Reference request for the summary that other regions receive: a prompt that is mostly cached.
TYPICAL_GENERATION = Generation(prompt_tokens=1_000, answer_tokens=200)


@dataclass(frozen=True, slots=True)
class LocalOption:
    """An endpoint of the own region with its expected time to the first byte and its score."""

    endpoint: Endpoint
    choice: Choice


class Obstacle(Enum):
    """Why an endpoint of the own region may not get a request now."""

    NOT_AVAILABLE = "not ready, leaving, or in an evacuated failure domain"
    OTHER_VERSION = "of a software version that begins no streams"
    NOT_USABLE = "its circuit is open, this gateway cannot reach it, or its slots are taken"
    RESTING = "it asked for a pause, or its request limit is used up"
    LIMITED = "it names a request limit, and permits were denied too often"
    COLD = "cold, and another gateway warms it up or its rate is used up"


@dataclass(frozen=True, slots=True)
class EndpointView:
    """A listed endpoint of the own region, and why it may not get a request now.

    ``choice`` is ``None`` if there is an obstacle.
    """

    endpoint: Endpoint
    cached_tokens: int
    choice: Choice | None
    obstacle: Obstacle | None


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Parameters of an attempt, in the own or in a remote region.

    ``deadline_s`` is a monotonic time. ``target_ms`` is the longest time to the first byte that
    earns full credit. ``binding`` is set for a stream that may be resumed. ``contending`` is set if
    the service decides by contention.
    """

    request: RelayRequest
    request_id: str
    suspect: Suspect
    service: ServiceId
    generation: Generation
    deadline_s: float
    priority: int
    last_event_id: str
    may_be_repeated: bool
    target_ms: float = 0.0
    binding: StreamBinding | None = None
    contending: ContendingRequest | None = None

    @property
    def is_urgent(self) -> bool:
        """Whether the request belongs to a route of the most urgent priority."""
        return self.priority <= BASE_PRIORITY

    @property
    def remaining_ms(self) -> float:
        """Milliseconds until the deadline, never below 0."""
        return max(0.0, (self.deadline_s - time.monotonic()) * 1000)


class PeerReporter(BlameReporter, Protocol):
    """Reports events of attempts to the other gateways."""

    def send_placement(self, placed: PlacedRequest) -> None:
        """Report to the region's gateways a request that is about to be sent to an endpoint."""

    def send_endpoint_leaving(self, run: EndpointRun) -> None:
        """Report to the region's gateways an endpoint that announced that it is leaving."""

    def send_request_limits(self) -> None:
        """Report to the region's gateways a limit that was just named, changed or lifted."""


class LocalAttempts:
    """Sends requests of one gateway to endpoints of its own region."""

    def __init__(
        self,
        region: RegionId,
        loop: CurlLoop,
        adapter: EndpointAdapter,
        catalog: EndpointCatalog,
        peers: PeerTable,
        policy: RelayPolicy,
        reporter: PeerReporter,
        permits: RequestPermits,
        reach: EndpointReach,
        runs: RunVerification,
    ) -> None:
        self._region = region
        self._loop = loop
        self._adapter = adapter
        self._catalog = catalog
        self._peers = peers
        self._policy = policy
        self._reporter = reporter
        self._permits = permits
        self._brittle = BrittleEndpoints(peers)
        self._reach = reach
        self._runs = runs
        self.crash_attribution = CrashAttribution(
            policy.quarantine,
            catalog,
            reporter,
            trial_rank=peers.own_rank,
            is_partitioned=lambda: reach.is_partitioned,
            live_count=peers.live_count,
        )

    def rank(
        self,
        service: Service,
        generation: Generation,
        excluded: Collection[EndpointId],
        is_urgent: bool = True,
        permits_denied: int = 0,
        binding: StreamBinding | None = None,
        needs_reach: bool = True,
        contending: ContendingRequest | None = None,
    ) -> list[LocalOption]:
        """Return the endpoints that may receive the request now, best first.

        A request that was denied ``MAX_PERMITS_DENIED`` permits is not sent to endpoints that name
        a request limit. ``binding`` limits a stream to the endpoints of its software version.
        Without ``needs_reach``, endpoints that only this gateway may fail to reach are included.
        ``contending`` is set if the service decides by contention.
        """
        may_ask = permits_denied < MAX_PERMITS_DENIED
        available = self._catalog.available_endpoints(service.name, self._region)
        if binding is not None:
            available = self._fitting_endpoints(available, binding.version)
        endpoints = [
            endpoint
            for endpoint in available
            if endpoint.endpoint not in excluded
            and self._find_obstacle(endpoint, service, is_urgent, may_ask, needs_reach) is None
        ]
        if service.engine is not None:
            holders = {
                endpoint.endpoint: self._part_holder(endpoint, generation) for endpoint in endpoints
            }
            sample = choose_sample(
                endpoints,
                generation,
                lambda endpoint: holders[endpoint.endpoint].cached.tokens,
                self._policy.loads.unreported_placements,
            )
        else:
            holders = {}
            sample = choose_sample(endpoints, generation)
        return self._compare(service, generation, is_urgent, sample, holders, available, contending)

    def _compare(
        self,
        service: Service,
        generation: Generation,
        is_urgent: bool,
        sample: Sequence[Endpoint],
        holders: Mapping[EndpointId, PartHolder],
        available: Sequence[Endpoint],
        contending: ContendingRequest | None = None,
    ) -> list[LocalOption]:
        """Return the endpoints of a sample, best first; engines need ``holders`` of the usable."""
        if service.engine is not None:
            sampled_holders = [holders[endpoint.endpoint] for endpoint in sample]
            limited_holders = [
                self._part_holder(endpoint, generation)
                for endpoint in self._limited_endpoints(available, is_urgent)
                if endpoint.endpoint not in holders
            ]
            engines = self._engine_candidates(
                sampled_holders,
                limited_holders,
                service,
                service.engine,
                generation,
                contending.budget_ms if contending is not None else None,
            )
            if contending is not None:
                is_urgent = contending.is_urgent_in(service, self._region)
            choices = rank_engines(engines, generation, is_urgent)
        else:
            calls = [self._call_candidate(endpoint) for endpoint in sample]
            choices = rank_calls(calls, self._policy.pace.call_ms(service.name))
        endpoints_by_id = {endpoint.endpoint: endpoint for endpoint in sample}
        return [LocalOption(endpoints_by_id[choice.endpoint], choice) for choice in choices]

    def note_shortage(self, service: Service, contending: ContendingRequest) -> None:
        """Record that a request found all engines of this region saturated."""
        self._policy.note_shortage(service, self._region, contending)

    def views(
        self,
        service: Service,
        generation: Generation,
        is_urgent: bool,
        binding: StreamBinding | None = None,
        contending: ContendingRequest | None = None,
    ) -> list[EndpointView]:
        """Return all listed endpoints of a service in this region, as ``rank`` judges them.

        ``rank`` compares only a sample of the usable ones.
        """
        region = self._region
        available = self._catalog.available_endpoints(service.name, region)
        fitting = self._fitting_endpoints(available, binding.version) if binding else available
        obstacles: dict[EndpointId, Obstacle | None] = {}
        for endpoint in self._catalog.entries().values():
            if endpoint.service != service.name or endpoint.region != region:
                continue
            if endpoint not in available:
                obstacles[endpoint.endpoint] = Obstacle.NOT_AVAILABLE
            elif endpoint not in fitting:
                obstacles[endpoint.endpoint] = Obstacle.OTHER_VERSION
            else:
                obstacles[endpoint.endpoint] = self._find_obstacle(endpoint, service, is_urgent)
        usable = [
            endpoint for endpoint in available if obstacles.get(endpoint.endpoint, "") is None
        ]
        holders = {
            endpoint.endpoint: self._part_holder(endpoint, generation) for endpoint in usable
        }
        options = self._compare(
            service, generation, is_urgent, usable, holders, available, contending
        )
        choices = {option.endpoint.endpoint: option.choice for option in options}
        return [
            EndpointView(
                entry,
                self._part_holder(entry, generation).cached.tokens,
                choices.get(name),
                obstacle,
            )
            for name, obstacle in obstacles.items()
            if (entry := self._catalog.find(name)) is not None
        ]

    def _find_obstacle(
        self,
        endpoint: Endpoint,
        service: Service,
        is_urgent: bool,
        may_ask: bool = True,
        needs_reach: bool = True,
    ) -> Obstacle | None:
        """Return why an available endpoint may not get a request now, ``None`` if it may."""
        if needs_reach and not self._is_usable(endpoint):
            return Obstacle.NOT_USABLE
        if self._wait_s(endpoint, is_urgent) > 0:
            return Obstacle.RESTING
        if not may_ask and self._policy.request_limits.limit_per_s(endpoint.run) is not None:
            return Obstacle.LIMITED
        if not self._may_send_cold(endpoint, service):
            return Obstacle.COLD
        return None

    def _fitting_endpoints(
        self, available: list[Endpoint], version: VersionHash | None
    ) -> list[Endpoint]:
        """Return the endpoints of a stream's version, for a new stream those that may begin it."""
        if version is not None:
            return [endpoint for endpoint in available if endpoint.version_hash == version]
        active = [endpoint for endpoint in available if self._catalog.is_version_active(endpoint)]
        return active or available

    def run(
        self,
        option: LocalOption,
        service: Service,
        plan: AttemptPlan,
        sink: StreamSink | None,
        on_start: Callable[[AttemptCall], None],
    ) -> AttemptOutcome:
        """Make one attempt. ``on_start`` receives the call before it runs, to cancel it later."""
        endpoint = option.endpoint
        times_forgotten = self._policy.times_forgotten(endpoint.endpoint)
        if not self._catalog.is_available(endpoint):
            return NotRun("the endpoint accepts no new requests", is_sent=False)
        if self._policy.backoffs.remaining_s(endpoint.endpoint) > 0:
            return NotRun("the endpoint asked for a backoff", is_sent=False)
        if not self._permits.acquire(endpoint.run, plan.is_urgent):
            reason = "the endpoint's request limit is used up"
            return NotRun(reason, is_sent=False, is_permit_denied=True)
        # A permit takes a while to come.
        if not self._catalog.is_available(endpoint):
            return NotRun("the endpoint accepts no new requests any more", is_sent=False)
        if not self._acquire_cold_send(endpoint, service, plan):
            return NotRun("the endpoint is cold and its request rate is used up", is_sent=False)
        if not self._brittle.enter(endpoint):
            return NotRun("this gateway's slots of the endpoint are taken", is_sent=False)
        try:
            with self._policy.breakers.attempt(endpoint.endpoint):
                return self._send(option, service, plan, sink, on_start, times_forgotten)
        finally:
            self._brittle.leave(endpoint)

    def serves_version(self, service: Service, region: RegionId, version: VersionHash) -> bool:
        """Whether a region has an available endpoint of a software version."""
        return self._catalog.serves_version(service.name, region, version)

    def earliest_send_s(self, service: Service, is_urgent: bool) -> float:
        """Return the seconds until a local endpoint of a service takes requests again.

        The result is 0 if for any of them neither a backoff nor a used up request limit is known.
        """
        endpoints = self._catalog.available_endpoints(service.name, self._region)
        return min((self._wait_s(endpoint, is_urgent) for endpoint in endpoints), default=0.0)

    def summary(self, service: Service) -> ServiceSummary:
        """Return the capacity and load of a service in this region, to report to other regions.

        Other gateways of the region may reach the endpoints while this one reaches none.
        """
        options = self.rank(
            service, TYPICAL_GENERATION, (), needs_reach=not self._reach.is_partitioned
        )
        return self._summarize(service, options)

    def summary_beyond_reach(
        self, service: Service, generation: Generation, binding: StreamBinding | None
    ) -> ServiceSummary:
        """Return the capacity and load of endpoints that other gateways of the region may reach.

        It is empty if no endpoint is left out for its circuit, for a lack of reach, or because its
        slots belong to other gateways.
        """
        options = [
            option
            for option in self.rank(service, generation, (), binding=binding, needs_reach=False)
            if not self._is_usable(option.endpoint)
        ]
        return self._summarize(service, options)

    def _is_usable(self, endpoint: Endpoint) -> bool:
        """Whether this gateway, and not only others, may send requests to an endpoint."""
        is_permitted = self._policy.breakers.permits(endpoint.endpoint)
        is_reached = is_permitted and self._reach.is_reachable(endpoint)
        return is_reached and self._brittle.has_room(endpoint)

    def _summarize(self, service: Service, options: list[LocalOption]) -> ServiceSummary:
        # An endpoint that named a request limit has little to offer to other regions.
        unlimited = [
            option
            for option in options
            if self._policy.request_limits.limit_per_s(option.endpoint.run) is None
        ]
        options = unlimited or options
        if not options:
            return ServiceSummary(0, 0, NO_WORK, 1.0, 0)
        best = options[0].endpoint
        slots = service.engine.slots if service.engine is not None else max(1, best.slots)
        return ServiceSummary(
            len(options),
            slots,
            self._policy.loads.work(best.endpoint),
            self._policy.slowdown(service.name, best.endpoint),
            self._policy.prefill_load.tokens_per_s(best.endpoint),
        )

    def _send(
        self,
        option: LocalOption,
        service: Service,
        plan: AttemptPlan,
        sink: StreamSink | None,
        on_start: Callable[[AttemptCall], None],
        times_forgotten: int,
    ) -> AttemptOutcome:
        endpoint, choice = option.endpoint, option.choice
        policy = self._policy
        attempt = self._endpoint_attempt(option, plan)
        open_request = policy.loads.begin(
            endpoint.endpoint,
            plan.generation,
            choice.uncached_tokens,
            choice.first_ms,
            endpoint.address,
        )
        observer = None
        if policy.profiles.is_active(service.name):
            slowdown = policy.profiles.slowdown(endpoint.endpoint)
            expected_ms = choice.first_ms / slowdown
            observer = CapacityObserver(policy, endpoint, expected_ms, times_forgotten)
        pauses = StreamPauses() if service.engine is not None and plan.contending else None
        unanswered = None
        # A brittle endpoint counts a ping as one more rejected request.
        if not self._brittle.is_brittle(endpoint):
            unanswered = self._reach.unanswered.begin(endpoint, choice.first_ms)
        try:
            if service.engine is not None:
                self._report_placement(option, service.engine, plan)
            sent_s = policy.request_limits.now_s()
            call = EndpointCall(
                self._loop,
                self._adapter,
                attempt,
                (
                    _FirstEventSink(sink, policy.loads.first_byte, open_request, observer, pauses)
                    if sink is not None
                    else None
                ),
                lambda status, metadata: self._note_reply(endpoint, status, metadata, sent_s),
                lambda metadata: self._outlives_answer(endpoint, plan, metadata),
                lambda: self._catalog.written_version(endpoint),
            )
            on_start(call)
            outcome = call.run()
            if call.may_still_run:
                self._brittle.hold(endpoint, plan.deadline_s)
        finally:
            policy.loads.end(open_request)
            if unanswered is not None:
                self._reach.unanswered.end(unanswered)
        is_same_run = policy.times_forgotten(endpoint.endpoint) == times_forgotten
        if observer is not None:
            observer.end(call.first_byte_s, outcome)
        if pauses is not None and is_same_run:
            policy.event_pace.observe(service.name, pauses.events, pauses.longest_ms)
        self._record_outcome(option, service, call, open_request, outcome, is_same_run)
        self.crash_attribution.record_outcome(endpoint, plan.suspect, plan.request_id, outcome)
        return outcome

    def _outlives_answer(
        self, endpoint: Endpoint, plan: AttemptPlan, metadata: ReplyMetadata
    ) -> bool:
        says_brittle = metadata.rejections_per_s is not None
        may_ping = not (says_brittle or self._brittle.is_brittle(endpoint))
        return self._reach.outlives_answer(endpoint, plan.remaining_ms, may_ping)

    def _endpoint_attempt(self, option: LocalOption, plan: AttemptPlan) -> EndpointAttempt:
        first_byte_timeout_ms = None
        if plan.may_be_repeated:
            first_byte_timeout_ms = int(
                max(
                    MIN_FIRST_BYTE_TIMEOUT_MS,
                    plan.target_ms * MIN_FIRST_BYTE_TIMEOUT_TARGETS,
                    option.choice.first_ms * FIRST_BYTE_TIMEOUT_RATIO,
                )
            )
        return EndpointAttempt(
            option.endpoint,
            plan.request,
            plan.request_id,
            EndpointRequestOptions(
                option.endpoint.endpoint,
                plan.remaining_ms,
                plan.priority,
                plan.last_event_id,
                self._copy_address(option.choice),
                plan.request.workspace,
            ),
            first_byte_timeout_ms,
            plan.binding,
        )

    def _report_placement(self, option: LocalOption, engine: EngineSize, plan: AttemptPlan) -> None:
        name, uncached_tokens = option.endpoint.endpoint, option.choice.uncached_tokens
        parts = plan.generation.parts
        self._policy.parts.record_prefill(name, parts, engine.cache_tokens)
        self._policy.prefill_load.note(name, uncached_tokens)
        # Plain calls are not reported. They end before the next load report, and the other
        # gateways would count them as in flight until it arrives.
        work = OpenWork(1, uncached_tokens, plan.generation.memory_tokens)
        self._reporter.send_placement(PlacedRequest(name, work, parts))

    def _engine_candidates(
        self,
        holders: Sequence[PartHolder],
        limited_holders: Sequence[PartHolder],
        service: Service,
        engine: EngineSize,
        generation: Generation,
        budget_ms: float | None,
    ) -> list[Candidate]:
        policy = self._policy
        other_holders = [*limited_holders, *self._remote_holders(service, generation)]
        sources = CopySources([*holders, *other_holders], engine.copy_tokens_per_ms)
        prefill_limits = policy.prefill_limits(service, self._region)
        return [
            Candidate(
                holder.endpoint,
                engine.slots,
                engine.cache_tokens,
                policy.loads.work(holder.endpoint),
                holder.cached.tokens,
                policy.slowdown(service.name, holder.endpoint),
                policy.loads.overdue_ms(holder.endpoint),
                policy.prefill_load.tokens_per_s(holder.endpoint),
                sources.choose(holder),
                policy.slot_times.hold_ms(service.name),
                prefill_limits,
                budget_ms,
            )
            for holder in holders
        ]

    def _part_holder(self, endpoint: Endpoint, generation: Generation) -> PartHolder:
        cached = self._policy.parts.cached_tokens(endpoint.endpoint, generation.parts)
        return PartHolder(endpoint.endpoint, endpoint.failure_domain, cached)

    def _call_candidate(self, endpoint: Endpoint) -> Candidate:
        policy = self._policy
        endpoint_id = endpoint.endpoint
        return Candidate(
            endpoint_id,
            max(1, endpoint.slots),
            cache_tokens=0,
            work=policy.loads.work(endpoint_id),
            cached_tokens=0,
            pace=policy.slowdown(endpoint.service, endpoint_id),
            overdue_ms=policy.loads.overdue_ms(endpoint_id),
        )

    def _remote_holders(self, service: Service, generation: Generation) -> list[PartHolder]:
        """Return the engine of a remote region to copy prompt parts from, if there is one."""
        remote = self._policy.remote_parts.find(generation.shared_parts)
        endpoint = self._catalog.find(remote.endpoint) if remote is not None else None
        if remote is None or endpoint is None or endpoint.service != service.name:
            return []
        is_region_reachable = endpoint.region in self._peers.regions()
        if not is_region_reachable or not self._catalog.is_available(endpoint):
            return []
        cached = CachedTokens(remote.tokens, remote.tokens)
        return [PartHolder(endpoint.endpoint, endpoint.failure_domain, cached)]

    def _copy_address(self, choice: Choice) -> str:
        """Return the address of the engine to copy from, or an empty string."""
        source = self._catalog.find(choice.copy.source) if choice.copy is not None else None
        return source.address if source is not None else ""

    def _wait_s(self, endpoint: Endpoint, is_urgent: bool) -> float:
        """Return the seconds in which an endpoint takes no requests, by its own answers."""
        backoff_s = self._policy.backoffs.remaining_s(endpoint.endpoint)
        if self._policy.request_limits.is_empty:
            return backoff_s
        return max(backoff_s, self._permits.wait_s(endpoint.run, is_urgent))

    def _limited_endpoints(self, endpoints: Iterable[Endpoint], is_urgent: bool) -> list[Endpoint]:
        """Return the endpoints whose request limit is used up for now.

        Engines may copy prompt parts from them: a copy is no request.
        """
        if self._policy.request_limits.is_empty:
            return []
        return [
            endpoint
            for endpoint in endpoints
            if self._permits.wait_s(endpoint.run, is_urgent) > 0
            and self._policy.breakers.permits(endpoint.endpoint)
        ]

    def _counts_as_cold(self, endpoint: Endpoint, service: Service) -> bool:
        if service.warmup_per_s <= 0:
            return False
        # In this order: a run is cold before the doubt about it ends.
        return self._runs.is_unverified(endpoint.run) or self._catalog.is_cold(endpoint.endpoint)

    def _may_send_cold(self, endpoint: Endpoint, service: Service) -> bool:
        if not self._counts_as_cold(endpoint, service):
            return True
        is_sender = self._peers.is_chosen(endpoint.endpoint)
        return is_sender and self._policy.cold_limiter.may_send(endpoint.endpoint)

    def _acquire_cold_send(self, endpoint: Endpoint, service: Service, plan: AttemptPlan) -> bool:
        if not self._counts_as_cold(endpoint, service):
            return True
        # The endpoint may have become cold since it was chosen.
        if not self._peers.is_chosen(endpoint.endpoint):
            return False
        if not self._policy.cold_limiter.take(endpoint.endpoint, service.warmup_per_s):
            return False
        log_event(
            Event.COLD_ENDPOINT_SEND,
            request_id=plan.request_id,
            endpoint=endpoint.endpoint,
            started_ms=endpoint.started_ms,
            is_unverified=int(self._runs.is_unverified(endpoint.run)),
        )
        return True

    def _note_reply(
        self, endpoint: Endpoint, status: int, metadata: ReplyMetadata, sent_s: float
    ) -> None:
        self._reach.unanswered.note_answer(endpoint.run)
        self._note_request_limit(endpoint.run, status, metadata, sent_s)
        self._brittle.note_answer(endpoint, metadata.rejections_per_s)
        self._note_load(endpoint, status, metadata)
        if metadata.is_leaving and self._catalog.note_leaving(endpoint.run):
            self._reporter.send_endpoint_leaving(endpoint.run)
        if self._catalog.is_listed(endpoint.run):
            if metadata.cold_ms is not None:
                self._runs.note_cold(endpoint, metadata.cold_ms)
            self._note_backoff(endpoint, status, metadata)

    def _note_load(self, endpoint: Endpoint, status: int, metadata: ReplyMetadata) -> None:
        is_own_answer = metadata.is_signed or metadata.is_not_run
        slowdown = metadata.load.slowdown if metadata.load is not None else None
        if slowdown is None or status == OTHER_ENDPOINT_STATUS or not is_own_answer:
            return
        if self._catalog.is_listed(endpoint.run):
            self._policy.profiles.note_report(endpoint.service, endpoint.endpoint, slowdown)

    def _note_backoff(self, endpoint: Endpoint, status: int, metadata: ReplyMetadata) -> None:
        if metadata.is_not_run and status in FULL_STATUSES and self._brittle.is_brittle(endpoint):
            self._policy.backoffs.note(endpoint.endpoint, REST_S)
        if status == OVERLOADED_STATUS and metadata.rest_s is not None:
            self._policy.backoffs.note(endpoint.endpoint, metadata.rest_s)
            log_event(Event.ENDPOINT_BACKOFF, endpoint=endpoint.endpoint, rest_s=metadata.rest_s)

    def _note_request_limit(
        self, run: EndpointRun, status: int, metadata: ReplyMetadata, sent_s: float
    ) -> None:
        limit_per_s = metadata.request_limit_per_s
        # Bytes that are no answer of the endpoint do not lift its limit.
        is_own_answer = metadata.is_signed or metadata.is_not_run
        if status == OTHER_ENDPOINT_STATUS or (limit_per_s is None and not is_own_answer):
            return
        if metadata.has_invalid_request_limit:
            self._policy.request_limits.note_invalid(run, status)
            return
        if self._policy.request_limits.note_answer(run, limit_per_s, sent_s):
            self._reporter.send_request_limits()

    def _record_outcome(
        self,
        option: LocalOption,
        service: Service,
        call: EndpointCall,
        open_request: OpenRequest,
        outcome: AttemptOutcome,
        is_same_run: bool,
    ) -> None:
        """Record an outcome; it says nothing of the endpoint unless ``is_same_run``."""
        policy = self._policy
        endpoint_id = option.endpoint.endpoint
        if call.first_byte_s is not None:
            observed_ms = (call.first_byte_s - open_request.started_s) * 1000
            if is_same_run and not policy.profiles.is_active(service.name):
                policy.pace.observe(endpoint_id, option.choice.first_ms, observed_ms)
            if (
                service.engine is None
                and policy.loads.work(endpoint_id).requests < option.endpoint.slots
            ):
                policy.pace.observe_call(service.name, observed_ms)
        if isinstance(outcome, StreamEnded) and call.first_byte_s is not None:
            policy.slot_times.observe(service.name, (time.monotonic() - call.first_byte_s) * 1000)
        if not call.ended_by_deadline:
            self._note_run(option.endpoint, outcome, open_request.started_s)
        match outcome:
            case NotRun(reason, is_sent=False) | Lost(reason) | StreamBroken(reason):
                log_event(Event.ATTEMPT_FAILED, endpoint=endpoint_id, reason=reason)
        if is_same_run:
            self._record_in_circuit(endpoint_id, call, outcome)

    def _record_in_circuit(
        self, endpoint: EndpointId, call: EndpointCall, outcome: AttemptOutcome
    ) -> None:
        breakers = self._policy.breakers
        match outcome:
            case Answered() | StreamEnded():
                breakers.succeed(endpoint)
            case Lost(exceeds_memory=True) | StreamBroken(exceeds_memory=True):
                breakers.release(endpoint)
            case NotRun(is_sent=False) | Lost() | StreamBroken() if not call.ended_by_deadline:
                breakers.fail(endpoint, is_certain=isinstance(outcome, NotRun))
            case _:
                breakers.release(endpoint)

    def _note_run(self, endpoint: Endpoint, outcome: AttemptOutcome, sent_s: float) -> None:
        """Record what an outcome says of whether the endpoint still runs."""
        match outcome:
            case NotRun(reason, is_sent=False):
                self._runs.note_lost(endpoint, reason)
            case Lost(reason, is_connection_lost=True):
                self._runs.note_lost(endpoint, reason)
            case StreamBroken(reason, is_connection_lost=True):
                self._runs.note_lost(endpoint, reason)
            case Answered() | StreamEnded() | NotRun():
                self._runs.note_answer(endpoint, sent_s)


class _FirstEventSink:
    """Forwards a stream to a sink and reports its start to ``on_first``."""

    def __init__(
        self,
        sink: StreamSink,
        on_first: Callable[[OpenRequest], None],
        open_request: OpenRequest,
        observer: CapacityObserver | None,
        pauses: StreamPauses | None,
    ) -> None:
        self._observer = observer
        self._pauses = pauses
        self._sink = sink
        self._on_first = on_first
        self._open_request = open_request

    def begin(self, head: AnswerHead) -> bool:
        self._on_first(self._open_request)
        if self._observer is not None:
            self._observer.note_first(time.monotonic())
        return self._sink.begin(head)

    def write(self, data: bytes) -> bool:
        if self._observer is not None:
            self._observer.note_events(data)
        if self._pauses is not None:
            self._pauses.note_events(data)
        is_taken = self._sink.write(data)
        if self._pauses is not None and self._sink.is_behind:
            self._pauses.skip_next()
        return is_taken

    @property
    def is_behind(self) -> bool:
        return self._sink.is_behind
