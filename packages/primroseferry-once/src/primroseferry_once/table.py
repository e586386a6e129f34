"""The table of the at-most-once operations that one incarnation owns.

The invariant that prevents an operation from running twice: a key is dispatched only on the
transition from ``HELD`` to ``DISPATCHED``. The transition takes place under the lock of the single
table that owns the key. The record returns to ``HELD`` only if the attempt is proven not to have
been sent. The invariant does not depend on timeouts, leases or views of the membership.
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
    """The state of an operation.

    ``HELD`` operations have not been dispatched; ``UNKNOWN`` ones may have run.
    """

    HELD = "held"
    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The service's answer, stored so that retries receive the same answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True)
class OnceRecord:
    """One operation. ``settled`` completes when the state becomes ``DONE`` or ``UNKNOWN``.

    ``settled`` is cancelled when a held key is abandoned. ``began_s`` is on the monotonic clock.
    """

    scoped_key: ScopedKey
    fingerprint: Fingerprint
    state: OnceState
    began_s: float
    answer: StoredAnswer | None = None
    settled: Future[OnceState] = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class NewOperation:
    """The key is new in this table; the caller of ``begin`` has to dispatch it."""

    record: OnceRecord


@dataclass(frozen=True, slots=True)
class KnownOperation:
    """The table already has a record of the key, in any state."""

    record: OnceRecord


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a request with a different fingerprint."""


@dataclass(frozen=True, slots=True)
class TableSealed:
    """The table accepts no new keys because its process is stopping; the key was not dispatched."""


@dataclass(frozen=True, slots=True)
class TableHandedOver:
    """The table was handed over to a successor, which may have dispatched the key."""


BeginResult = NewOperation | KnownOperation | KeyReused | TableSealed | TableHandedOver


class OnceTable:
    """The operations owned by one incarnation and by those whose tables it adopted."""

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
        """Whether this table is the only one that dispatches keys issued by ``incarnation``."""
        return incarnation in self._owned

    def owned_incarnations(self) -> list[IncarnationId]:
        """Return this incarnation and those whose tables it adopted, sorted."""
        with self._lock:
            return sorted(self._owned)

    def find(self, scoped_key: ScopedKey) -> OnceRecord | None:
        """Return the record of a key, or ``None``."""
        with self._lock:
            return self._records.get(scoped_key)

    def begin(self, scoped_key: ScopedKey, fingerprint: Fingerprint) -> BeginResult:
        """Record a key as ``HELD`` before it is dispatched, or say why it cannot be."""
        with self._lock:
            self._drop_old()
            record = self._records.get(scoped_key)
            if record is not None:
                return KnownOperation(record) if record.fingerprint == fingerprint else KeyReused()
            if self._is_handed_over:
                return TableHandedOver()
            if self._is_sealed:
                return TableSealed()
            record = OnceRecord(scoped_key, fingerprint, OnceState.HELD, self._clock_s())
            self._records[scoped_key] = record
            return NewOperation(record)

    def dispatch(self, record: OnceRecord) -> bool:
        """Change ``HELD`` to ``DISPATCHED``.

        Returns ``False`` if the record is not held or the table was handed over.
        """
        with self._lock:
            if record.state is not OnceState.HELD or self._is_handed_over:
                return False
            record.state = OnceState.DISPATCHED
            return True

    def mark_not_sent(self, record: OnceRecord) -> None:
        """Return to ``HELD``, for an attempt that is proven not to have been sent."""
        with self._lock:
            if record.state is OnceState.DISPATCHED:
                record.state = OnceState.HELD

    def abandon(self, record: OnceRecord) -> bool:
        """Remove a held key, so that a retry can start again; ``False`` if it is not held."""
        with self._lock:
            if record.state is not OnceState.HELD:
                return False
            self._records.pop(record.scoped_key, None)
            settled = record.settled
        settled.cancel()
        return True

    def finish(self, record: OnceRecord, answer: StoredAnswer) -> None:
        """Store the service's answer, also for an operation whose outcome was unknown."""
        with self._lock:
            if record.state is OnceState.DONE:
                return
            record.state = OnceState.DONE
            record.answer = answer
            settled = record.settled
        if not settled.done():
            settled.set_result(OnceState.DONE)

    def mark_unknown(self, record: OnceRecord) -> None:
        """Change to ``UNKNOWN``: the attempt may have run, so it is never dispatched again."""
        with self._lock:
            if record.state is not OnceState.DISPATCHED:
                return
            record.state = OnceState.UNKNOWN
            settled = record.settled
        if not settled.done():
            settled.set_result(OnceState.UNKNOWN)

    def seal(self) -> None:
        """Accept no new keys from now on."""
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
        """Stop using the table permanently and return its records, without held ones.

        Dispatched operations become ``UNKNOWN``, because the successor does not get their answers.
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
        """Add records of another table; they answer retries immediately."""
        with self._lock:
            for record in records:
                self._records.setdefault(record.scoped_key, record)

    def adopt_incarnations(self, incarnations: list[IncarnationId]) -> bool:
        """Take ownership of the keys of other incarnations whose records have all been adopted.

        Returns ``False`` if this table is sealed, because its own process is stopping.
        """
        with self._lock:
            if self._is_sealed:
                return False
            self._owned.update(incarnations)
            return True

    def __len__(self) -> int:
        return len(self._records)

    def _drop_old(self) -> None:
        """Remove settled operations that are older than the retention."""
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
