"""Attempts on endpoints of this region: choosing one, sending, and learning from the outcome."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.endpoint_loads import NO_WORK
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.part_cache import HeldTokens
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
from .crash_judge import BlameTeller
from .crash_judge import CrashJudge
from .dialect import SendOrder
from .endpoints.sample import choose_sample
from .membership.peer import ServiceSummary
from .relay_policy import Placed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
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
    from .crash_judge import Suspect
    from .dialect import EndpointDialect
    from .dialect import ReplyFacts
    from .endpoints.catalog import EndpointCatalog
    from .endpoints.endpoint import Endpoint
    from .endpoints.endpoint import EndpointRun
    from .membership.peer_table import PeerTable
    from .messages import AnswerHead
    from .messages import RelayRequest
    from .relay_policy import RelayPolicy
    from .routes.service import EngineSize
    from .routes.service import Service

# An answer whose first byte is this late against its expectation is looked for elsewhere, where
# the request may be sent again.
PATIENCE_RATIO = 4.0
MIN_PATIENCE_MS = 400.0
# Nothing is looked for elsewhere as long as the answer may still come in time, which is told in
# targets: what an overloaded endpoint has read until then would be read again.
MIN_PATIENCE_TARGETS = 1.0
# The status of an endpoint that turns a request away because it has too much to do.
OVERLOADED_STATUS = 503
# What other regions are told the expected time of: a prompt of which most is cached.
TYPICAL_GENERATION = Generation(prompt_tokens=1_000, answer_tokens=200)


@dataclass(frozen=True, slots=True)
class LocalOption:
    """An endpoint of this region with its expected time to the first byte."""

    endpoint: Endpoint
    choice: Choice


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """What one attempt is about, wherever it is made.

    ``deadline_s`` is monotonic; ``target_ms`` is the time to the first byte that earns full credit.
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

    @property
    def remaining_ms(self) -> float:
        """Milliseconds until the deadline, never below 0."""
        return max(0.0, (self.deadline_s - time.monotonic()) * 1000)


class PeerTeller(BlameTeller, Protocol):
    """Tells the other gateways what attempts bring about."""

    def tell_placed(self, placed: Placed) -> None:
        """Tell the region's gateways of a request that an endpoint was just given."""

    def tell_leaving(self, run: EndpointRun) -> None:
        """Tell the region's gateways of an endpoint that says that it leaves."""


class LocalAttempts:
    """The endpoints of one region, as one gateway uses them."""

    def __init__(
        self,
        region: RegionId,
        loop: CurlLoop,
        dialect: EndpointDialect,
        catalog: EndpointCatalog,
        peers: PeerTable,
        policy: RelayPolicy,
        teller: PeerTeller,
    ) -> None:
        self._region = region
        self._loop = loop
        self._dialect = dialect
        self._catalog = catalog
        self._peers = peers
        self._policy = policy
        self._teller = teller
        self.crashes = CrashJudge(policy.quarantine, catalog, teller)

    def rank(
        self,
        service: Service,
        generation: Generation,
        excluded: Collection[EndpointId],
        is_urgent: bool = True,
    ) -> list[LocalOption]:
        """Return the endpoints that may be sent to now, best first."""
        near = [
            endpoint
            for endpoint in self._catalog.usable(service.name, self._region)
            if endpoint.endpoint not in excluded
            and self._policy.breakers.permits(endpoint.endpoint)
            and self._policy.rests.left_s(endpoint.endpoint) <= 0
            and self._may_send_cold(endpoint, service)
        ]
        if service.engine is not None:
            holders = {
                endpoint.endpoint: self._part_holder(endpoint, generation) for endpoint in near
            }
            sample = choose_sample(
                near,
                generation,
                lambda endpoint: holders[endpoint.endpoint].held.tokens,
                self._policy.loads.unseen_placements,
            )
            chosen = [holders[endpoint.endpoint] for endpoint in sample]
            engines = self._engine_candidates(chosen, service, service.engine, generation)
            choices = rank_engines(engines, generation, is_urgent)
        else:
            sample = choose_sample(near, generation)
            calls = [self._call_candidate(endpoint) for endpoint in sample]
            choices = rank_calls(calls, self._policy.pace.call_ms(service.name))
        usable = {endpoint.endpoint: endpoint for endpoint in sample}
        return [LocalOption(usable[choice.endpoint], choice) for choice in choices]

    def run(
        self,
        option: LocalOption,
        service: Service,
        plan: AttemptPlan,
        sink: StreamSink | None,
        on_start: Callable[[AttemptCall], None],
    ) -> AttemptOutcome:
        """Make one attempt. ``on_start`` gets the call, so that it can be cancelled."""
        endpoint = option.endpoint
        if not self._take_cold_place(endpoint, service):
            return NotRun("the endpoint is cold and was sent enough", is_sent=False)
        if not self._catalog.may_use(endpoint):
            return NotRun("the endpoint takes no new work", is_sent=False)
        if self._policy.rests.left_s(endpoint.endpoint) > 0:
            return NotRun("the endpoint wants to be left alone", is_sent=False)
        patience_ms = None
        if plan.may_be_repeated:
            patience_ms = int(
                max(
                    MIN_PATIENCE_MS,
                    plan.target_ms * MIN_PATIENCE_TARGETS,
                    option.choice.first_ms * PATIENCE_RATIO,
                )
            )
        attempt = EndpointAttempt(
            endpoint,
            plan.request,
            plan.request_id,
            SendOrder(
                endpoint.endpoint,
                plan.remaining_ms,
                plan.priority,
                plan.last_event_id,
                self._copy_address(option.choice),
            ),
            patience_ms,
        )
        policy = self._policy
        choice = option.choice
        policy.breakers.begin(endpoint.endpoint)
        opened = policy.loads.begin(
            endpoint.endpoint, plan.generation, choice.unread_tokens, choice.first_ms
        )
        parts = plan.generation.parts
        if service.engine is not None:
            policy.parts.note_read(endpoint.endpoint, parts, service.engine.cache_tokens)
            policy.reading.note(endpoint.endpoint, choice.unread_tokens)
            # A plain call ends sooner than the next report would correct a note of its begin.
            work = OpenWork(1, choice.unread_tokens, plan.generation.held_tokens)
            self._teller.tell_placed(Placed(endpoint.endpoint, work, parts))
        call = EndpointCall(
            self._loop,
            self._dialect,
            attempt,
            _CountingSink(sink, policy.loads.first_byte, opened) if sink is not None else None,
            lambda status, facts: self._note_reply(endpoint, status, facts),
        )
        on_start(call)
        try:
            outcome = call.run()
        finally:
            policy.loads.end(opened)
        self._learn(option, service, call, opened, outcome)
        self.crashes.judge(endpoint, plan.suspect, plan.request_id, outcome)
        return outcome

    def rest_left_s(self, service: Service) -> float:
        """Return how long all endpoints of a service here want to be left alone, 0 if not all."""
        near = self._catalog.usable(service.name, self._region)
        return self._policy.rests.earliest_end_s(endpoint.endpoint for endpoint in near)

    def summary(self, service: Service) -> ServiceSummary:
        """Return what this region has of a service, as other regions are told."""
        options = self.rank(service, TYPICAL_GENERATION, ())
        if not options:
            return ServiceSummary(0, 0, NO_WORK, 1.0, 0)
        best = options[0].endpoint
        slots = service.engine.slots if service.engine is not None else max(1, best.slots)
        return ServiceSummary(
            len(options),
            slots,
            self._policy.loads.work(best.endpoint),
            self._policy.pace.ratio(best.endpoint),
            self._policy.reading.tokens_per_s(best.endpoint),
        )

    def _engine_candidates(
        self,
        holders: Sequence[PartHolder],
        service: Service,
        engine: EngineSize,
        generation: Generation,
    ) -> list[Candidate]:
        policy = self._policy
        far_holders = self._far_holders(service, generation)
        sources = CopySources([*holders, *far_holders], engine.copy_tokens_per_ms)
        return [
            Candidate(
                holder.endpoint,
                engine.slots,
                engine.cache_tokens,
                policy.loads.work(holder.endpoint),
                holder.held.tokens,
                policy.pace.ratio(holder.endpoint),
                policy.loads.overdue_ms(holder.endpoint),
                policy.reading.tokens_per_s(holder.endpoint),
                sources.choose(holder),
                policy.slot_times.hold_ms(service.name),
            )
            for holder in holders
        ]

    def _part_holder(self, endpoint: Endpoint, generation: Generation) -> PartHolder:
        held = self._policy.parts.held_tokens(endpoint.endpoint, generation.parts)
        return PartHolder(endpoint.endpoint, endpoint.failure_domain, held)

    def _call_candidate(self, endpoint: Endpoint) -> Candidate:
        policy = self._policy
        name = endpoint.endpoint
        return Candidate(
            name,
            max(1, endpoint.slots),
            cache_tokens=0,
            work=policy.loads.work(name),
            cached_tokens=0,
            pace=policy.pace.ratio(name),
            overdue_ms=policy.loads.overdue_ms(name),
        )

    def _far_holders(self, service: Service, generation: Generation) -> list[PartHolder]:
        """Return the engine of another region that may be copied from, if there is one."""
        reading = self._policy.far_parts.find(generation.shared_parts)
        endpoint = self._catalog.find(reading.endpoint) if reading is not None else None
        if reading is None or endpoint is None or endpoint.service != service.name:
            return []
        is_reached = endpoint.region in self._peers.regions()
        if not is_reached or not self._catalog.may_use(endpoint):
            return []
        held = HeldTokens(reading.tokens, reading.tokens)
        return [PartHolder(endpoint.endpoint, endpoint.failure_domain, held)]

    def _copy_address(self, choice: Choice) -> str:
        """Return the address of the engine to copy from, empty where there is none."""
        source = self._catalog.find(choice.copy.source) if choice.copy is not None else None
        return source.address if source is not None else ""

    def _may_send_cold(self, endpoint: Endpoint, service: Service) -> bool:
        if service.warmup_per_s <= 0 or not self._catalog.is_cold(endpoint.endpoint):
            return True
        is_sender = self._peers.is_chosen(endpoint.endpoint)
        return is_sender and self._policy.cold_gate.may_send(endpoint.endpoint)

    def _take_cold_place(self, endpoint: Endpoint, service: Service) -> bool:
        if service.warmup_per_s <= 0 or not self._catalog.is_cold(endpoint.endpoint):
            return True
        return self._policy.cold_gate.take(endpoint.endpoint, service.warmup_per_s)

    def _note_reply(self, endpoint: Endpoint, status: int, facts: ReplyFacts) -> None:
        if facts.cold_ms is not None:
            self._catalog.set_cold(endpoint.endpoint, facts.cold_ms)
        if facts.is_leaving and self._catalog.note_leaving(endpoint.run):
            self._teller.tell_leaving(endpoint.run)
        if status == OVERLOADED_STATUS and facts.rest_s is not None:
            self._policy.rests.note(endpoint.endpoint, facts.rest_s)
            log_event(Event.ENDPOINT_RESTS, endpoint=endpoint.endpoint, rest_s=facts.rest_s)

    def _learn(
        self,
        option: LocalOption,
        service: Service,
        call: EndpointCall,
        opened: OpenRequest,
        outcome: AttemptOutcome,
    ) -> None:
        policy = self._policy
        name = option.endpoint.endpoint
        if call.first_byte_s is not None:
            observed_ms = (call.first_byte_s - opened.started_s) * 1000
            policy.pace.observe(name, option.choice.first_ms, observed_ms)
            if service.engine is None and policy.loads.work(name).requests < option.endpoint.slots:
                policy.pace.observe_call(service.name, observed_ms)
        if isinstance(outcome, StreamEnded) and call.first_byte_s is not None:
            policy.slot_times.observe(service.name, (time.monotonic() - call.first_byte_s) * 1000)
        match outcome:
            case Answered() | StreamEnded():
                policy.breakers.succeed(name)
            case NotRun(is_sent=True):
                policy.breakers.release(name)
            case NotRun(reason) | Lost(reason) | StreamBroken(reason):
                if call.ended_by_deadline:
                    policy.breakers.release(name)
                else:
                    is_unreached = isinstance(outcome, NotRun)
                    policy.breakers.fail(name, is_certain=is_unreached)
                log_event(Event.ATTEMPT_FAILED, endpoint=name, reason=reason)
            case _:
                policy.breakers.release(name)


class _CountingSink:
    """Passes a stream on and notes its first event."""

    def __init__(
        self, sink: StreamSink, on_first: Callable[[OpenRequest], None], opened: OpenRequest
    ) -> None:
        self._sink = sink
        self._on_first = on_first
        self._opened = opened

    def begin(self, head: AnswerHead) -> bool:
        self._on_first(self._opened)
        return self._sink.begin(head)

    def write(self, data: bytes) -> bool:
        return self._sink.write(data)
