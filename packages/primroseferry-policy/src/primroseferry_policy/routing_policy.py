"""Ranking policies: the plan's weights, and simple baselines for comparison."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .routing import LocalTarget
from .routing import rank_options

if TYPE_CHECKING:
    from primroseferry_core.plans import Weights

    from .routing import Option


@dataclass(frozen=True, slots=True)
class WeightedScore:
    """Expected time, price and distance under the plan's weights."""


@dataclass(frozen=True, slots=True)
class RandomInRegion:
    """A random endpoint of this region; a remote region only if this one has none."""


@dataclass(frozen=True, slots=True)
class LeastReportedLoad:
    """The shortest expected wait in any region."""


@dataclass(frozen=True, slots=True)
class LocalOnly:
    """The shortest expected wait in this region; never a remote region."""


@dataclass(frozen=True, slots=True)
class Cheapest:
    """The lowest price, then the shortest expected wait."""


RoutingPolicy = WeightedScore | RandomInRegion | LeastReportedLoad | LocalOnly | Cheapest

ROUTING_POLICIES: dict[str, RoutingPolicy] = {
    "weighted": WeightedScore(),
    "random-in-region": RandomInRegion(),
    "least-reported-load": LeastReportedLoad(),
    "local-only": LocalOnly(),
    "cheapest": Cheapest(),
}


def rank_by_policy(
    policy: RoutingPolicy, options: list[Option], weights: Weights, accepted_cost: float
) -> list[Option]:
    """Return the options that the plan accepts, best first."""
    scored = rank_options(options, weights, accepted_cost)
    local = [option for option in scored if isinstance(option.target, LocalTarget)]
    match policy:
        case WeightedScore():
            return scored
        case RandomInRegion():
            random.shuffle(local)
            return local or scored
        case LeastReportedLoad():
            return sorted(scored, key=lambda option: option.wait_ms)
        case LocalOnly():
            return sorted(local, key=lambda option: option.wait_ms)
        case Cheapest():
            return sorted(scored, key=lambda option: (option.price, option.wait_ms))
