"""Divides the writing of records in the store among all gateways.

For each record, the gateways are ordered by a hash: the first one writes it, and the others, ever
more of them, only if those before fail.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ..membership.peer_table import PeerTable

CHECK_INTERVAL_S = 0.25
# How long a group of gateways waits for those before it in the order to write a record. Each group
# is twice as large as the one before it, so that the wait does not grow with the fleet.
WRITER_FAILOVER_S = 1.0
RETRY_S = 1.0
T = TypeVar("T")


class RecordWriter(Generic[T]):
    """Writes this gateway's share of the records, one at a time on a thread of its own.

    ``unrecorded`` returns the records to write by their names, the most urgent first. ``write``
    returns whether one was written. ``task`` names the work in the log.
    """

    def __init__(
        self,
        task: str,
        peers: PeerTable,
        unrecorded: Callable[[], Mapping[str, T]],
        write: Callable[[T], bool],
        clock_s: Callable[[], float],
    ) -> None:
        self._task = task
        self._peers = peers
        self._unrecorded = unrecorded
        self._write = write
        self._clock_s = clock_s
        self._due_since_s: dict[str, float] = {}
        self._next_check_s = float("-inf")
        self._write_lock = threading.Lock()

    def tick(self) -> None:
        """Start to write a record if this gateway is to write one.

        Called many times a second, checks every ``CHECK_INTERVAL_S`` and never blocks.
        """
        now_s = self._clock_s()
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        due = self._next_due(now_s)
        if due is not None and self._write_lock.acquire(blocking=False):
            threading.Thread(target=self._run, args=(due,), daemon=True).start()

    def _next_due(self, now_s: float) -> T | None:
        unrecorded = self._unrecorded()
        self._due_since_s = {name: self._due_since_s.get(name, now_s) for name in unrecorded}
        for name, record in unrecorded.items():
            group = self._peers.rank_among_live(name).bit_length()
            if now_s - self._due_since_s[name] >= group * WRITER_FAILOVER_S:
                return record
        return None

    def _run(self, record: T) -> None:
        try:
            if not self._write(record):
                self._next_check_s = self._clock_s() + RETRY_S
        except Exception as error:
            log_event(Event.BACKGROUND_TASK_FAILED, task=self._task, error=repr(error)[:300])
        finally:
            self._write_lock.release()
