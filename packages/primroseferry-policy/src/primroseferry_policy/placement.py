"""Selects the endpoint of a request by its expected time to the first byte."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order

from .contention import NO_LIMITS
from .contention import PrefillLimits
from .contention import exceeds_backlog
from .contention import would_be_late
from .slot_time import DEFAULT_HOLD_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .endpoint_loads import OpenWork
    from .part_copy import PartCopy
    from .prompt import Generation

# Times of an engine without other load; see docs/PLACEMENT.md.
ENGINE_FIRST_BYTE_MS = 60.0
PREFILL_TOKENS_PER_MS = 45.0
# Each further request of a batch slows the others down.
BATCH_MS_PER_REQUEST = 0.6
# An engine that runs out of memory preempts requests and processes their prompts again.
MEMORY_FULL_SHARE = 0.85
MEMORY_FULL_PENALTY_MS = 1_500.0
# Prefill of a long prompt pauses the engine's running streams. Above the first limit, consecutive
# prefill chunks make the pauses longer than callers accept. The cost of each running stream grows
# from 0 there to its maximum at the second limit.
INTERFERENCE_START_TOKENS = 12_000
INTERFERENCE_FULL_TOKENS = 22_000
INTERFERENCE_MS_PER_STREAM = 100.0
# Maximum of open calls per slot of a plain service; its endpoints shed further calls.
MAX_CALLS_PER_SLOT = 5
# Among endpoints with free slots, prefers the one with fewer open calls.
OPEN_CALL_WEIGHT = 0.1
# Cost of prefill in addition to its time, because it takes capacity that other requests need.
PREFILL_WEIGHT = 4.0
# A copy from another engine's memory takes no prefill capacity. Operators price it at a fifth of
# prefill for each token, and it takes an eighth of the time.
COPY_WEIGHT = 6.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """The state of one endpoint; ``cache_tokens`` is 0 for a plain service.

    ``hold_ms`` is the usual time for which a run holds a slot. ``pace`` is the ratio of observed to
    expected times. ``overdue_ms`` is how far the most overdue first byte of its open requests is
    past its expected time. ``prefill_limits`` are those of its service. ``budget_ms`` is the time
    to the first event with which the request is on time, ``None`` if a late one is sent too.
    """

    endpoint: EndpointId
    slots: int
    cache_tokens: int
    work: OpenWork
    cached_tokens: int
    pace: float
    overdue_ms: float
    prefill_tokens_per_s: int = 0
    copy: PartCopy | None = None
    hold_ms: float = DEFAULT_HOLD_MS
    prefill_limits: PrefillLimits = NO_LIMITS
    budget_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """A candidate with its expected time to the first byte and its score; the lowest score wins.

    ``is_saturated`` means that an engine has too much prefill for its running streams to end in
    time or for this request to begin in time, or that an endpoint of a plain service has too many
    open calls. ``copy`` is what the
    engine copies from another engine before prefill. ``is_queued``: no slot of the engine is free.
    """

    endpoint: EndpointId
    first_ms: float
    uncached_tokens: int
    score: float
    is_saturated: bool = False
    copy: PartCopy | None = None
    is_queued: bool = False


def rank_engines(
    candidates: Sequence[Candidate], generation: Generation, is_urgent: bool = True
) -> list[Choice]:
    """Return the engines for a generation, best first.

    Ties are broken by hashing the prompt's last shared part, so that all gateways send requests
    with the same parts to the same engine without coordination.
    """
    order = _hash_order(candidates, generation)
    choices = [engine_choice(candidate, generation, is_urgent) for candidate in candidates]
    return sorted(
        choices,
        key=lambda choice: (choice.is_saturated, round(choice.score, 1), order[choice.endpoint]),
    )


def rank_calls(candidates: Sequence[Candidate], call_ms: float) -> list[Choice]:
    """Return the endpoints for a call of a plain service, the earliest available first.

    Ties are in random order: gateways learn of each other's calls with a delay and would otherwise
    all select the same endpoint.
    """
    choices = [call_choice(candidate, call_ms) for candidate in candidates]
    random.shuffle(choices)
    return sorted(choices, key=lambda choice: (choice.is_saturated, choice.score))


def call_choice(candidate: Candidate, call_ms: float) -> Choice:
    """Return the expected time and the score of a call at one endpoint of a plain service."""
    open_requests = candidate.work.requests
    slots = max(1, candidate.slots)
    wait_ms = max(0, open_requests + 1 - slots) / slots * call_ms
    open_call_ms = open_requests / slots * call_ms * OPEN_CALL_WEIGHT
    first_ms = (call_ms + wait_ms) * candidate.pace
    score = first_ms + open_call_ms + candidate.overdue_ms
    is_full = open_requests >= slots * MAX_CALLS_PER_SLOT
    return Choice(candidate.endpoint, first_ms, 0, score, is_saturated=is_full)


def engine_choice(candidate: Candidate, generation: Generation, is_urgent: bool = True) -> Choice:
    """Return the expected time and the score of a generation on one engine."""
    work = candidate.work
    copied, copy_ms = 0, 0.0
    if candidate.copy is not None:
        copied, copy_ms = candidate.copy.tokens, candidate.copy.duration_ms
    uncached = max(0, generation.prompt_tokens - candidate.cached_tokens - copied)
    waiting = max(0, work.requests + 1 - candidate.slots)
    prefill_ms = (work.uncached_tokens + uncached) / PREFILL_TOKENS_PER_MS
    batch_ms = work.requests * BATCH_MS_PER_REQUEST
    slot_ms = waiting * candidate.hold_ms / max(1, candidate.slots)
    first_ms = ENGINE_FIRST_BYTE_MS + copy_ms + prefill_ms + batch_ms + slot_ms
    memory = work.memory_tokens + generation.memory_tokens
    if candidate.cache_tokens and memory > candidate.cache_tokens * MEMORY_FULL_SHARE:
        first_ms += MEMORY_FULL_PENALTY_MS
    first_ms *= candidate.pace
    own_ms = ENGINE_FIRST_BYTE_MS + copy_ms + uncached / PREFILL_TOKENS_PER_MS
    is_late = (
        candidate.budget_ms is not None
        and work.requests > 0
        and would_be_late(first_ms, own_ms * candidate.pace, candidate.budget_ms)
    )
    capacity_cost_ms = uncached / PREFILL_TOKENS_PER_MS * PREFILL_WEIGHT + copy_ms * COPY_WEIGHT
    interference_ms = (
        work.requests
        * INTERFERENCE_MS_PER_STREAM
        * _stream_interference(work.uncached_tokens + uncached)
    )
    score = first_ms + capacity_cost_ms + interference_ms + candidate.overdue_ms
    return Choice(
        candidate.endpoint,
        first_ms,
        uncached,
        score,
        is_late or _is_saturated(candidate, uncached, is_urgent),
        candidate.copy,
        is_queued=waiting > 0,
    )


def _is_saturated(candidate: Candidate, uncached_tokens: int, is_urgent: bool) -> bool:
    """Whether prefill of the additional tokens would delay requests that the engine already has.

    These are its running streams and, for a less urgent request, urgent ones that arrive meanwhile.
    """
    if candidate.work.requests == 0:
        return False
    tokens_per_ms = PREFILL_TOKENS_PER_MS / max(1.0, candidate.pace)
    limits = candidate.prefill_limits
    if not is_urgent and exceeds_backlog(
        candidate.work.uncached_tokens, uncached_tokens, tokens_per_ms, limits.max_backlog_ms
    ):
        return True
    tokens_per_s = candidate.prefill_tokens_per_s + uncached_tokens
    return tokens_per_s > limits.max_share(is_urgent) * tokens_per_ms * 1000


def _stream_interference(uncached_tokens: int) -> float:
    """Return how strongly prefill of ``uncached_tokens`` disturbs running streams, 0 to 1."""
    span = INTERFERENCE_FULL_TOKENS - INTERFERENCE_START_TOKENS
    return min(1.0, max(0.0, (uncached_tokens - INTERFERENCE_START_TOKENS) / span))


def _hash_order(candidates: Sequence[Candidate], generation: Generation) -> dict[EndpointId, int]:
    names = [candidate.endpoint for candidate in candidates]
    by_text = {str(name): name for name in names}
    return {
        by_text[name]: at
        for at, name in enumerate(rendezvous_order(generation.affinity_key, list(by_text)))
    }
