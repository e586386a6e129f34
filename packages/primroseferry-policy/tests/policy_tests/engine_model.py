"""A simulation, in simulated time, of batching engines and a gateway that places work on them.

A step of an engine generates one token for each running stream and processes one chunk of the
prompts that wait, in their order. Five tokens make an event. All placement decisions are made by
the package under test.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_policy.endpoint_loads import EndpointLoads
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.part_copy import CopySources
from primroseferry_policy.part_copy import PartHolder
from primroseferry_policy.placement import Candidate
from primroseferry_policy.placement import Choice
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_policy.reading_load import PrefillLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_policy.endpoint_loads import OpenRequest

STEP_MS = 5.1
STEP_MS_PER_REQUEST = 0.03
PREFILL_TOKENS_PER_MS = 45.0
# Attention: time for a million pairs of a prefill token and a token before it.
ATTENTION_MS_PER_MILLION_PAIRS = 0.32
FIRST_EVENT_DELAY_MS = 47.0
CHUNK_TOKENS = 4_096
EVENT_TOKENS = 5
CACHE_TOKENS = 250_000
MAX_PAUSE_MS = 600.0
SATURATION_TIMEOUT_MS = 400.0
SATURATION_RETRY_MS = 30.0
FAILURE_DOMAIN = FailureDomainId("a")


@dataclass
class Request:
    """One generation and its result."""

    generation: Generation
    is_urgent: bool
    arrived_ms: float
    target_ms: float
    deadline_ms: float
    uncached_tokens: int = 0
    generated_tokens: int = 0
    last_event_ms: float = 0.0
    first_event_ms: float | None = None
    max_pause_ms: float = 0.0
    ended_ms: float | None = None
    is_refused: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether the caller got the complete answer in time, without too long a pause."""
        return (
            self.ended_ms is not None
            and self.first_event_ms is not None
            and self.first_event_ms - self.arrived_ms <= self.target_ms
            and self.max_pause_ms <= MAX_PAUSE_MS
            and self.ended_ms - self.arrived_ms <= self.deadline_ms
        )


@dataclass
class Engine:
    """The running and waiting requests of one engine."""

    name: EndpointId
    waiting: deque[tuple[Request, OpenRequest]] = field(default_factory=deque)
    running: list[tuple[Request, OpenRequest]] = field(default_factory=list)
    is_stepping: bool = False

    def step_ms(self) -> tuple[float, int]:
        """Return the duration of the next step and the number of prefill tokens in it."""
        uncached_tokens = sum(request.uncached_tokens for request, _ in self.waiting)
        chunk = min(CHUNK_TOKENS, uncached_tokens)
        base_ms = STEP_MS + STEP_MS_PER_REQUEST * len(self.running)
        if not self.waiting:
            return base_ms, 0
        context = self.waiting[0][0].generation.prompt_tokens
        attention_ms = chunk * context / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS
        return base_ms + chunk / PREFILL_TOKENS_PER_MS + attention_ms, chunk


@dataclass(frozen=True)
class Admission:
    """A request that reaches its engine after its parts are copied."""

    engine: Engine
    request: Request
    open_request: OpenRequest


class EngineModel:
    """The engines of one region, and one gateway that places all requests on them."""

    def __init__(
        self,
        engines: int,
        rank: Callable[..., list[Choice]],
        copy_tokens_per_ms: float = 0.0,
    ) -> None:
        self.now_ms = 0.0
        self._copy_tokens_per_ms = copy_tokens_per_ms
        self._rank = rank
        clock = self._clock_s
        self._engines = {
            name: Engine(name) for name in (EndpointId(f"e-{n}") for n in range(engines))
        }
        self._loads = EndpointLoads(clock)
        self._prefill_load = PrefillLoad(clock)
        self._parts = PartCache(clock)
        self._events: list[tuple[float, int, str, object]] = []
        self._count = 0
        self._seen_parts: set[PartId] = set()
        self.repeated_prefill_tokens = 0

    def run(self, requests: list[Request]) -> list[Request]:
        """Simulate the requests to their end and return them."""
        for request in requests:
            self._schedule(request.arrived_ms, "arrive", request)
        while self._events:
            self.now_ms, _, kind, subject = heapq.heappop(self._events)
            if kind == "arrive" and isinstance(subject, Request):
                self._arrive(subject)
            elif isinstance(subject, Admission):
                subject.engine.waiting.append((subject.request, subject.open_request))
                self._start_step(subject.engine)
            elif isinstance(subject, Engine):
                self._end_step(subject)
        return requests

    def _clock_s(self) -> float:
        return self.now_ms / 1000

    def _schedule(self, at_ms: float, kind: str, subject: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, kind, subject))

    def _arrive(self, request: Request) -> None:
        parts = request.generation.parts
        holders = [
            PartHolder(name, FAILURE_DOMAIN, self._parts.cached_tokens(name, parts))
            for name in self._engines
        ]
        sources = CopySources(holders, self._copy_tokens_per_ms)
        candidates = [
            Candidate(
                holder.endpoint,
                64,
                CACHE_TOKENS,
                self._loads.work(holder.endpoint),
                holder.cached.tokens,
                1.0,
                0.0,
                self._prefill_load.tokens_per_s(holder.endpoint),
                sources.choose(holder),
            )
            for holder in holders
        ]
        choice = self._rank(candidates, request.generation, request.is_urgent)[0]
        if choice.is_saturated:
            if self.now_ms - request.arrived_ms < SATURATION_TIMEOUT_MS:
                self._schedule(self.now_ms + SATURATION_RETRY_MS, "arrive", request)
            else:
                request.is_refused = True
            return
        open_request = self._loads.begin(
            choice.endpoint, request.generation, choice.uncached_tokens, choice.first_ms
        )
        if choice.uncached_tokens > request.generation.parts[-1].tokens:
            self._record_repeated_prefill(
                choice.uncached_tokens - request.generation.parts[-1].tokens, request
            )
        self._parts.record_prefill(choice.endpoint, request.generation.parts, CACHE_TOKENS)
        self._prefill_load.note(choice.endpoint, choice.uncached_tokens)
        request.uncached_tokens = max(1, choice.uncached_tokens)
        engine = self._engines[choice.endpoint]
        copy_ms = choice.copy.duration_ms if choice.copy is not None else 0.0
        self._schedule(self.now_ms + copy_ms, "admit", Admission(engine, request, open_request))

    def _record_repeated_prefill(self, tokens: int, request: Request) -> None:
        """Count shared tokens in prefill that some engine has processed before."""
        key = request.generation.parts[-2].part
        if key in self._seen_parts:
            self.repeated_prefill_tokens += tokens
        self._seen_parts.add(key)

    def _start_step(self, engine: Engine) -> None:
        if engine.is_stepping or not (engine.waiting or engine.running):
            return
        engine.is_stepping = True
        step_ms, _ = engine.step_ms()
        self._schedule(self.now_ms + step_ms, "step", engine)

    def _end_step(self, engine: Engine) -> None:
        engine.is_stepping = False
        for request, _ in engine.running:
            request.generated_tokens += 1
            if request.generated_tokens % EVENT_TOKENS == 0:
                self._record_event(request)
        chunk = CHUNK_TOKENS
        while engine.waiting and chunk > 0:
            request, open_request = engine.waiting[0]
            processed = min(chunk, request.uncached_tokens)
            request.uncached_tokens -= processed
            chunk -= processed
            if request.uncached_tokens == 0:
                engine.running.append(engine.waiting.popleft())
                self._loads.first_byte(open_request)
        for entry in list(engine.running):
            request, open_request = entry
            is_past_deadline = self.now_ms - request.arrived_ms > request.deadline_ms
            if request.generated_tokens >= request.generation.answer_tokens or is_past_deadline:
                if not is_past_deadline:
                    request.ended_ms = self.now_ms
                engine.running.remove(entry)
                self._loads.end(open_request)
        self._start_step(engine)

    def _record_event(self, request: Request) -> None:
        if request.first_event_ms is None:
            request.first_event_ms = self.now_ms + FIRST_EVENT_DELAY_MS
        else:
            pause_ms = self.now_ms - request.last_event_ms
            request.max_pause_ms = max(request.max_pause_ms, pause_ms)
        request.last_event_ms = self.now_ms


def generate_load(
    seed: int, seconds: float, dossiers_per_s: float, drafts_per_s: float
) -> list[Request]:
    """Return dossiers with long prompts, and short drafts, with random arrival times."""
    source = random.Random(seed)
    requests = []
    for per_s, is_dossier in ((dossiers_per_s, True), (drafts_per_s, False)):
        at_ms = 0.0
        while (at_ms := at_ms + source.expovariate(per_s) * 1000) < seconds * 1000:
            own_tokens = min(39_600, source.lognormvariate(7.47 if is_dossier else 5.9, 1.0))
            subject_number = source.randrange(80)
            kind = "d" if is_dossier else "q"
            parts = (
                PromptPart(PartId(f"{kind}{subject_number % 4}"), 2_520 if is_dossier else 119),
                PromptPart(PartId(f"{kind}-{subject_number}"), 3_780 if is_dossier else 79),
                PromptPart(PartId(f"{kind}{at_ms}"), int(own_tokens)),
            )
            tokens = sum(part.tokens for part in parts)
            answer = 52 if is_dossier else max(10, int(source.lognormvariate(5.4, 0.69)))
            target, deadline = (1_000, 5_000) if is_dossier else (800, 15_000)
            generation = Generation(parts, tokens, answer)
            requests.append(Request(generation, not is_dossier, at_ms, target, deadline))
    return sorted(requests, key=lambda request: request.arrived_ms)
