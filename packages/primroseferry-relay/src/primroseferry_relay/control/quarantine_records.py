"""Quarantines in the platform's store, for a fleet of which no process is left.

Gateways tell each other what they hold against requests; what all of them forget, when all end
within seconds, comes back with the listing that a gateway starts with. A record is written for each
quarantine, again when more is held against its request or when that was cleared, and ends with its
lease. The gateways take turns by the hash of the request, so that one of them writes and the next
one only where that fails.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_policy.quarantine import ToldSuspicion
from primroseferry_policy.suspicion import DEATHS_TO_QUARANTINE
from result import Err
from result import Ok
from result import Result

from ..membership.codec import told_fields
from ..membership.codec import told_suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.suspicion import Suspicion

    from ..membership.peer_table import PeerTable
    from .metadata_store import MetadataStore
    from .metadata_store import StoredItem
    from .metadata_store import StoreFailure

QUARANTINE_PREFIX = "quarantine/"
# The longest lease that the platform grants; a quarantine that lasts longer is written again.
LEASE_MS = 600_000
LOOK_S = 0.25
# How long each gateway in turn leaves a record to the one before.
TURN_S = 1.0
RETRY_S = 1.0


class QuarantineRecords:
    """One gateway's part in keeping the records."""

    def __init__(
        self,
        store: MetadataStore,
        quarantine: Quarantine,
        peers: PeerTable,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._peers = peers
        self._clock_s = clock_s
        self._stored: dict[Fingerprint, Suspicion] = {}
        self._noticed_s: dict[Fingerprint, float] = {}
        self._next_look_s = float("-inf")
        self._is_writing = threading.Lock()
        self._lock = threading.Lock()

    def hear(self, item: StoredItem) -> None:
        """Take in a record that any gateway wrote, or that has ended."""
        fingerprint = Fingerprint(item.key.removeprefix(QUARANTINE_PREFIX))
        told = _decoded(item) if item.value is not None else None
        with self._lock:
            if told is None:
                self._stored.pop(fingerprint, None)
                return
            self._stored[fingerprint] = told.suspicion
        self._quarantine.hear([told])

    def tick(self) -> None:
        """Write a record where it is this gateway's turn; called many times a second."""
        now_s = self._clock_s()
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + LOOK_S
        due = self._due(now_s)
        if due is not None and self._is_writing.acquire(blocking=False):
            threading.Thread(target=self._write, args=(due,), daemon=True).start()

    def _due(self, now_s: float) -> ToldSuspicion | None:
        unrecorded = {one.suspicion.fingerprint: one for one in self._unrecorded()}
        self._noticed_s = {name: self._noticed_s.get(name, now_s) for name in unrecorded}
        for name, told in unrecorded.items():
            if now_s - self._noticed_s[name] >= self._turn(name) * TURN_S:
                return told
        return None

    def _unrecorded(self) -> list[ToldSuspicion]:
        with self._lock:
            stored = dict(self._stored)
        severe = [
            one
            for one in self._quarantine.severe()
            if stored.get(one.suspicion.fingerprint) != one.suspicion
        ]
        cleared = [
            told
            for name, held in stored.items()
            if held.level >= DEATHS_TO_QUARANTINE
            and (told := self._quarantine.find(name)) is not None
            and told.suspicion.level < DEATHS_TO_QUARANTINE
        ]
        return [*severe, *cleared]

    def _turn(self, fingerprint: Fingerprint) -> int:
        own = str(self._peers.own_instance)
        names = [str(peer.instance) for peer in self._peers.live()]
        return rendezvous_order(fingerprint, [*names, own]).index(own)

    def _write(self, told: ToldSuspicion) -> None:
        fingerprint = told.suspicion.fingerprint
        try:
            failure = self._put(told)
            if failure is None:
                with self._lock:
                    self._stored[fingerprint] = told.suspicion
                log_event(
                    Event.QUARANTINE_RECORDED, fingerprint=fingerprint, level=told.suspicion.level
                )
                return
            log_event(Event.QUARANTINE_NOT_RECORDED, fingerprint=fingerprint, reason=failure.value)
            self._next_look_s = self._clock_s() + RETRY_S
        except Exception as error:
            log_event(Event.BACKGROUND_FAILED, task="quarantine records", error=repr(error)[:300])
        finally:
            self._is_writing.release()

    def _put(self, told: ToldSuspicion) -> StoreFailure | None:
        match self._store.grant_lease(LEASE_MS):
            case Err(failure):
                return failure
            case Ok(lease):
                key = f"{QUARANTINE_PREFIX}{told.suspicion.fingerprint}"
                written: Result[int, StoreFailure] = self._store.put(key, _encoded(told), lease)
                return written.err()
        return None


def _encoded(told: ToldSuspicion) -> bytes:
    data = {"held": told_fields(told), "written_s": round(time.time(), 1)}
    return json.dumps(data, separators=(",", ":")).encode()


def _decoded(item: StoredItem) -> ToldSuspicion | None:
    try:
        data = json.loads(item.value or b"")
        told = told_suspicion(data["held"])
        age_s = told.age_s + max(0.0, time.time() - float(data["written_s"]))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        log_event(Event.CONTROL_ITEM_IGNORED, key=item.key, reason=repr(error)[:200])
        return None
    return ToldSuspicion(told.suspicion, age_s)
