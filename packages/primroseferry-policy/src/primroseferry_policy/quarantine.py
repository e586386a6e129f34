"""Requests that crash the endpoints that run them.

Every request that was running on an endpoint when it died is blamed with that death; one whose
connection broke on an endpoint that seems to live is suspected less. What was held against a
request is dropped with its first whole answer: a request that crashes endpoints never gets one.

A request with enough against it is quarantined. Where waits for trials are given, it is sent once
more after each wait, so that one which was only near the crashes of others is served again soon;
each further death makes the next wait longer.
"""

from __future__ import annotations

import secrets
import struct
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.recent_map import RecentMap

from .suspicion import DEATHS_TO_QUARANTINE
from .suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primroseferry_core.ids import Fingerprint

# A blame is forgotten after this time, so that a quarantine without trials ends.
BLAME_TTL_S = 600.0
# Longer than any gateway or the store keeps what was dropped.
CLEARED_TTL_S = 600.0
MAX_SUSPECTS = 1_024
# Requests whose last whole answer is remembered, for blames that come later than that.
MAX_ANSWERED = 2_048
EXPIRY_PAUSE_S = 1.0
_POINT = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class ToldSuspicion:
    """A suspicion as gateways tell it, with the age of what was added to it last."""

    suspicion: Suspicion
    age_s: float


@dataclass(frozen=True, slots=True)
class Admission:
    """For how long a request may not be sent, 0 for at once, and its trial, empty for none."""

    wait_s: float = 0.0
    trial: str = ""


@dataclass(slots=True)
class _Suspect:
    suspicion: Suspicion
    point: int
    seen_s: float


class Quarantine:
    """What is held against which requests, own observations and those heard from peers."""

    def __init__(
        self,
        clock_s: Callable[[], float] = time.monotonic,
        ttl_s: float = BLAME_TTL_S,
        trial_waits_s: Sequence[float] = (),
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        """``trial_waits_s`` are the waits from the quarantine's first level on, the last for all.

        Without them a quarantine lasts ``ttl_s``.
        """
        self._clock_s = clock_s
        self._ttl_s = ttl_s
        self._trial_waits_s = tuple(trial_waits_s)
        self._wall_clock_s = wall_clock_s
        self._answered: RecentMap[Fingerprint, int] = RecentMap(MAX_ANSWERED)
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._version = 0
        self._next_expiry_s = float("-inf")
        self._lock = threading.Lock()

    def blame(self, fingerprint: Fingerprint, deaths: Iterable[str]) -> list[str]:
        """Add deaths to a request's blame and return those that count, sorted.

        A death is written ``endpoint@seconds``; several gateways may see the same one at slightly
        different times.
        """
        with self._lock:
            self._expire()
            added = Suspicion(fingerprint, deaths=frozenset(deaths))
            return sorted(self._join(added, self._clock_s()).deaths)

    def note_break(self, fingerprint: Fingerprint, observation: str) -> None:
        """Note that a connection broke on an endpoint that seems to live on."""
        with self._lock:
            self._expire()
            added = Suspicion(fingerprint, breaks=frozenset({observation}))
            self._join(added, self._clock_s())

    def confirm(self, fingerprint: Fingerprint, observation: str, death: str) -> None:
        """Note that a broken connection or a trial, empty for none, was an endpoint's death."""
        with self._lock:
            self._expire()
            replaced = frozenset({observation} - {""})
            added = Suspicion(fingerprint, frozenset({death}), dropped=replaced)
            self._join(added, self._clock_s())

    def drop(self, fingerprint: Fingerprint, observation: str) -> None:
        """Take back an observation, such as a trial in which no endpoint was lost."""
        with self._lock:
            self._join(Suspicion(fingerprint, dropped=frozenset({observation})), self._clock_s())

    def clear(self, fingerprint: Fingerprint) -> None:
        """Note that an endpoint answered the request whole: nothing before that counts."""
        with self._lock:
            answered_s = int(self._wall_clock_s())
            self._answered.put(fingerprint, answered_s)
            held = self._suspects.get(fingerprint)
            if held is None or held.suspicion.is_empty:
                return
            before = held.suspicion
            self._join(Suspicion(fingerprint, answered_s=answered_s), self._clock_s())
            dropped = len(before.deaths | before.breaks)
        log_event(Event.FINGERPRINT_CLEARED, fingerprint=fingerprint, observations=dropped)

    def admit(self, fingerprint: Fingerprint) -> Admission:
        """Return whether the request may be sent now.

        A quarantined request that may be sent is on trial. The trial counts as a death from its
        start on, so that no other gateway makes one beside it, and none is forgotten when the
        gateway that makes it ends.
        """
        with self._lock:
            self._expire()
            held = self._suspects.get(fingerprint)
            if held is None or held.suspicion.level < DEATHS_TO_QUARANTINE:
                return Admission()
            left_s = self._left_s(held)
            if left_s > 0:
                return Admission(left_s)
            trial = f"trial-{secrets.token_hex(4)}@{int(self._wall_clock_s())}"
            after = self._join(Suspicion(fingerprint, frozenset({trial})), self._clock_s())
        log_event(Event.FINGERPRINT_ON_TRIAL, fingerprint=fingerprint, level=after.level)
        return Admission(trial=trial)

    def level(self, fingerprint: Fingerprint) -> int:
        """Return how much is held against a request; see :class:`Suspicion`."""
        with self._lock:
            self._expire()
            held = self._suspects.get(fingerprint)
            return held.suspicion.level if held is not None else 0

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether no further endpoint is given the request now."""
        with self._lock:
            self._expire()
            held = self._suspects.get(fingerprint)
            return held is not None and self._left_s(held) > 0

    def wait_s(self, fingerprint: Fingerprint) -> float:
        """Return the seconds until the next trial of a quarantined request, 0 for all others."""
        with self._lock:
            held = self._suspects.get(fingerprint)
            return self._left_s(held) if held is not None else 0.0

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Whether anything is held against the request."""
        with self._lock:
            held = self._suspects.get(fingerprint)
            return held is not None and not held.suspicion.is_empty

    def forget(self, fingerprint: Fingerprint) -> None:
        """Drop a blame whose time is over."""
        with self._lock:
            self._forget(fingerprint)

    def quarantined(self) -> list[Fingerprint]:
        """Return the quarantined requests."""
        with self._lock:
            return sorted(name for name, held in self._suspects.items() if self._left_s(held) > 0)

    @property
    def version(self) -> int:
        """A hash of everything that is held, 0 for nothing: equal where two hold the same."""
        with self._lock:
            self._expire()
            return self._version

    def points(self) -> bytes:
        """Return the hashes of all suspicions, eight bytes each."""
        with self._lock:
            self._expire()
            return b"".join(_POINT.pack(held.point) for held in self._suspects.values())

    def unknown_to(self, points: bytes) -> list[ToldSuspicion]:
        """Return the suspicions that a gateway with these hashes does not hold."""
        known = _unpacked(points)
        with self._lock:
            self._expire()
            held = list(self._suspects.values())
            return [self._told(one) for one in held if one.point not in known]

    def lacks_any(self, points: bytes) -> bool:
        """Whether a gateway with these hashes holds something that this one does not."""
        with self._lock:
            own = {held.point for held in self._suspects.values()}
        return not _unpacked(points) <= own

    def hear(self, told: Iterable[ToldSuspicion]) -> None:
        """Take in what another gateway holds."""
        with self._lock:
            self._expire()
            now_s = self._clock_s()
            for one in told:
                seen_s = now_s - one.age_s
                if not self._is_over(one.suspicion, seen_s, now_s):
                    self._join(one.suspicion, seen_s)

    def severe(self) -> list[ToldSuspicion]:
        """Return the suspicions that are quarantines, on trial or not."""
        with self._lock:
            self._expire()
            held = list(self._suspects.values())
            return [self._told(one) for one in held if one.suspicion.level >= DEATHS_TO_QUARANTINE]

    def find(self, fingerprint: Fingerprint) -> ToldSuspicion | None:
        """Return what is held against a request, ``None`` for nothing."""
        with self._lock:
            held = self._suspects.get(fingerprint)
            return self._told(held) if held is not None else None

    def _told(self, held: _Suspect) -> ToldSuspicion:
        return ToldSuspicion(held.suspicion, self._clock_s() - held.seen_s)

    def _join(self, added: Suspicion, seen_s: float) -> Suspicion:
        held = self._suspects.get(added.fingerprint)
        before = held.suspicion if held is not None else Suspicion(added.fingerprint)
        answered_s = self._answered.get(added.fingerprint)
        if answered_s is not None:
            added = added.joined(Suspicion(added.fingerprint, answered_s=answered_s))
        after = before.joined(added)
        if after == before:
            return after
        if held is None:
            held = self._suspects[added.fingerprint] = _Suspect(after, 0, seen_s)
        held.suspicion = after
        held.seen_s = max(held.seen_s, seen_s)
        self._version ^= held.point
        held.point = after.point
        self._version ^= held.point
        if before.level < after.level and after.level >= DEATHS_TO_QUARANTINE:
            log_event(
                Event.FINGERPRINT_QUARANTINED,
                fingerprint=added.fingerprint,
                level=after.level,
                deaths=len(after.deaths),
                breaks=len(after.breaks),
                wait_s=self._wait_s(after.level),
            )
        if len(self._suspects) > MAX_SUSPECTS:
            weakest = min(
                self._suspects.values(), key=lambda one: (one.suspicion.level, one.seen_s)
            )
            self._forget(weakest.suspicion.fingerprint)
        return after

    def _forget(self, fingerprint: Fingerprint) -> None:
        held = self._suspects.pop(fingerprint, None)
        if held is not None:
            self._version ^= held.point

    def _expire(self) -> None:
        now_s = self._clock_s()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_PAUSE_S
        over = [
            name
            for name, held in self._suspects.items()
            if self._is_over(held.suspicion, held.seen_s, now_s)
        ]
        for name in over:
            self._forget(name)

    def _is_over(self, suspicion: Suspicion, seen_s: float, now_s: float) -> bool:
        ttl_s = self._ttl_s
        if suspicion.is_empty:
            ttl_s = min(CLEARED_TTL_S, ttl_s)
        elif suspicion.level >= DEATHS_TO_QUARANTINE:
            ttl_s = max(ttl_s, *self._trial_waits_s, 0.0)
        return now_s - seen_s > ttl_s

    def _wait_s(self, level: int) -> float:
        if not self._trial_waits_s:
            return self._ttl_s
        step = min(level - DEATHS_TO_QUARANTINE, len(self._trial_waits_s) - 1)
        return self._trial_waits_s[step]

    def _left_s(self, held: _Suspect) -> float:
        """Return the seconds until the next trial, 0 where none is waited for."""
        level = held.suspicion.level
        if level < DEATHS_TO_QUARANTINE:
            return 0.0
        return max(0.0, held.seen_s + self._wait_s(level) - self._clock_s())


def _unpacked(points: bytes) -> set[int]:
    return {point for (point,) in _POINT.iter_unpack(points[: len(points) // 8 * 8])}
