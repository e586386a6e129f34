"""Finds the parts of prompts that crash endpoints, among those that were lost in crashes.

Each crash is held against all shared parts of the prompts that ran on the endpoint, and a complete
answer clears all parts of its prompt. Sound parts collect crashes too: they precede the part that
crashes endpoints, or ran beside it. What distinguishes that part is that it was there in every
crash and never had a complete answer since.
"""

from __future__ import annotations

from functools import lru_cache
from itertools import pairwise
from typing import TYPE_CHECKING

from .suspicion import DEATHS_TO_QUARANTINE
from .suspicion import MAX_OBSERVATIONS
from .suspicion import crash_seconds

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import Fingerprint

    from .suspicion import Suspicion

MIN_CRASHES = 3
# Endpoints that fail together, as in the loss of a failure domain, are no evidence against a part:
# its crashes span this time, unless there are very many.
MIN_SPAN_S = 2
BURST_CRASHES = 6
# Two parts that cannot be told apart are both held after this many crashes over this time.
INDISTINCT_CRASHES = 5
INDISTINCT_SPAN_S = 5
# A part may have crashes that the part behind it does not explain, by other causes.
MAX_UNRELATED_CRASHES = 1
# A crash this long after the one before it is the result of a trial.
MIN_TRIAL_GAP_S = 5
# Crashes of a part that requests explain, at most, so that requests that always run beside a part
# that crashes endpoints delay its hold by this many crashes only.
MAX_PROVED_CRASHES = 3
# Most parts are unchanged between two searches. It exceeds the number of suspected parts.
MAX_KEPT_CRASH_SECONDS = 1_024


def find_crashing_parts(
    suspicions: Iterable[Suspicion], proved_crashes: Sequence[Mapping[str, int]] = ()
) -> dict[Fingerprint, int]:
    """Return the parts that explain the crashes, each with its suspicion level.

    ``proved_crashes`` are the crashes of each request that is known to crash endpoints, with their
    seconds. They do not count against a part that was not in all of them: such a request does not
    have the part. Crashes that the part's record has no longer or may not have yet are left out.

    The result depends on the set of suspicions only, so gateways that hold the same ones agree. Of
    parts that explain the same crashes, the one deepest in its prompts counts: a part that begins
    every prompt of a service is not held for the crashes of a part behind it.
    """
    known = {suspicion.fingerprint: suspicion for suspicion in suspicions}
    crashes = {key: _crash_seconds(suspicion.deaths) for key, suspicion in known.items()}
    proved_by_crash: dict[str, list[Mapping[str, int]]] = {}
    for proved in proved_crashes:
        for crash in proved:
            proved_by_crash.setdefault(crash, []).append(proved)
    unexplained = {
        key: _without_proved(found, proved_by_crash)
        for key, found in crashes.items()
        if len(found) >= MIN_CRASHES
    }
    containing: dict[str, list[Fingerprint]] = {}
    for key, open_crashes in unexplained.items():
        for crash in open_crashes:
            containing.setdefault(crash, []).append(key)

    def parts_with(some_crashes: Iterable[str]) -> list[Fingerprint]:
        names = {key for crash in some_crashes for key in containing[crash]}
        return [key for key in names if key in unexplained]

    levels: dict[Fingerprint, int] = {}
    # Parts only lose unexplained crashes, so the ranks only decrease: a part whose rank has
    # decreased is put back at its new one.
    by_count: dict[int, list[Fingerprint]] = {}
    for key, open_crashes in unexplained.items():
        by_count.setdefault(len(open_crashes), []).append(key)
    while by_count:
        largest = max(by_count)
        ordered = sorted(by_count.pop(largest), key=lambda key: (known[key].depth, key))
        while ordered:
            most = ordered.pop()
            open_crashes = unexplained.get(most, set())
            if not _is_enough(open_crashes, crashes[most]):
                continue
            if len(open_crashes) < largest:
                by_count.setdefault(len(open_crashes), []).append(most)
                continue
            related = [
                key
                for key in parts_with(open_crashes)
                if len(unexplained[key]) >= largest - MAX_UNRELATED_CRASHES
                and _is_enough(unexplained[key], crashes[key])
            ]
            culprit = max(related, key=lambda key: (known[key].depth, len(unexplained[key]), key))
            explained = unexplained[culprit]
            touched = parts_with(explained)
            indistinct = [
                key
                for key in touched
                if known[key].depth == known[culprit].depth and unexplained[key] >= explained
            ]
            if len(indistinct) == 1 or _is_persistent(explained, crashes[culprit]):
                for key in indistinct:
                    levels[key] = _level(crashes[key].values())
            for key in indistinct:
                del unexplained[key]
            if len(crashes[culprit]) >= MAX_OBSERVATIONS:
                touched = list(unexplained)
            for key in touched:
                if key in unexplained:
                    _remove_explained(unexplained[key], crashes[key], explained, crashes[culprit])
            if most in unexplained:
                ordered.append(most)
    return levels


def _without_proved(
    crashes: Mapping[str, int], proved_by_crash: Mapping[str, list[Mapping[str, int]]]
) -> set[str]:
    is_full = len(crashes) >= MAX_OBSERVATIONS
    # The part's record may have lost older crashes, and may not have received later ones.
    oldest_s = min(crashes.values()) if is_full else -1
    newest_s = max(crashes.values())

    def is_without_part(proved: Mapping[str, int]) -> bool:
        return any(oldest_s < proved[crash] < newest_s for crash in proved.keys() - crashes.keys())

    explained = [
        crash for crash in crashes if any(map(is_without_part, proved_by_crash.get(crash, ())))
    ]
    explained.sort(key=lambda crash: (crashes[crash], crash))
    return crashes.keys() - explained[:MAX_PROVED_CRASHES]


@lru_cache(MAX_KEPT_CRASH_SECONDS)
def _crash_seconds(crashes: frozenset[str]) -> Mapping[str, int]:
    return crash_seconds(crashes)


def _remove_explained(
    unexplained: set[str],
    seconds: Mapping[str, int],
    explained: set[str],
    explained_seconds: Mapping[str, int],
) -> None:
    unexplained -= explained
    if len(explained_seconds) < MAX_OBSERVATIONS:
        return
    # The culprit's older crashes are no longer held.
    oldest_s = min(explained_seconds.values())
    unexplained -= {crash for crash in unexplained if seconds[crash] <= oldest_s}


def _is_enough(crashes: set[str], seconds: Mapping[str, int]) -> bool:
    if len(crashes) < MIN_CRASHES:
        return False
    return len(crashes) >= BURST_CRASHES or _span_s(crashes, seconds) >= MIN_SPAN_S


def _is_persistent(crashes: set[str], seconds: Mapping[str, int]) -> bool:
    is_long = _span_s(crashes, seconds) >= INDISTINCT_SPAN_S
    return len(crashes) >= INDISTINCT_CRASHES and is_long


def _span_s(crashes: set[str], seconds: Mapping[str, int]) -> int:
    times_s = [seconds[crash] for crash in crashes]
    return max(times_s) - min(times_s)


def _level(times_s: Iterable[int]) -> int:
    """Return the level of a held part: it grows with each trial that ended in a crash."""
    later = sorted(times_s)[MIN_CRASHES - 1 :]
    trials = sum(after - before >= MIN_TRIAL_GAP_S for before, after in pairwise(later))
    return DEATHS_TO_QUARANTINE + trials
