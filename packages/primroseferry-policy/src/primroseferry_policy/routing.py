"""Selects where a request runs by expected time, price and distance under the plan's weights."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.plans import Weights

    from .load_view import LoadEstimate

PREFILL_TOKENS_PER_MS = 10.0
CHARACTERS_PER_TOKEN = 4.0
CACHED_PREFILL_SHARE = 0.1
TYPICAL_ANSWER_TOKENS = 100
REMOTE_ROUND_TRIP_MS = 110.0
AFFINITY_MAX_UTILISATION = 0.9


@dataclass(frozen=True, slots=True)
class LocalTarget:
    """An endpoint in this gateway's region."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class RemoteTarget:
    """A remote region; one of its gateways selects the endpoint."""

    region: RegionId


Target = LocalTarget | RemoteTarget


@dataclass(frozen=True, slots=True)
class Work:
    """The size of a request before it runs: characters of its prompt, tokens of its answer."""

    prompt_characters: int
    answer_tokens: int

    @property
    def prefill_ms(self) -> float:
        """Expected prefill time without a cached prefix."""
        return self.prompt_characters / CHARACTERS_PER_TOKEN / PREFILL_TOKENS_PER_MS


@dataclass(frozen=True, slots=True)
class Option:
    """One possible target with the terms of its score; the lowest score wins."""

    target: Target
    wait_ms: float
    first_token_ms: float
    total_ms: float
    price: float
    is_cached: bool
    score: float = 0.0


def estimate_option(
    target: Target, load: LoadEstimate, work: Work, is_cached: bool, ramp_share: float = 1.0
) -> Option:
    """Return the expected times of one target.

    A queue drains at the rate at which the slots complete answers. An endpoint in its load ramp
    counts with ``ramp_share`` of its slots.
    """
    slots = max(1.0, load.slots * ramp_share)
    service_ms = max(1, work.answer_tokens) * load.step_ms
    waiting = max(0.0, load.open_requests + 1 - slots)
    wait_ms = waiting / slots * service_ms
    prefill_ms = work.prefill_ms * (CACHED_PREFILL_SHARE if is_cached else 1.0)
    distance_ms = REMOTE_ROUND_TRIP_MS if isinstance(target, RemoteTarget) else 0.0
    first_token_ms = wait_ms + prefill_ms + load.step_ms + distance_ms
    total_ms = first_token_ms + service_ms
    return Option(target, wait_ms, first_token_ms, total_ms, load.price, is_cached)


def rank_options(options: Iterable[Option], weights: Weights, accepted_cost: float) -> list[Option]:
    """Score the options that the plan accepts and return them, best first.

    Each term is about 1 for an ordinary option: the price relative to the accepted cost, and the
    expected time relative to the fastest option. The distance is 1 for a remote region, else 0.
    """
    accepted = [option for option in options if option.price <= accepted_cost]
    if not accepted:
        return []
    fastest_ms = max(1.0, min(option.total_ms for option in accepted))
    scored = [_with_score(option, weights, accepted_cost, fastest_ms) for option in accepted]
    return sorted(scored, key=lambda option: option.score)


def _with_score(
    option: Option, weights: Weights, accepted_cost: float, fastest_ms: float
) -> Option:
    cost_term = option.price / accepted_cost if accepted_cost > 0 else 0.0
    time_term = option.total_ms / fastest_ms
    remote_term = 1.0 if isinstance(option.target, RemoteTarget) else 0.0
    total_weight = weights.cost + weights.tail_latency + weights.share_sent_away
    score = (
        weights.cost * cost_term
        + weights.tail_latency * time_term
        + weights.share_sent_away * remote_term
    ) / (total_weight or 1.0)
    return Option(
        option.target,
        option.wait_ms,
        option.first_token_ms,
        option.total_ms,
        option.price,
        option.is_cached,
        score,
    )
