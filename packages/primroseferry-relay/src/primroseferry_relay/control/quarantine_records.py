"""Stores suspicions in the platform's store, so that they outlive all gateway processes.

Gateways keep suspicions in memory and exchange them. If all gateways end within seconds, the
suspicions are restored from the listing that each gateway reads at its start. A record is written
for each request that was lost more than once, with or without a proved cause, written again when
its suspicion grows or its quarantine ends, and expires with its lease. A single loss is not
written: each crash of an endpoint breaks off many sound requests once. For each request, the
gateways are ordered by a hash: the first gateway writes the record, and the others, ever more of
them, only if those before fail. A gateway that loses a request again without a proved cause writes
the record itself before the request goes on, because all gateways may end within the next second.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_policy.quarantine import SuspicionReport
from primroseferry_policy.suspicion import DEATHS_TO_QUARANTINE

from ..membership.codec import decode_suspicion
from ..membership.codec import encode_suspicion
from .leased_record import put_leased
from .record_writer import RETRY_S
from .record_writer import RecordWriter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.suspicion import Suspicion

    from ..membership.peer_table import PeerTable
    from .metadata_store import MetadataStore
    from .metadata_store import StoredItem

QUARANTINE_PREFIX = "quarantine/"
# The longest lease that the platform grants. A quarantine that lasts longer is written again.
LEASE_MS = 600_000
# How long an attempt whose loss is recorded waits for the store before the request goes on.
MAX_WAIT_S = 0.25


class QuarantineRecords:
    """Writes this gateway's share of the records and applies the records of all gateways."""

    def __init__(
        self,
        store: MetadataStore,
        quarantine: Quarantine,
        peers: PeerTable,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._stored: dict[Fingerprint, Suspicion] = {}
        self._writer = RecordWriter(
            "quarantine records", peers, self._unrecorded, self._write, clock_s
        )
        self._lock = threading.Lock()
        self._clock_s = clock_s
        self._urgent_lock = threading.Lock()
        self._retry_s = float("-inf")

    def apply(self, item: StoredItem) -> None:
        """Apply a record that any gateway wrote, or the expiry of one."""
        fingerprint = Fingerprint(item.key.removeprefix(QUARANTINE_PREFIX))
        record = _decode(item) if item.value is not None else None
        with self._lock:
            if record is None:
                self._stored.pop(fingerprint, None)
                return
            self._stored[fingerprint] = record.suspicion
        self._quarantine.merge([record])

    def apply_listing(self, keys: Collection[str]) -> None:
        """Forget that records were stored which a complete listing of the store lacks.

        A store that returned from an older copy has lost its newest records. They are written
        again.
        """
        with self._lock:
            self._stored = {
                fingerprint: suspicion
                for fingerprint, suspicion in self._stored.items()
                if f"{QUARANTINE_PREFIX}{fingerprint}" in keys
            }

    def tick(self) -> None:
        """Start to write a record if this gateway is to write one; never blocks."""
        self._writer.tick()

    def record_now(self, record: SuspicionReport) -> None:
        """Write a record at once and wait for it, for ``MAX_WAIT_S`` at most.

        What is not written by then, or while another one is, is left to ``tick``.
        """
        if self._clock_s() < self._retry_s or not self._urgent_lock.acquire(blocking=False):
            return
        done = threading.Event()
        threading.Thread(target=self._write_urgent, args=(record, done), daemon=True).start()
        done.wait(MAX_WAIT_S)

    def _write_urgent(self, record: SuspicionReport, done: threading.Event) -> None:
        try:
            if not self._write(record):
                self._retry_s = self._clock_s() + RETRY_S
        finally:
            self._urgent_lock.release()
            done.set()

    def _unrecorded(self) -> Mapping[str, SuspicionReport]:
        with self._lock:
            stored = dict(self._stored)
        grown = [
            entry
            for entry in self._quarantine.repeated()
            if stored.get(entry.suspicion.fingerprint) != entry.suspicion
        ]
        # Quarantines first: a write takes two calls, and only one is in progress at a time.
        grown.sort(key=lambda entry: -entry.suspicion.weight)
        cleared = [
            record
            for fingerprint, suspicion in stored.items()
            if (record := self._quarantine.find(fingerprint)) is not None
            and _is_cleared(suspicion, record.suspicion)
        ]
        return {str(entry.suspicion.fingerprint): entry for entry in (*grown, *cleared)}

    def _write(self, record: SuspicionReport) -> bool:
        fingerprint = record.suspicion.fingerprint
        key = f"{QUARANTINE_PREFIX}{fingerprint}"
        failure = put_leased(self._store, key, _encode(record), LEASE_MS)
        if failure is not None:
            log_event(Event.QUARANTINE_NOT_RECORDED, fingerprint=fingerprint, reason=failure.value)
            return False
        with self._lock:
            self._stored[fingerprint] = record.suspicion
        log_event(Event.QUARANTINE_RECORDED, fingerprint=fingerprint, level=record.suspicion.level)
        return True


def _is_cleared(stored: Suspicion, known: Suspicion) -> bool:
    """Whether a stored record would hold against a request what no longer counts."""
    if stored.level >= DEATHS_TO_QUARANTINE:
        return known.level < DEATHS_TO_QUARANTINE
    return bool(stored.losses) and stored.is_repeated and not known.is_repeated


def _encode(record: SuspicionReport) -> bytes:
    data = {"held": encode_suspicion(record), "written_s": round(time.time(), 1)}
    return json.dumps(data, separators=(",", ":")).encode()


def _decode(item: StoredItem) -> SuspicionReport | None:
    try:
        data = json.loads(item.value or b"")
        record = decode_suspicion(data["held"])
        age_s = record.age_s + max(0.0, time.time() - float(data["written_s"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log_event(Event.CONTROL_ITEM_IGNORED, key=item.key, reason=repr(error)[:200])
        return None
    return SuspicionReport(record.suspicion, age_s)
