"""The table in which one incarnation remembers each at-most-once operation that it owns.

The rule that keeps an operation from running twice: a key is dispatched only by the step from
``HELD`` to ``DISPATCHED``, that step happens under the lock of the one table that owns the key, and
the only way back to ``HELD`` is a proof that the attempt was not sent. No timeout, lease or view of
the membership takes part in it.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import Fingerprint
    from primroseferry_core.ids import IncarnationId

    from .keys import ScopedKey


class OnceState(Enum):
    """Where an operation stands."""

    HELD = "held"
    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The service's answer, kept so that a retry gets the first answer again."""

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True)
class OnceRecord:
    """One operation. ``settled`` completes when the state becomes ``DONE`` or ``UNKNOWN``."""

    scoped_key: ScopedKey
    fingerprint: Fingerprint
    state: OnceState
    began_s: float
    answer: StoredAnswer | None = None
    settled: Future[OnceState] = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class Started:
    """The key is new here; the caller of ``begin`` dispatches it."""

    record: OnceRecord


@dataclass(frozen=True, slots=True)
class Joined:
    """The key is already held, dispatched or settled; ``record`` tells."""

    record: OnceRecord


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a request with other content."""


@dataclass(frozen=True, slots=True)
class Sealed:
    """The table takes no new keys: its process is stopping, and this key was never dispatched."""


@dataclass(frozen=True, slots=True)
class HandedOver:
    """The table belongs to a successor, which may have dispatched the key."""


Begin = Started | Joined | KeyReused | Sealed | HandedOver


class OnceTable:
    """The operations owned by one incarnation and by those whose tables it took over."""

    def __init__(
        self,
        incarnation: IncarnationId,
        retention_s: float,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._records: dict[ScopedKey, OnceRecord] = {}
        self._owned: set[IncarnationId] = {incarnation}
        self._retention_s = retention_s
        self._clock_s = clock_s
        self._lock = threading.Lock()
        self._is_sealed = False
        self._is_handed_over = False
        self._next_sweep_s = clock_s() + retention_s / 10

    def owns(self, incarnation: IncarnationId) -> bool:
        """Whether keys issued by ``incarnation`` are dispatched here and nowhere else."""
        return incarnation in self._owned

    def owned_incarnations(self) -> list[IncarnationId]:
        """Return this incarnation and those it took over."""
        with self._lock:
            return sorted(self._owned)

    def find(self, scoped_key: ScopedKey) -> OnceRecord | None:
        """Return the record of a key, or ``None``."""
        with self._lock:
            return self._records.get(scoped_key)

    def begin(self, scoped_key: ScopedKey, fingerprint: Fingerprint) -> Begin:
        """Record a key before anything is dispatched under it."""
        with self._lock:
            self._drop_old()
            record = self._records.get(scoped_key)
            if record is not None:
                return Joined(record) if record.fingerprint == fingerprint else KeyReused()
            if self._is_handed_over:
                return HandedOver()
            if self._is_sealed:
                return Sealed()
            record = OnceRecord(scoped_key, fingerprint, OnceState.HELD, self._clock_s())
            self._records[scoped_key] = record
            return Started(record)

    def dispatch(self, record: OnceRecord) -> bool:
        """Step from ``HELD`` to ``DISPATCHED``; ``False`` where the record is not held."""
        with self._lock:
            if record.state is not OnceState.HELD or self._is_handed_over:
                return False
            record.state = OnceState.DISPATCHED
            return True

    def prove_not_sent(self, record: OnceRecord) -> None:
        """Step back to ``HELD``: the attempt provably reached nobody."""
        with self._lock:
            if record.state is OnceState.DISPATCHED:
                record.state = OnceState.HELD

    def abandon(self, record: OnceRecord) -> bool:
        """Forget a held key, so that a later retry starts anew; ``False`` if it is not held."""
        with self._lock:
            if record.state is not OnceState.HELD:
                return False
            self._records.pop(record.scoped_key, None)
            settled = record.settled
        settled.cancel()
        return True

    def finish(self, record: OnceRecord, answer: StoredAnswer) -> None:
        """Store the service's answer; it settles an unknown outcome too."""
        with self._lock:
            if record.state is OnceState.DONE:
                return
            record.state = OnceState.DONE
            record.answer = answer
            settled = record.settled
        if not settled.done():
            settled.set_result(OnceState.DONE)

    def lose(self, record: OnceRecord) -> None:
        """Step to ``UNKNOWN``: the attempt may have run, and it will never be dispatched again."""
        with self._lock:
            if record.state is not OnceState.DISPATCHED:
                return
            record.state = OnceState.UNKNOWN
            settled = record.settled
        if not settled.done():
            settled.set_result(OnceState.UNKNOWN)

    def seal(self) -> None:
        """Take no new keys from now on."""
        with self._lock:
            self._is_sealed = True

    def count_open(self) -> int:
        """Return how many operations are held or dispatched."""
        with self._lock:
            return sum(
                record.state in (OnceState.HELD, OnceState.DISPATCHED)
                for record in self._records.values()
            )

    def hand_over(self) -> list[OnceRecord]:
        """Give up the table for good and return its records.

        What is still dispatched becomes ``UNKNOWN``: its answer can no longer be stored.
        """
        with self._lock:
            self._is_sealed = True
            self._is_handed_over = True
            for record in self._records.values():
                if record.state is OnceState.DISPATCHED:
                    record.state = OnceState.UNKNOWN
            return [
                record for record in self._records.values() if record.state is not OnceState.HELD
            ]

    def adopt(self, records: list[OnceRecord]) -> None:
        """Take in records of another table; they answer retries at once."""
        with self._lock:
            for record in records:
                self._records.setdefault(record.scoped_key, record)

    def adopt_incarnations(self, incarnations: list[IncarnationId]) -> bool:
        """Own the keys of other incarnations whose tables are wholly here.

        ``False`` where this table is itself being given up.
        """
        with self._lock:
            if self._is_sealed:
                return False
            self._owned.update(incarnations)
            return True

    def __len__(self) -> int:
        return len(self._records)

    def _drop_old(self) -> None:
        """Forget settled operations that are older than the retention."""
        now_s = self._clock_s()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + self._retention_s / 10
        settled = (OnceState.DONE, OnceState.UNKNOWN)
        old = [
            key
            for key, record in self._records.items()
            if record.state in settled and now_s - record.began_s > self._retention_s
        ]
        for key in old:
            del self._records[key]
