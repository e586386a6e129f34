"""Chooses which observations of request limits go into updates and digests.

Both hold what changed and, now and then, what was merely named again. Updates repeat a change for a
while because datagrams can be lost. Full digests hold everything, so that a gateway that starts
later or was disconnected learns of all limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.request_limits import LimitObservation
    from ..endpoints.request_limits import RequestLimits

# Updates are sent at least four times per second.
UPDATE_REPEAT_S = 3.0
MAX_LIMITS_IN_UPDATE = 50
MAX_LIMITS_IN_DIGEST = 200
# Each answer of an endpoint names its limit again. That is reported often enough for
# ``LIFT_AFTER_S`` to be counted from one of the latest answers.
RENEWAL_INTERVAL_S = 2.0
MAX_RUNS = 4_096


class LimitSync:
    """Reports one gateway's observations to its collectors, and its region's to its members."""

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self._in_updates = _ReportLog(UPDATE_REPEAT_S)
        self._in_digests = _ReportLog(repeat_s=0.0)

    def for_update(self) -> tuple[LimitObservation, ...]:
        """Return this gateway's own observations that are due, the newest first."""
        own = self._limits.own_observations(UPDATE_REPEAT_S)
        return self._in_updates.take_due(own, self._limits.now_s(), MAX_LIMITS_IN_UPDATE)

    def for_full_digest(self) -> tuple[LimitObservation, ...]:
        """Return all known observations, the newest first."""
        return _newest(self._limits.observations(), MAX_LIMITS_IN_DIGEST)

    def take_changes(self) -> tuple[LimitObservation, ...]:
        """Return the observations that changed since the last call, as many as fit."""
        known = self._limits.observations()
        return self._in_digests.take_due(known, self._limits.now_s(), MAX_LIMITS_IN_DIGEST)


@dataclass(frozen=True, slots=True)
class _Report:
    """The last report on a run; the value has been the same since ``changed_s``."""

    observation: LimitObservation
    changed_s: float
    sent_s: float

    def agrees_with(self, observation: LimitObservation) -> bool:
        """Whether an observation says the same."""
        last = self.observation
        return (last.limit_per_s, last.is_lifted) == (
            observation.limit_per_s,
            observation.is_lifted,
        )


class _ReportLog:
    """What was reported on each run. A change is repeated for ``repeat_s``."""

    def __init__(self, repeat_s: float) -> None:
        self._repeat_s = repeat_s
        self._reports: BoundedMap[EndpointRun, _Report] = BoundedMap(MAX_RUNS)

    def take_due(
        self, observations: Iterable[LimitObservation], now_s: float, count: int
    ) -> tuple[LimitObservation, ...]:
        """Return the newest ``count`` observations that are due, and record them as reported."""
        due = [observation for observation in observations if self._is_due(observation, now_s)]
        chosen = _newest(due, count)
        for observation in chosen:
            last = self._reports.get(observation.run)
            changed_s = (
                last.changed_s if last is not None and last.agrees_with(observation) else now_s
            )
            self._reports.put(observation.run, _Report(observation, changed_s, now_s))
        return chosen

    def _is_due(self, observation: LimitObservation, now_s: float) -> bool:
        last = self._reports.get(observation.run)
        if last is None or not last.agrees_with(observation):
            return True
        if now_s - last.changed_s < self._repeat_s:
            return True
        is_new = observation.observation != last.observation.observation
        return is_new and now_s - last.sent_s >= RENEWAL_INTERVAL_S


def _newest(observations: list[LimitObservation], count: int) -> tuple[LimitObservation, ...]:
    return tuple(sorted(observations, key=lambda observation: observation.age_s)[:count])
