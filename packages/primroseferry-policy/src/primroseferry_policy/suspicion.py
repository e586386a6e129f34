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


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Observations about one request; ``dropped`` are those from before a whole answer.

    A death is written ``endpoint@seconds``, a broken connection ``number@seconds``. Joining is
    commutative, associative and idempotent, so that gateways which exchange what they hold come to
    the same, whatever is lost or comes twice on the way.
    """

    fingerprint: Fingerprint
    deaths: frozenset[str] = field(default=frozenset())
    breaks: frozenset[str] = field(default=frozenset())
    dropped: frozenset[str] = field(default=frozenset())

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
        content = "\0".join([*parts, *sorted(self.dropped)])
        return xxhash.xxh3_64_intdigest(content.encode()) >> 1

    def joined(self, other: Suspicion) -> Suspicion:
        """Return what two gateways hold together."""
        dropped = _newest(self.dropped | other.dropped)
        return Suspicion(
            self.fingerprint,
            _newest((self.deaths | other.deaths) - dropped),
            _newest((self.breaks | other.breaks) - dropped),
            dropped,
        )


def count_deaths(deaths: Iterable[str]) -> int:
    """Count deaths; those of one endpoint within a few seconds are one death seen twice.

    >>> count_deaths(["engine-1@100", "engine-1@101", "engine-1@130", "engine-2@100"])
    3
    """
    count = 0
    last_endpoint, last_s = "", 0
    for death in sorted(deaths, key=_source_and_second):
        endpoint, at_s = _source_and_second(death)
        if endpoint != last_endpoint or at_s - last_s > SAME_DEATH_S:
            count += 1
        last_endpoint, last_s = endpoint, at_s
    return count


def _newest(observations: frozenset[str]) -> frozenset[str]:
    if len(observations) <= MAX_OBSERVATIONS:
        return observations
    ordered = sorted(observations, key=lambda one: (_source_and_second(one)[1], one))
    return frozenset(ordered[-MAX_OBSERVATIONS:])


def _source_and_second(observation: str) -> tuple[str, int]:
    source, _, second = observation.rpartition("@")
    return source, int(second) if second.isdecimal() else 0
