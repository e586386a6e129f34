"""The request limits that endpoints name in their answers, for all gateways of a region together.

For each run of an endpoint, the newest observation counts: an answer that named a limit, or one
that lifted it by naming none. Gateways exchange observations with their ages, so that each gateway
keeps a limit that another one was told.

A lifted limit is raised in steps before it ends: an endpoint that was just in need does not get the
requests of all gateways at once, and one whose limit comes and goes stays near it.
"""

from __future__ import annotations

import math
import random
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .endpoint_point import run_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from .endpoint import EndpointRun
    from .endpoint_point import RunHash

ObservationId = NewType("ObservationId", int)

# An answer without a limit lifts a limit only if no answer has named it for this long. Answers of
# one endpoint reach gateways out of order, and some endpoints name their limit in part of them.
LIFT_AFTER_S = 3.0
# A lifted limit doubles at this interval, for this many times, and then ends.
RAMP_STEP_S = 1.0
RAMP_STEPS = 6
# The least limit from which a lifted one is raised.
MIN_RAMP_PER_S = 1.0
# A fleet replaces far fewer endpoints in an hour.
MAX_RUNS = 4_096
# Higher limits are reduced to this, so that intervals between requests stay above 0.
MAX_LIMIT_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """What an answer of an endpoint said about its limit, and how long ago.

    ``limit_per_s`` is the named limit, or the one that the answer lifted if ``is_lifted``.
    ``observation`` identifies the answer: copies of one observation are not newer than the
    original, whatever their age says.
    """

    run: EndpointRun
    limit_per_s: float
    is_lifted: bool
    observation: ObservationId
    age_s: float


@dataclass(frozen=True, slots=True)
class _Known:
    limit_per_s: float
    is_lifted: bool
    observation: ObservationId
    observed_s: float
    is_own: bool

    @property
    def named_per_s(self) -> float | None:
        """The limit that the endpoint names, ``None`` if it names none any more."""
        return None if self.is_lifted else self.limit_per_s

    def in_force_per_s(self, now_s: float) -> float | None:
        """The limit to keep now, ``None`` for no limit."""
        if not self.is_lifted:
            return self.limit_per_s
        steps = 1 + int((now_s - self.observed_s) / RAMP_STEP_S)
        if steps > RAMP_STEPS:
            return None
        return max(self.limit_per_s, MIN_RAMP_PER_S) * float(2**steps)


def clock_with_suspension_s() -> float:
    """Return seconds of a clock that includes the time for which the machine was suspended.

    After a suspension, ages by the monotonic clock would be too low.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RequestLimits:
    """The newest observation of each endpoint's run."""

    def __init__(
        self,
        clock_s: Callable[[], float] = clock_with_suspension_s,
        rng: random.Random | None = None,
    ) -> None:
        self._clock_s = clock_s
        self._rng = rng or random.Random()
        self._known: BoundedMap[EndpointRun, _Known] = BoundedMap(MAX_RUNS)
        self._runs: BoundedMap[RunHash, EndpointRun] = BoundedMap(MAX_RUNS)
        self._invalid: BoundedMap[EndpointRun, None] = BoundedMap(MAX_RUNS)
        self._lock = threading.Lock()

    def now_s(self) -> float:
        """Return the present time, to pass as ``sent_s`` of a request."""
        return self._clock_s()

    def note_answer(self, run: EndpointRun, limit_per_s: float | None, sent_s: float) -> bool:
        """Record an answer to a request that was sent at ``sent_s``; ``None`` names no limit.

        Return ``True`` if the limit in force has changed.
        """
        now_s = self._clock_s()
        with self._lock:
            known = self._known.get(run)
            before = known.named_per_s if known is not None else None
            observation = ObservationId(self._rng.getrandbits(32))
            if limit_per_s is not None:
                limit = min(limit_per_s, MAX_LIMIT_PER_S)
                new = _Known(limit, False, observation, now_s, is_own=True)
            elif known is not None and _lifts(known, sent_s, now_s):
                new = _Known(known.limit_per_s, True, observation, now_s, is_own=True)
            else:
                return False
            self._put(run, new)
        return self._log_change(run, before, new.named_per_s, "answer", 0.0)

    def note_invalid(self, run: EndpointRun, status: int) -> None:
        """Log once a run that named something else than a limit; it changes nothing."""
        with self._lock:
            if run in self._invalid:
                return
            self._invalid.put(run, None)
        log_event(Event.REQUEST_LIMIT_INVALID, endpoint=run.endpoint, status=status)

    def merge(self, observations: Iterable[LimitObservation]) -> bool:
        """Add the observations of other gateways; return ``True`` if a limit in force changed."""
        has_changed = False
        for received in observations:
            if not math.isfinite(received.age_s) or received.age_s < 0:
                continue
            observed_s = self._clock_s() - received.age_s
            with self._lock:
                known = self._known.get(received.run)
                if known is not None and (
                    known.observation == received.observation or known.observed_s >= observed_s
                ):
                    continue
                before = known.named_per_s if known is not None else None
                new = _Known(
                    received.limit_per_s,
                    received.is_lifted,
                    received.observation,
                    observed_s,
                    is_own=False,
                )
                self._put(received.run, new)
            has_changed |= self._log_change(
                received.run, before, new.named_per_s, "peer", received.age_s
            )
        return has_changed

    @property
    def is_empty(self) -> bool:
        """Whether no run ever named a limit."""
        return not self._known

    def limit_per_s(self, run: EndpointRun) -> float | None:
        """Return the requests per second to keep to at a run, ``None`` for no limit."""
        with self._lock:
            known = self._known.get(run)
        return known.in_force_per_s(self._clock_s()) if known is not None else None

    def find_run(self, wanted: RunHash) -> EndpointRun | None:
        """Return the run with this hash, ``None`` if none with it ever named a limit."""
        with self._lock:
            return self._runs.get(wanted)

    def in_force(self) -> Mapping[EndpointRun, float]:
        """Return all limits in force."""
        now_s = self._clock_s()
        with self._lock:
            limits = {run: known.in_force_per_s(now_s) for run, known in self._known.items()}
        return {run: limit for run, limit in limits.items() if limit is not None}

    def observations(self) -> list[LimitObservation]:
        """Return the newest observation of each run with its present age."""
        now_s = self._clock_s()
        with self._lock:
            return [_aged(run, known, now_s) for run, known in self._known.items()]

    def own_observations(self, max_age_s: float) -> list[LimitObservation]:
        """Return this gateway's own observations that are not older than ``max_age_s``."""
        now_s = self._clock_s()
        with self._lock:
            return [
                _aged(run, known, now_s)
                for run, known in self._known.items()
                if known.is_own and now_s - known.observed_s <= max_age_s
            ]

    def _put(self, run: EndpointRun, known: _Known) -> None:
        if run not in self._known:
            self._runs.put(run_hash(run), run)
        self._known.put(run, known)

    def _log_change(
        self,
        run: EndpointRun,
        before: float | None,
        limit_per_s: float | None,
        source: str,
        age_s: float,
    ) -> bool:
        if limit_per_s == before:
            return False
        log_event(
            Event.REQUEST_LIMIT_CHANGED,
            endpoint=run.endpoint,
            limit_per_s=limit_per_s,
            previous_per_s=before,
            source=source,
            age_ms=round(age_s * 1000),
        )
        return True


def _aged(run: EndpointRun, known: _Known, now_s: float) -> LimitObservation:
    age_s = max(0.0, now_s - known.observed_s)
    return LimitObservation(run, known.limit_per_s, known.is_lifted, known.observation, age_s)


def _lifts(known: _Known, sent_s: float, now_s: float) -> bool:
    """Whether an answer without a limit lifts the known one."""
    # The answer may be older than the one that named the limit.
    is_newer = sent_s >= known.observed_s and now_s - known.observed_s >= LIFT_AFTER_S
    return is_newer and not known.is_lifted
