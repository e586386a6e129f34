"""What is held against one request, in a form that gateways join in any order."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import Fingerprint

DEATHS_TO_QUARANTINE = 2
# Broken connections to endpoints that seem to live on are weaker evidence than deaths.
BREAKS_TO_QUARANTINE = 4
SAME_DEATH_S = 3
# Observations kept of each kind; the newest ones decide.
MAX_OBSERVATIONS = 16
_RUN_MARK = "/"


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Observations about one request; ``dropped`` are those that were taken back.

    A death is written ``endpoint/run@seconds`` or ``endpoint@seconds``, a broken connection
    ``number@seconds``, each with the wall clock's time of the loss. What is not younger than
    ``answered_s``, when the request was last answered whole, does not count. Joining is
    commutative, associative and idempotent, so that gateways which exchange what they hold come to
    the same, whatever is lost or comes twice on the way.
    """

    fingerprint: Fingerprint
    deaths: frozenset[str] = field(default=frozenset())
    breaks: frozenset[str] = field(default=frozenset())
    dropped: frozenset[str] = field(default=frozenset())
    answered_s: int = 0

    @property
    def level(self) -> int:
        """How strong the suspicion is: from ``DEATHS_TO_QUARANTINE`` on it is a quarantine."""
        deaths = count_deaths(self.deaths)
        spare = BREAKS_TO_QUARANTINE - DEATHS_TO_QUARANTINE
        return max(deaths, deaths + len(self.breaks) - spare)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held against the request any more."""
        return not self.deaths and not self.breaks

    @property
    def point(self) -> int:
        """A hash of the content, 63 bits."""
        parts = [self.fingerprint, *sorted(self.deaths), "", *sorted(self.breaks), ""]
        content = "\0".join([*parts, *sorted(self.dropped), "", str(self.answered_s)])
        return xxhash.xxh3_64_intdigest(content.encode()) >> 1

    def joined(self, other: Suspicion) -> Suspicion:
        """Return what two gateways hold together."""
        answered_s = max(self.answered_s, other.answered_s)
        dropped = _newest(_younger(self.dropped | other.dropped, answered_s))
        return Suspicion(
            self.fingerprint,
            _newest(_younger(self.deaths | other.deaths, answered_s) - dropped),
            _newest(_younger(self.breaks | other.breaks, answered_s) - dropped),
            dropped,
            answered_s,
        )


def count_deaths(deaths: Iterable[str]) -> int:
    """Count deaths; those of one endpoint within a few seconds are one death seen twice.

    A run of an endpoint dies once, whenever that is seen.

    >>> count_deaths(["engine-1@100", "engine-1@101", "engine-1@130", "engine-2@100"])
    3
    >>> count_deaths(["engine-1/7@100", "engine-1/7@130", "engine-1/8@140"])
    2
    """
    count = 0
    last_endpoint, last_s = "", 0
    for death in sorted(deaths, key=_source_and_second):
        endpoint, at_s = _source_and_second(death)
        is_same_run = endpoint == last_endpoint and _RUN_MARK in endpoint
        is_seen_twice = endpoint == last_endpoint and at_s - last_s <= SAME_DEATH_S
        count += not (is_same_run or is_seen_twice)
        last_endpoint, last_s = endpoint, at_s
    return count


def _younger(observations: frozenset[str], answered_s: int) -> frozenset[str]:
    return frozenset(one for one in observations if _source_and_second(one)[1] > answered_s)


def _newest(observations: frozenset[str]) -> frozenset[str]:
    if len(observations) <= MAX_OBSERVATIONS:
        return observations
    ordered = sorted(observations, key=lambda one: (_source_and_second(one)[1], one))
    return frozenset(ordered[-MAX_OBSERVATIONS:])


def _source_and_second(observation: str) -> tuple[str, int]:
    source, _, second = observation.rpartition("@")
    return source, int(second) if second.isdecimal() else 0
