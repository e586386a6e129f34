"""Chooses which observations of request limits go into updates and digests.

Updates repeat a member's own observations for a while because datagrams can be lost. Digests hold
what changed since the one before, and full digests hold everything, so that a gateway that starts
later or was disconnected learns of all limits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

if TYPE_CHECKING:
    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.request_limits import LimitObservation
    from ..endpoints.request_limits import RequestLimits

# Updates are sent at least four times per second.
UPDATE_REPEAT_S = 3.0
MAX_LIMITS_IN_UPDATE = 50
MAX_LIMITS_IN_DIGEST = 200
# Each answer of an endpoint names its limit again. Digests repeat an unchanged limit that was named
# again only after this time.
RENEWAL_INTERVAL_S = 0.5
MAX_RUNS = 4_096


class LimitSync:
    """Reports one gateway's observations to its collectors, and its region's to its members."""

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self._sent_s: BoundedMap[EndpointRun, float] = BoundedMap(MAX_RUNS)
        self._sent: BoundedMap[EndpointRun, LimitObservation] = BoundedMap(MAX_RUNS)

    def for_update(self) -> tuple[LimitObservation, ...]:
        """Return this gateway's own recent observations, the newest first."""
        return _newest(self._limits.own_observations(UPDATE_REPEAT_S), MAX_LIMITS_IN_UPDATE)

    def for_full_digest(self) -> tuple[LimitObservation, ...]:
        """Return all known observations, the newest first."""
        return _newest(self._limits.observations(), MAX_LIMITS_IN_DIGEST)

    def take_changes(self) -> tuple[LimitObservation, ...]:
        """Return the observations that changed since the last call, as many as fit."""
        now_s = self._limits.now_s()
        changed = [
            observation
            for observation in self._limits.observations()
            if self._is_due(observation, now_s)
        ]
        chosen = _newest(changed, MAX_LIMITS_IN_DIGEST)
        for observation in chosen:
            self._sent.put(observation.run, observation)
            self._sent_s.put(observation.run, now_s)
        return chosen

    def _is_due(self, observation: LimitObservation, now_s: float) -> bool:
        sent = self._sent.get(observation.run)
        if sent is None or _value(sent) != _value(observation):
            return True
        if sent.observation == observation.observation:
            return False
        return now_s - self._sent_s[observation.run] >= RENEWAL_INTERVAL_S


def _value(observation: LimitObservation) -> tuple[float, bool]:
    return observation.limit_per_s, observation.is_lifted


def _newest(observations: list[LimitObservation], count: int) -> tuple[LimitObservation, ...]:
    return tuple(sorted(observations, key=lambda observation: observation.age_s)[:count])
