"""Choosing the endpoint of a request by its expected time to the first byte."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.hashing import rendezvous_order

from .slot_time import DEFAULT_HOLD_MS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .endpoint_loads import OpenWork
    from .part_copy import PartCopy
    from .prompt import Generation

# Times of an engine that serves nothing else: docs/PLACEMENT.md.
ENGINE_FIRST_MS = 60.0
PREFILL_TOKENS_PER_MS = 45.0
# A batch slows each of its requests down a little.
BATCH_MS_PER_REQUEST = 0.6
# An engine that runs out of memory preempts requests, which are then read anew.
MEMORY_FULL_SHARE = 0.85
MEMORY_FULL_MS = 1_500.0
# While an engine reads a long prompt, its running streams pause. Beyond some chunks in a row the
# pauses grow past what callers accept, and each running stream is worth this much more time.
UNNOTICED_UNREAD_TOKENS = 12_000
DISTURBING_UNREAD_TOKENS = 22_000
DISTURBED_STREAM_MS = 100.0
# The share of its time that an engine may spend on reading, for the most urgent requests and for
# the others. What is left generates: below it, streams fall behind their deadlines.
MAX_URGENT_READING_SHARE = 0.9
MAX_READING_SHARE = 0.78
# Calls that an endpoint of a plain service is given for each slot; beyond that it sheds them.
MAX_CALLS_PER_SLOT = 5
# Among endpoints with free slots the one with fewer open calls goes first.
BUSY_WEIGHT = 0.1
# Reading tokens again costs capacity that others need: what a cached part counts beyond its time.
REREAD_WEIGHT = 4.0
# Copying from another engine's memory leaves its reading capacity alone; operators price it at a
# fifth of reading, token for token, and it takes an eighth of the time.
COPY_WEIGHT = 6.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """One endpoint as it stands. ``cache_tokens`` is 0 for a plain service.

    ``hold_ms`` is how long a run usually holds a slot.
    """

    endpoint: EndpointId
    slots: int
    cache_tokens: int
    work: OpenWork
    cached_tokens: int
    pace: float
    overdue_ms: float
    reading_tokens_per_s: int = 0
    copy: PartCopy | None = None
    hold_ms: float = DEFAULT_HOLD_MS


@dataclass(frozen=True, slots=True)
class Choice:
    """A candidate with its expected time to the first byte and the score it is ranked by.

    ``is_saturated``: the engine reads so much that its running streams would not end in time.
    ``copy`` is what the engine should copy from another one before it reads.
    """

    endpoint: EndpointId
    first_ms: float
    unread_tokens: int
    score: float
    is_saturated: bool = False
    copy: PartCopy | None = None


def rank_engines(
    candidates: Sequence[Candidate], generation: Generation, is_urgent: bool = True
) -> list[Choice]:
    """Return the engines for a generation, best first.

    Equal engines are ordered by hashing the prompt's last shared part, so that all gateways send
    requests with the same parts to the same engine without asking each other.
    """
    order = _hash_order(candidates, generation)
    choices = [engine_choice(candidate, generation, is_urgent) for candidate in candidates]
    return sorted(
        choices,
        key=lambda choice: (choice.is_saturated, round(choice.score, 1), order[choice.endpoint]),
    )


def rank_calls(candidates: Sequence[Candidate], call_ms: float) -> list[Choice]:
    """Return the endpoints for a call of a plain service, the soonest free first.

    Equal ones come in random order: gateways do not hear of each other's calls at once, and would
    all take the same one.
    """
    choices = [call_choice(candidate, call_ms) for candidate in candidates]
    random.shuffle(choices)
    return sorted(choices, key=lambda choice: (choice.is_saturated, choice.score))


def call_choice(candidate: Candidate, call_ms: float) -> Choice:
    """Return what to expect of one endpoint of a plain service."""
    open_requests = candidate.work.requests
    slots = max(1, candidate.slots)
    wait_ms = max(0, open_requests + 1 - slots) / slots * call_ms
    busy_ms = open_requests / slots * call_ms * BUSY_WEIGHT
    first_ms = (call_ms + wait_ms) * candidate.pace
    score = first_ms + busy_ms + candidate.overdue_ms
    is_full = open_requests >= slots * MAX_CALLS_PER_SLOT
    return Choice(candidate.endpoint, first_ms, 0, score, is_saturated=is_full)


def engine_choice(candidate: Candidate, generation: Generation, is_urgent: bool = True) -> Choice:
    """Return what to expect of one engine."""
    work = candidate.work
    copied, copy_ms = 0, 0.0
    if candidate.copy is not None:
        copied, copy_ms = candidate.copy.tokens, candidate.copy.duration_ms
    unread = max(0, generation.prompt_tokens - candidate.cached_tokens - copied)
    waiting = max(0, work.requests + 1 - candidate.slots)
    read_ms = (work.unread_tokens + unread) / PREFILL_TOKENS_PER_MS
    batch_ms = work.requests * BATCH_MS_PER_REQUEST
    slot_ms = waiting * candidate.hold_ms / max(1, candidate.slots)
    first_ms = ENGINE_FIRST_MS + copy_ms + read_ms + batch_ms + slot_ms
    memory = work.held_tokens + generation.held_tokens
    if candidate.cache_tokens and memory > candidate.cache_tokens * MEMORY_FULL_SHARE:
        first_ms += MEMORY_FULL_MS
    first_ms *= candidate.pace
    reread_ms = unread / PREFILL_TOKENS_PER_MS * REREAD_WEIGHT + copy_ms * COPY_WEIGHT
    disturbed_ms = work.requests * DISTURBED_STREAM_MS * _disturbance(work.unread_tokens + unread)
    score = first_ms + reread_ms + disturbed_ms + candidate.overdue_ms
    return Choice(
        candidate.endpoint,
        first_ms,
        unread,
        score,
        _is_saturated(candidate, unread, is_urgent),
        candidate.copy,
    )


def _is_saturated(candidate: Candidate, unread_tokens: int, is_urgent: bool) -> bool:
    """Whether reading so much more would keep the engine from its running streams."""
    if candidate.work.requests == 0:
        return False
    limit = MAX_URGENT_READING_SHARE if is_urgent else MAX_READING_SHARE
    tokens_per_s = candidate.reading_tokens_per_s + unread_tokens
    usual_tokens_per_s = PREFILL_TOKENS_PER_MS * 1000 / max(1.0, candidate.pace)
    return tokens_per_s > limit * usual_tokens_per_s


def _disturbance(unread_tokens: int) -> float:
    """Return how far an engine's running streams pause while it reads so much, 0 to 1."""
    span = DISTURBING_UNREAD_TOKENS - UNNOTICED_UNREAD_TOKENS
    return min(1.0, max(0.0, (unread_tokens - UNNOTICED_UNREAD_TOKENS) / span))


def _hash_order(candidates: Sequence[Candidate], generation: Generation) -> dict[EndpointId, int]:
    names = [candidate.endpoint for candidate in candidates]
    by_text = {str(name): name for name in names}
    return {
        by_text[name]: at
        for at, name in enumerate(rendezvous_order(generation.affinity_key, list(by_text)))
    }
