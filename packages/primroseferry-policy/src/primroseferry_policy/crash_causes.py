"""Finds the requests that explain crashes in which other requests were lost too.

An endpoint crash is held against every request that ran on the endpoint. Where one of them has
been lost in several crashes, that crash says little about the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from .suspicion import DEATH_WEIGHT
from .suspicion import DEATHS_TO_QUARANTINE
from .suspicion import STARTED_CRASH_WEIGHT
from .suspicion import TRIAL_PREFIX
from .suspicion import crash_seconds
from .suspicion import started_crashes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import Fingerprint

    from .suspicion import Suspicion

MIN_CAUSED_CRASHES = 3
# Weight of an explained crash. A request is held after at most four crashes, even if the first
# three are explained by a request that it always ran beside.
EXPLAINED_CRASH_WEIGHT = 2
MAX_EXPLAINED_CRASHES = 3
# Crashes after a request was held by which all of its crashes have their full weight again.
FULL_WEIGHT_TRIALS = 2
# Crashes before its answer with which a request explains crashes of parts, too. Sound requests that
# ran beside several crashes have had an answer that began in most of them.
MIN_PROVED_DEATHS = 3
# Most requests are unchanged between two searches. It is the greatest number of suspected ones.
MAX_KEPT_CRASH_TIMES = 1_024


@dataclass(frozen=True, slots=True)
class CrashCause:
    """A request that explains crashes, and all crashes in which it was lost.

    ``deaths`` is the number of those before its answer began.
    """

    fingerprint: Fingerprint
    crashes: frozenset[str]
    deaths: int

    @property
    def is_proved(self) -> bool:
        """Whether the crashes of parts that were not in the request's prompt count no longer."""
        return self.deaths >= MIN_PROVED_DEATHS


def may_explain_crashes(suspicion: Suspicion) -> bool:
    """Whether a request has enough observations to explain the crashes of others."""
    return len(suspicion.deaths) + len(suspicion.breaks) >= MIN_CAUSED_CRASHES


def find_crash_causes(known: Mapping[Fingerprint, Mapping[str, int]]) -> list[CrashCause]:
    """Return the requests that explain crashes, those with the strongest evidence first.

    ``known`` has the :func:`crash_weights` of each request. The result depends on nothing else, so
    gateways that hold the same records agree. A crash that is in several causes belongs to the
    first.

    A request's sum of unexplained weights only decreases. So requests are visited by descending
    sum, and one whose sum has decreased is visited again at the new one.
    """
    causes = []
    explained: set[str] = set()
    by_sum: dict[int, list[Fingerprint]] = {}
    for fingerprint, weights in known.items():
        by_sum.setdefault(sum(weights.values()), []).append(fingerprint)
    while by_sum:
        largest = max(by_sum)
        # A crash before the answer is the stronger evidence: sound requests are mostly lost later.
        for fingerprint in sorted(by_sum.pop(largest), reverse=True):
            weights = known[fingerprint]
            left = weights if explained.isdisjoint(weights) else weights.keys() - explained
            if len(left) < MIN_CAUSED_CRASHES:
                continue
            left_sum = sum(map(weights.__getitem__, left))
            if left_sum < largest:
                by_sum.setdefault(left_sum, []).append(fingerprint)
                continue
            deaths = sum(weight == DEATH_WEIGHT for weight in weights.values())
            causes.append(CrashCause(fingerprint, frozenset(weights), deaths))
            explained.update(left)
    return causes


def explained_level(suspicion: Suspicion, causes: Mapping[str, Fingerprint]) -> int:
    """Return the level of a request, reduced for crashes that others explain.

    A request with more crashes than can be explained is held, and each further crash is taken for
    that of a trial. After the second one the reduction ends, so that a request that crashes
    endpoints does so as often in a day as without it. Sound requests that were held together are
    tried together and crash once more, so the first trial does not end it.
    """
    deaths = crash_seconds(suspicion.deaths)
    started = crash_seconds(started_crashes(suspicion.breaks))

    def count(crashes: Iterable[str]) -> int:
        own = suspicion.fingerprint
        return sum(causes.get(crash, own) != own for crash in crashes)

    before_answer = min(count(deaths), MAX_EXPLAINED_CRASHES)
    after_start = min(count(started), MAX_EXPLAINED_CRASHES - before_answer)
    reduction = before_answer * (DEATH_WEIGHT - EXPLAINED_CRASH_WEIGHT) + after_start * (
        STARTED_CRASH_WEIGHT - EXPLAINED_CRASH_WEIGHT
    )
    trials = len(deaths) + len(started) - MAX_EXPLAINED_CRASHES - 1
    if trials >= FULL_WEIGHT_TRIALS:
        return suspicion.level
    level = (suspicion.weight - reduction) // DEATH_WEIGHT
    return max(level, min(suspicion.level, DEATHS_TO_QUARANTINE + trials)) if trials >= 0 else level


@lru_cache(MAX_KEPT_CRASH_TIMES)
def crash_times(suspicion: Suspicion) -> Mapping[str, int]:
    """Return the distinct crashes in which a request was lost, each with its second."""
    deaths = [death for death in suspicion.deaths if not death.startswith(TRIAL_PREFIX)]
    return crash_seconds([*deaths, *started_crashes(suspicion.breaks)])


def crash_weights(suspicion: Suspicion) -> dict[str, int]:
    """Return the distinct crashes in which a request was lost, each with its weight.

    They are named as by :func:`crash_seconds`.
    """
    weights = dict.fromkeys(crash_seconds(started_crashes(suspicion.breaks)), STARTED_CRASH_WEIGHT)
    for crash in crash_seconds(suspicion.deaths):
        if not crash.startswith(TRIAL_PREFIX):
            weights[crash] = DEATH_WEIGHT
    return weights
