"""Decisions for callers that compete for engines without room for all of them.

Three loads need them. A burst of long prompts fills the engines' prefill, and the short, urgent
requests that arrive meanwhile wait behind it: their first events come late, or their events pause
for too long, which takes most of their value. Demand that moves between regions fills one region
while others have free slots. And demand beyond the capacity of all engines makes every request
late if all of them are admitted.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Less urgent requests may fill an engine's prefill for this share of the shortest latency target
# among the routes of its service. The rest is left for an urgent request's own prefill and for the
# steps of the streams that run beside it.
BACKLOG_TARGET_SHARE = 0.5
# The share of its time that an engine may spend on prefill, for the most urgent requests and for
# the others. The rest is left for generation: with less, streams miss their deadlines.
MAX_URGENT_PREFILL_SHARE = 0.9
MAX_PREFILL_SHARE = 0.78
# The part of the prefill that keeps pauses short which less urgent requests may use.
LESS_URGENT_SHARE = 0.75
# A request leaves its region when its first event is expected after this share of its target.
LATE_TARGET_SHARE = 0.5
# Estimates of two regions that differ by less are equal.
MIN_TIME_GAIN_MS = 30.0
# An engine is given no request that would be late if waiting for other requests takes more than
# this share of the target. Less is not worth a refusal, and long prompts take their own time.
WAIT_TARGET_SHARE = 0.25
# The time to the first event that is always granted, as a share of the target: a request that has
# waited in the gateway still goes to an engine that is nearly free.
MIN_BUDGET_TARGET_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class RegionPlace:
    """The best place for a request in one region.

    ``first_ms`` is the expected time to the first event, including the path to the region.
    ``is_queued``: the request would wait for a free slot.
    """

    first_ms: float
    is_queued: bool


def backlog_limit_ms(shortest_target_ms: float) -> float:
    """Return for how long the prefill of less urgent requests may occupy an engine.

    ``shortest_target_ms`` is that of the routes of a service, 0 if none is known.

    >>> backlog_limit_ms(500.0)
    250.0
    """
    return shortest_target_ms * BACKLOG_TARGET_SHARE if shortest_target_ms > 0 else math.inf


@dataclass(frozen=True, slots=True)
class PrefillLimits:
    """How much prefill the engines of a service may do beside running streams.

    ``backlog_ms`` bounds the time that the prefill of less urgent requests may take. ``share`` is
    the part of an engine's time that prefill may take. ``yield_factor`` is the part of both that
    less urgent requests may use now.
    """

    backlog_ms: float = math.inf
    share: float = math.inf
    yield_factor: float = 1.0

    def max_share(self, is_urgent: bool) -> float:
        """Return the share of an engine's time up to which a request may add prefill."""
        if is_urgent:
            return min(MAX_URGENT_PREFILL_SHARE, self.share)
        return min(MAX_PREFILL_SHARE, self.share * LESS_URGENT_SHARE) * self.yield_factor

    @property
    def max_backlog_ms(self) -> float:
        """For how long the prefill of less urgent requests may occupy an engine now."""
        return self.backlog_ms * self.yield_factor


NO_LIMITS = PrefillLimits()


def prefill_share(shortest_gap_ms: float, event_ms: float) -> float:
    """Return the share of prefill with which events come at most ``shortest_gap_ms`` apart.

    ``event_ms`` is the time between events of an engine that does prefill in each step. Infinity if
    a figure is not known.

    >>> prefill_share(300.0, event_ms=600.0)
    0.5
    """
    if shortest_gap_ms <= 0 or event_ms <= 0:
        return math.inf
    return shortest_gap_ms / event_ms


def exceeds_backlog(
    backlog_tokens: int, tokens: int, tokens_per_ms: float, limit_ms: float
) -> bool:
    """Whether further ``tokens`` would make an engine's prefill longer than its limit.

    An engine that has no prefill to do takes a prompt beyond the limit.
    """
    return backlog_tokens > 0 and backlog_tokens + tokens > limit_ms * tokens_per_ms


def remaining_budget_ms(target_ms: float, waited_ms: float) -> float:
    """Return the time to the first event that a request which has waited may still take.

    >>> remaining_budget_ms(500.0, waited_ms=100.0), remaining_budget_ms(500.0, waited_ms=450.0)
    (400.0, 150.0)
    """
    return max(MIN_BUDGET_TARGET_SHARE * target_ms, target_ms - waited_ms)


def would_be_late(first_ms: float, own_ms: float, budget_ms: float) -> bool:
    """Whether other requests make an engine's first event of this one come after its budget.

    ``own_ms`` is the part of ``first_ms`` that the request itself takes on a free engine. Admitting
    it would let it be late and delay those after it, so that in the end all are late.
    """
    return first_ms > budget_ms and first_ms - own_ms > WAIT_TARGET_SHARE * budget_ms


def leaves_region(local: RegionPlace, remote: RegionPlace, target_ms: float) -> bool | None:
    """Return whether a request is to leave its region, ``None`` if neither place is in trouble.

    A free slot elsewhere is better than a queue here. A request that would be late goes where its
    first event comes first; the cached prompt parts that it leaves behind count as their time only,
    since a late answer costs its caller more than the prefill costs the engines.
    """
    if local.is_queued and not remote.is_queued:
        return True
    if local.first_ms > LATE_TARGET_SHARE * target_ms:
        return remote.first_ms + MIN_TIME_GAIN_MS < local.first_ms
    return None
