"""Quarantine of requests that crash the endpoints that run them.

When an endpoint crashes, every request that was running on it is blamed for the crash. A request
whose connection broke on an endpoint that appears to be alive is suspected less. A complete answer
clears a request of all earlier observations, because a request that crashes endpoints never gets
one.

A request with enough observations against it is quarantined. If trial waits are configured, it is
sent once more after each wait, so that a request that only ran beside the cause of a crash is
served again soon. Each further crash makes the next wait longer.
"""

from __future__ import annotations

import secrets
import struct
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .crash_causes import crash_times
from .crash_causes import crash_weights
from .crash_causes import explained_level
from .crash_causes import find_crash_causes
from .crash_causes import may_explain_crashes
from .crashing_parts import find_crashing_parts
from .open_loss import parse_open_loss
from .part_key import is_part_key
from .search_budget import SearchBudget
from .suspicion import DEATHS_TO_QUARANTINE
from .suspicion import TRIAL_PREFIX
from .suspicion import Suspicion
from .suspicion import crash_seconds
from .suspicion import started_crash_id

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import Fingerprint

    from .crash_causes import CrashCause
    from .open_loss import OpenLoss

# Observations expire after this time, so that a quarantine without trials ends.
BLAME_TTL_S = 600.0
# Retention of records whose observations no longer count. It must exceed the time for which any
# gateway or the store keeps a retracted observation; otherwise the observation would come back.
CLEARED_TTL_S = 600.0
# Retention of records that hold nothing but losses without a proved cause.
OPEN_LOSS_TTL_S = 60.0
MAX_SUSPECTS = 1_024
# The same for parts of prompts, which have records of their own beside those of requests.
MAX_SUSPECT_PARTS = 512
# Requests whose last complete answer is remembered. Crashes before that answer may be reported
# after it and must not count.
MAX_ANSWERED_REQUESTS = 2_048
MAX_ANSWERED_PARTS = 4_096
EXPIRY_INTERVAL_S = 1.0
_HASH_FORMAT = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """A suspicion as gateways exchange it, with the seconds since its last change."""

    suspicion: Suspicion
    age_s: float


@dataclass(frozen=True, slots=True)
class Admission:
    """Seconds until a request may be sent, 0 for now, and the id of its trial, empty for none."""

    wait_s: float = 0.0
    trial: str = ""


@dataclass(frozen=True, slots=True)
class PartLoss:
    """A part of a prompt that was lost, its depth, and the trial that it was on, empty for none."""

    key: Fingerprint
    depth: int
    trial: str = ""


@dataclass(frozen=True, slots=True)
class RequestLoss:
    """A lost attempt of a request without a proved cause."""

    fingerprint: Fingerprint
    loss: OpenLoss


@dataclass(slots=True)
class _Suspect:
    suspicion: Suspicion
    content_hash: int
    updated_s: float
    weight: int = 0
    # The level after the last change of the suspicion; a change that raises it is logged.
    level: int = 0


class Quarantine:
    """Suspicions of requests, from this gateway's own observations and from its peers."""

    def __init__(
        self,
        clock_s: Callable[[], float] = time.monotonic,
        ttl_s: float = BLAME_TTL_S,
        trial_waits_s: Sequence[float] = (),
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        """Set the retention ``ttl_s`` and the waits before trials, all in seconds.

        The first entry of ``trial_waits_s`` applies to the lowest level that is a quarantine, each
        further one to the next level, and the last one to all levels above. Without trial waits a
        quarantine lasts ``ttl_s``.
        """
        self._clock_s = clock_s
        self._ttl_s = ttl_s
        self._trial_waits_s = tuple(trial_waits_s)
        self._wall_clock_s = wall_clock_s
        self._last_answer_s: BoundedMap[Fingerprint, int] = BoundedMap(MAX_ANSWERED_REQUESTS)
        self._part_last_answer_s: BoundedMap[Fingerprint, int] = BoundedMap(MAX_ANSWERED_PARTS)
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._parts: set[Fingerprint] = set()
        self._part_levels: dict[Fingerprint, int] = {}
        self._has_changed_parts = False
        # The weights of the crashes of each request that may explain crashes.
        self._crash_weights: dict[Fingerprint, dict[str, int]] = {}
        # Requests whose suspicions changed since the levels were last compared for the log.
        self._changed: set[Fingerprint] = set()
        self._causes: list[CrashCause] = []
        self._has_changed_causes = False
        self._proved_crashes: list[Mapping[str, int]] = []
        # The request or held part that explains each crash.
        self._explanations: dict[str, Fingerprint] = {}
        self._search_budget = SearchBudget()
        self._version = 0
        self._next_expiry_s = float("-inf")
        self._lock = threading.Lock()

    def blame(self, fingerprint: Fingerprint, deaths: Iterable[str]) -> list[str]:
        """Add crashes to the suspicion of a request and return those that count, sorted.

        A crash is written ``endpoint@seconds``. Gateways may observe the same crash at slightly
        different times.
        """
        with self._lock:
            self._expire()
            added = Suspicion(fingerprint, deaths=frozenset(deaths))
            return sorted(self._record(added).deaths)

    def record_break(self, fingerprint: Fingerprint, observation: str) -> None:
        """Record a broken connection to an endpoint that appears to be alive."""
        with self._lock:
            self._expire()
            added = Suspicion(fingerprint, breaks=frozenset({observation}))
            self._record(added)

    def confirm_crash(self, fingerprint: Fingerprint, observation: str, death: str) -> None:
        """Replace a broken connection or a trial, empty for none, by a confirmed crash."""
        with self._lock:
            self._expire()
            replaced = frozenset({observation} - {""})
            added = Suspicion(fingerprint, frozenset({death}), retracted=replaced)
            self._record(added)

    def record_loss(self, fingerprint: Fingerprint, loss: OpenLoss) -> SuspicionReport:
        """Record a lost attempt without a proved cause and return the suspicion."""
        with self._lock:
            self._expire()
            self._merge(Suspicion(fingerprint, losses=frozenset({loss.id})), self._clock_s())
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                return SuspicionReport(Suspicion(fingerprint), 0.0)
            return self._report(suspect)

    def open_losses(self) -> list[RequestLoss]:
        """Return the losses without a proved cause of all requests."""
        with self._lock:
            self._expire()
            return [
                RequestLoss(fingerprint, loss)
                for fingerprint, suspect in self._suspects.items()
                for name in suspect.suspicion.losses
                if (loss := parse_open_loss(name)) is not None
            ]

    def confirm_loss(self, fingerprint: Fingerprint, loss: OpenLoss) -> None:
        """Replace a loss without a proved cause by a crash."""
        with self._lock:
            self._expire()
            retracted = frozenset({loss.id, loss.observation} - {""})
            crashes = frozenset({loss.crash})
            added = Suspicion(fingerprint, crashes, retracted=retracted)
            if loss.has_begun:
                started = frozenset(map(started_crash_id, crashes))
                added = Suspicion(fingerprint, breaks=started, retracted=retracted)
            self._record(added)

    def blame_parts(self, losses: Sequence[PartLoss], crash: str) -> list[SuspicionReport]:
        """Add a crash in which a prompt with these parts was lost; return their suspicions.

        Parts that had a complete answer since the crash are left out.
        """
        with self._lock:
            self._expire()
            for loss in losses:
                replaced = frozenset({loss.trial} - {""})
                deaths = frozenset({crash})
                added = Suspicion(loss.key, deaths, retracted=replaced, depth=loss.depth)
                self._merge(added, self._clock_s())
            suspects = [self._suspects.get(loss.key) for loss in losses]
            return [
                self._report(suspect)
                for suspect in suspects
                if suspect is not None and crash in suspect.suspicion.deaths
            ]

    def confirm_started_crash(self, fingerprint: Fingerprint, observation: str, crash: str) -> None:
        """Replace a broken connection, empty for none, by a crash after the answer began."""
        with self._lock:
            self._expire()
            replaced = frozenset({observation} - {""})
            added = Suspicion(
                fingerprint, breaks=frozenset({started_crash_id(crash)}), retracted=replaced
            )
            self._record(added)

    def retract(self, fingerprint: Fingerprint, observation: str) -> None:
        """Retract an observation, such as a trial in which no endpoint was lost."""
        with self._lock:
            self._record(Suspicion(fingerprint, retracted=frozenset({observation})))

    def clear(self, fingerprint: Fingerprint, answered_s: int | None = None) -> None:
        """Record a complete answer; observations up to its time no longer count.

        ``answered_s`` is its wall-clock time, ``None`` for now.
        """
        with self._lock:
            if answered_s is None:
                answered_s = int(self._wall_clock_s())
            last_answer_s = self._last_answers(fingerprint)
            answered_s = max(answered_s, last_answer_s.get(fingerprint) or 0)
            last_answer_s.put(fingerprint, answered_s)
            suspect = self._suspects.get(fingerprint)
            if suspect is None or (suspect.suspicion.is_empty and not suspect.suspicion.losses):
                return
            before = suspect.suspicion
            self._record(Suspicion(fingerprint, answered_s=answered_s))
            cleared_count = len(before.deaths | before.breaks | before.losses)
        log_event(
            Event.FINGERPRINT_CLEARED,
            fingerprint=fingerprint,
            observations=cleared_count,
            answered_s=answered_s,
        )

    def admit(self, fingerprint: Fingerprint) -> Admission:
        """Return whether the request may be sent now, and as which trial.

        A quarantined request that may be sent is on trial. The trial counts as a crash from its
        start, so that no other gateway runs a second trial at the same time, and the trial still
        counts if its gateway stops.
        """
        with self._lock:
            self._expire()
            suspect = self._suspects.get(fingerprint)
            if suspect is None or self._level(suspect.suspicion) < DEATHS_TO_QUARANTINE:
                return Admission()
            remaining_s = self._remaining_wait_s(suspect)
            if remaining_s > 0:
                return Admission(remaining_s)
            trial = f"{TRIAL_PREFIX}{secrets.token_hex(4)}@{int(self._wall_clock_s())}"
            after = self._record(Suspicion(fingerprint, frozenset({trial})))
            level = self._level(after)
        log_event(Event.FINGERPRINT_ON_TRIAL, fingerprint=fingerprint, level=level)
        return Admission(trial=trial)

    def level(self, fingerprint: Fingerprint) -> int:
        """Return the suspicion level of a request; ``DEATHS_TO_QUARANTINE`` is a quarantine.

        It is :attr:`Suspicion.level`, lower where others explain the crashes.
        """
        with self._lock:
            self._expire()
            suspect = self._suspects.get(fingerprint)
            return self._level(suspect.suspicion) if suspect is not None else 0

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether the request must not be sent to a further endpoint now."""
        with self._lock:
            self._expire()
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and self._remaining_wait_s(suspect) > 0

    def wait_s(self, fingerprint: Fingerprint, trial_delay_s: float = 0.0) -> float:
        """Return the seconds until the next trial of a quarantined request, 0 for all others.

        ``trial_delay_s`` is how much later than the first gateway the asking one may try it.
        """
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return self._remaining_wait_s(suspect, trial_delay_s) if suspect is not None else 0.0

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Whether any observation counts against the request."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return suspect is not None and not suspect.suspicion.is_empty

    def forget(self, fingerprint: Fingerprint) -> None:
        """Remove the record of a request whose blame has expired."""
        with self._lock:
            self._forget(fingerprint)

    def quarantined(self) -> list[Fingerprint]:
        """Return the requests that are quarantined now, sorted."""
        with self._lock:
            return sorted(
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if fingerprint not in self._parts and self._remaining_wait_s(suspect) > 0
            )

    def held_parts(self) -> list[Fingerprint]:
        """Return the parts of prompts that crash endpoints, on trial or not, sorted."""
        with self._lock:
            self._expire()
            self._update_levels(is_deferred=False)
            return sorted(self._part_levels)

    @property
    def version(self) -> int:
        """A hash of all records, 0 if there are none; equal for gateways with the same records."""
        with self._lock:
            self._expire()
            return self._version

    def content_hashes(self) -> bytes:
        """Return the hashes of all suspicions, eight bytes each in big-endian order."""
        with self._lock:
            self._expire()
            return b"".join(
                _HASH_FORMAT.pack(suspect.content_hash) for suspect in self._suspects.values()
            )

    def missing_from(self, content_hashes: bytes) -> list[SuspicionReport]:
        """Return the suspicions whose hashes are not in ``content_hashes`` of another gateway."""
        known = _unpack_hashes(content_hashes)
        with self._lock:
            self._expire()
            suspects = list(self._suspects.values())
            return [
                self._report(suspect) for suspect in suspects if suspect.content_hash not in known
            ]

    def is_missing_any(self, content_hashes: bytes) -> bool:
        """Whether ``content_hashes`` of another gateway contain a hash that this gateway lacks."""
        with self._lock:
            own = {suspect.content_hash for suspect in self._suspects.values()}
        return not _unpack_hashes(content_hashes) <= own

    def merge(self, reports: Iterable[SuspicionReport]) -> None:
        """Merge suspicions received from another gateway; expired ones are ignored."""
        with self._lock:
            self._expire()
            now_s = self._clock_s()
            for report in reports:
                updated_s = now_s - report.age_s
                if not self._is_expired(report.suspicion, updated_s, now_s):
                    self._merge(report.suspicion, updated_s)
            self._log_raised_levels()

    def at_quarantine_level(self) -> list[SuspicionReport]:
        """Return the suspicions at quarantine level, including requests on trial."""
        with self._lock:
            self._expire()
            suspects = list(self._suspects.values())
            return [
                self._report(suspect)
                for suspect in suspects
                if self._level(suspect.suspicion) >= DEATHS_TO_QUARANTINE
            ]

    def repeated(self) -> list[SuspicionReport]:
        """Return requests that were lost more than once, and the parts that are held."""
        with self._lock:
            self._expire()
            self._update_levels(is_deferred=False)
            return [
                self._report(suspect)
                for name, suspect in self._suspects.items()
                if name in self._part_levels
                or (name not in self._parts and suspect.suspicion.is_repeated)
            ]

    def find(self, fingerprint: Fingerprint) -> SuspicionReport | None:
        """Return the suspicion of a request, ``None`` if there is none."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            return self._report(suspect) if suspect is not None else None

    def _report(self, suspect: _Suspect) -> SuspicionReport:
        return SuspicionReport(suspect.suspicion, self._clock_s() - suspect.updated_s)

    def _record(self, added: Suspicion) -> Suspicion:
        after = self._merge(added, self._clock_s())
        self._log_raised_levels()
        return after

    def _merge(self, added: Suspicion, updated_s: float) -> Suspicion:
        suspect = self._suspects.get(added.fingerprint)
        before = suspect.suspicion if suspect is not None else Suspicion(added.fingerprint)
        answered_s = self._last_answers(added.fingerprint).get(added.fingerprint)
        if answered_s is not None:
            added = added.merged_with(Suspicion(added.fingerprint, answered_s=answered_s))
        after = before.merged_with(added)
        if after == before:
            return after
        if suspect is None:
            suspect = self._suspects[added.fingerprint] = _Suspect(after, 0, updated_s)
        is_part = is_part_key(added.fingerprint)
        suspect.suspicion = after
        suspect.weight = after.weight
        suspect.updated_s = max(suspect.updated_s, updated_s)
        self._version ^= suspect.content_hash
        suspect.content_hash = after.content_hash
        self._version ^= suspect.content_hash
        if is_part:
            self._parts.add(added.fingerprint)
            self._has_changed_parts |= before.deaths != after.deaths or before.depth != after.depth
        else:
            self._update_crash_weights(before, after)
            self._changed.add(added.fingerprint)
        self._evict_weakest()
        return after

    def _log_raised_levels(self) -> None:
        """Log requests whose suspicions have changed, where that raised them to a quarantine.

        It runs once for all records of a message, because each level may need a search of all.
        """
        changed, self._changed = self._changed, set()
        for fingerprint in changed & self._suspects.keys():
            suspect = self._suspects[fingerprint]
            before, suspect.level = suspect.level, self._level(suspect.suspicion)
            if suspect.level >= DEATHS_TO_QUARANTINE and suspect.level > before:
                log_event(
                    Event.FINGERPRINT_QUARANTINED,
                    fingerprint=fingerprint,
                    level=suspect.level,
                    deaths=len(suspect.suspicion.deaths),
                    breaks=len(suspect.suspicion.breaks),
                    wait_s=self._wait_s(suspect.level),
                )

    def _evict_weakest(self) -> None:
        requests = len(self._suspects) - len(self._parts)
        if requests <= MAX_SUSPECTS and len(self._parts) <= MAX_SUSPECT_PARTS:
            return
        names = self._parts if requests <= MAX_SUSPECTS else self._suspects.keys() - self._parts
        weakest = min(
            (self._suspects[name] for name in names),
            key=lambda item: (
                self._part_levels.get(item.suspicion.fingerprint, 0),
                item.weight,
                item.updated_s,
            ),
        )
        self._forget(weakest.suspicion.fingerprint)

    def _update_levels(self, is_deferred: bool = True) -> None:
        """Find anew what explains crashes, if the records that it is found from have changed.

        With ``is_deferred`` the result may be older for a while after a long search. Until then a
        request has its full weight in crashes that are not explained yet.
        """
        has_changed = self._has_changed_causes or self._has_changed_parts
        if not has_changed or (is_deferred and not self._search_budget.may_start()):
            return
        with self._search_budget.measured():
            self._update_crash_causes()
            self._update_part_levels()
            self._update_explanations()

    def _update_part_levels(self) -> None:
        """Find the parts that crash endpoints anew, if what they are found from has changed."""
        if not self._has_changed_parts:
            return
        self._has_changed_parts = False
        before = self._part_levels
        self._part_levels = find_crashing_parts(
            (self._suspects[name].suspicion for name in self._parts), self._proved_crashes
        )
        for key, level in self._part_levels.items():
            if level > before.get(key, 0):
                crashes = sorted(self._suspects[key].suspicion.deaths)
                log_event(
                    Event.PROMPT_PART_HELD,
                    part=key,
                    level=level,
                    crashes=" ".join(crashes),
                    wait_s=self._wait_s(level),
                )
        for key in before.keys() - self._part_levels.keys():
            log_event(Event.PROMPT_PART_RELEASED, part=key)

    def _last_answers(self, fingerprint: Fingerprint) -> BoundedMap[Fingerprint, int]:
        return self._part_last_answer_s if is_part_key(fingerprint) else self._last_answer_s

    def _level(self, suspicion: Suspicion) -> int:
        """Return the level of a request or of a part.

        The level of a part depends on all suspected parts, that of a request on the requests and
        held parts that explain its crashes.
        """
        if is_part_key(suspicion.fingerprint):
            self._update_levels()
            return self._part_levels.get(suspicion.fingerprint, 0)
        if suspicion.level < DEATHS_TO_QUARANTINE:
            return suspicion.level
        self._update_levels()
        return explained_level(suspicion, self._explanations)

    def _update_crash_weights(self, before: Suspicion, after: Suspicion) -> None:
        if before.deaths == after.deaths and before.breaks == after.breaks:
            return
        if may_explain_crashes(after):
            self._crash_weights[after.fingerprint] = crash_weights(after)
            self._has_changed_causes = True
        elif self._crash_weights.pop(after.fingerprint, None) is not None:
            self._has_changed_causes = True

    def _update_crash_causes(self) -> None:
        """Find the requests that explain crashes anew, if the records of requests have changed."""
        if not self._has_changed_causes:
            return
        self._has_changed_causes = False
        self._causes = find_crash_causes(self._crash_weights)
        proved = [
            crash_times(self._suspects[cause.fingerprint].suspicion)
            for cause in self._causes
            if cause.is_proved
        ]
        self._has_changed_parts |= proved != self._proved_crashes
        self._proved_crashes = proved

    def _update_explanations(self) -> None:
        self._explanations = {}
        for cause in reversed(self._causes):
            self._explanations.update(dict.fromkeys(cause.crashes, cause.fingerprint))
        for name in sorted(self._part_levels):
            if (suspect := self._suspects.get(name)) is not None:
                crashes = crash_seconds(suspect.suspicion.deaths)
                self._explanations.update(dict.fromkeys(crashes, name))

    def _forget(self, fingerprint: Fingerprint) -> None:
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return
        self._version ^= suspect.content_hash
        if fingerprint in self._parts:
            self._parts.discard(fingerprint)
            self._has_changed_parts |= bool(suspect.suspicion.deaths)
        elif self._crash_weights.pop(fingerprint, None) is not None:
            self._has_changed_causes = True

    def _expire(self) -> None:
        now_s = self._clock_s()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if self._is_expired(suspect.suspicion, suspect.updated_s, now_s)
        ]
        for fingerprint in expired:
            self._forget(fingerprint)

    def _is_expired(self, suspicion: Suspicion, updated_s: float, now_s: float) -> bool:
        ttl_s = self._ttl_s
        if now_s - updated_s <= min(OPEN_LOSS_TTL_S, CLEARED_TTL_S, ttl_s):
            return False
        # The full weight of a request counts: what explains its crashes may be gone before it.
        level = self._level(suspicion) if is_part_key(suspicion.fingerprint) else suspicion.level
        if suspicion.is_empty:
            ttl_s = min(OPEN_LOSS_TTL_S if suspicion.losses else CLEARED_TTL_S, ttl_s)
        elif level >= DEATHS_TO_QUARANTINE:
            ttl_s = max(ttl_s, *self._trial_waits_s, 0.0)
        return now_s - updated_s > ttl_s

    def _wait_s(self, level: int) -> float:
        if not self._trial_waits_s:
            return self._ttl_s
        step = min(level - DEATHS_TO_QUARANTINE, len(self._trial_waits_s) - 1)
        return self._trial_waits_s[step]

    def _remaining_wait_s(self, suspect: _Suspect, trial_delay_s: float = 0.0) -> float:
        """Return the seconds until the next trial, 0 if the request need not wait."""
        level = self._level(suspect.suspicion)
        if level < DEATHS_TO_QUARANTINE:
            return 0.0
        trial_s = suspect.updated_s + self._wait_s(level) + trial_delay_s
        return max(0.0, trial_s - self._clock_s())


def _unpack_hashes(content_hashes: bytes) -> set[int]:
    return {
        content_hash
        for (content_hash,) in _HASH_FORMAT.iter_unpack(
            content_hashes[: len(content_hashes) // 8 * 8]
        )
    }
