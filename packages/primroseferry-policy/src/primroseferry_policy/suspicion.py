"""Evidence that one request crashes endpoints, as a state that gateways merge in any order."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import xxhash

from .open_loss import parse_open_loss

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import Fingerprint

DEATHS_TO_QUARANTINE = 2
# Weights of the observations, relative to a crash before the answer began. Most requests that are
# lost with an endpoint have begun their answer, so three such crashes are a quarantine. A broken
# connection to an endpoint that appears to be alive counts less; four of them are one.
DEATH_WEIGHT = 6
STARTED_CRASH_WEIGHT = 4
BREAK_WEIGHT = 3
SAME_DEATH_WINDOW_S = 3
UNKNOWN_RUN_WINDOW_S = 5
_STARTED_PREFIX = "began:"
# Begins the id of a trial, which counts as a crash while its outcome is unknown.
TRIAL_PREFIX = "trial-"
# Limit for each kind of observation; the newest are retained.
MAX_OBSERVATIONS = 16
_RUN_SEPARATOR = "/"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Observations about one request, or about one part of prompts.

    ``retracted`` has those that no longer count. ``depth`` is how many parts precede a part in a
    prompt, at most; 0 for a request. ``losses`` has lost attempts without a proved cause, as
    :attr:`OpenLoss.id`. They have no weight; gateways replace them by crashes or retract them.

    A crash is written ``endpoint/run@seconds`` or ``endpoint@seconds``, a broken connection
    ``number@seconds``, where seconds is the wall-clock time of the loss. A crash after the answer
    began is among the broken connections, as :func:`started_crash_id`. Only observations newer
    than ``answered_s``, the time of the last complete answer, count. Merging is commutative,
    associative and idempotent, so gateways that exchange their state converge even if messages are
    lost, duplicated or reordered.
    """

    fingerprint: Fingerprint
    deaths: frozenset[str] = field(default=frozenset())
    breaks: frozenset[str] = field(default=frozenset())
    retracted: frozenset[str] = field(default=frozenset())
    answered_s: int = 0
    depth: int = 0
    losses: frozenset[str] = field(default=frozenset())

    @property
    def level(self) -> int:
        """Strength of the suspicion; ``DEATHS_TO_QUARANTINE`` or more is a quarantine."""
        return self.weight // DEATH_WEIGHT

    @property
    def weight(self) -> int:
        """Sum of the weights of the distinct observations."""
        started = started_crashes(self.breaks)
        return (
            count_deaths(self.deaths) * DEATH_WEIGHT
            + count_deaths(started) * STARTED_CRASH_WEIGHT
            + (len(self.breaks) - len(started)) * BREAK_WEIGHT
        )

    @property
    def is_repeated(self) -> bool:
        """Whether more than one loss is known of the request, with or without a proved cause."""
        return self.weight > DEATH_WEIGHT or (bool(self.losses) and self._count_lost_runs() > 1)

    @property
    def is_empty(self) -> bool:
        """Whether no observation counts against the request."""
        return not self.deaths and not self.breaks

    @property
    def content_hash(self) -> int:
        """A 63-bit hash of the content; equal suspicions have equal hashes."""
        parts = [self.fingerprint, *sorted(self.deaths), "", *sorted(self.breaks), ""]
        parts += [*sorted(self.retracted), "", str(self.answered_s)]
        if self.depth:  # Earlier releases hash suspicions without it.
            parts.append(str(self.depth))
        if self.losses:
            parts += ["losses", *sorted(self.losses)]
        content = "\0".join(parts)
        return xxhash.xxh3_64_intdigest(content.encode()) >> 1

    def merged_with(self, other: Suspicion) -> Suspicion:
        """Return this suspicion merged with the one of another gateway."""
        answered_s = max(self.answered_s, other.answered_s)
        retracted = _newest(_newer_than(self.retracted | other.retracted, answered_s))
        return Suspicion(
            self.fingerprint,
            _newest(_newer_than(self.deaths | other.deaths, answered_s) - retracted),
            _newest(_newer_than(self.breaks | other.breaks, answered_s) - retracted),
            retracted,
            answered_s,
            max(self.depth, other.depth),
            _newest(_newer_than(self.losses | other.losses, answered_s) - retracted),
        )

    def _count_lost_runs(self) -> int:
        crashes = [entry.removeprefix(_STARTED_PREFIX) for entry in self.deaths | self.breaks]
        crashes += [loss.crash for name in self.losses if (loss := parse_open_loss(name))]
        explained = {loss.observation for name in self.losses if (loss := parse_open_loss(name))}
        return count_deaths(crash for crash in crashes if crash not in explained)


def started_crash_id(crash: str) -> str:
    """Return the id of a crash that ended an endpoint after the request's answer had begun.

    >>> started_crash_id("engine-1/7@100")
    'began:engine-1/7@100'
    """
    return f"{_STARTED_PREFIX}{crash}"


def started_crashes(breaks: Iterable[str]) -> list[str]:
    """Return the crashes after the answer began that are among broken connections.

    >>> started_crashes(["began:engine-1/7@100", "12ab@100"])
    ['engine-1/7@100']
    """
    return [
        entry.removeprefix(_STARTED_PREFIX) for entry in breaks if entry.startswith(_STARTED_PREFIX)
    ]


def count_deaths(deaths: Iterable[str]) -> int:
    """Count distinct crashes.

    Observations of one endpoint at most ``SAME_DEATH_WINDOW_S`` apart are one crash that several
    gateways observed. Observations of the same run of an endpoint are one crash at any distance,
    because a run crashes only once.

    >>> count_deaths(["engine-1@100", "engine-1@101", "engine-1@130", "engine-2@100"])
    3
    >>> count_deaths(["engine-1/7@100", "engine-1/7@130", "engine-1/8@140"])
    2
    """
    count = 0
    last_endpoint, last_s = "", 0
    for death in sorted(deaths, key=_source_and_second):
        endpoint, at_s = _source_and_second(death)
        is_same_run = endpoint == last_endpoint and _RUN_SEPARATOR in endpoint
        is_seen_twice = endpoint == last_endpoint and at_s - last_s <= SAME_DEATH_WINDOW_S
        count += not (is_same_run or is_seen_twice)
        last_endpoint, last_s = endpoint, at_s
    return count


def crash_seconds(deaths: Iterable[str]) -> dict[str, int]:
    """Return the distinct crashes, each with the second of its first observation.

    The names are equal for all requests and parts that were lost in one crash. Crashes of an
    endpoint whose runs are unknown are one if they fall into the same few seconds.

    >>> crash_seconds(["engine-1/7@102", "engine-1/7@101", "engine-2/1@101"])
    {'engine-1/7': 101, 'engine-2/1': 101}
    """
    seconds: dict[str, int] = {}
    for death in sorted(deaths):
        source, second = _source_and_second(death)
        if _RUN_SEPARATOR not in source:
            source = f"{source}@{second // UNKNOWN_RUN_WINDOW_S}"
        seconds[source] = min(second, seconds.get(source, second))
    return seconds


def _newer_than(observations: frozenset[str], answered_s: int) -> frozenset[str]:
    return frozenset(
        observation
        for observation in observations
        if _source_and_second(observation)[1] > answered_s
    )


def _newest(observations: frozenset[str]) -> frozenset[str]:
    if len(observations) <= MAX_OBSERVATIONS:
        return observations
    ordered = sorted(
        observations, key=lambda observation: (_source_and_second(observation)[1], observation)
    )
    return frozenset(ordered[-MAX_OBSERVATIONS:])


def _source_and_second(observation: str) -> tuple[str, int]:
    source, _, second = observation.rpartition("@")
    return source, int(second) if second.isdecimal() else 0
