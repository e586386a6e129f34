"""Counts the clients that were closed or refused to protect the process, by reason."""

from __future__ import annotations

import threading
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

# One line for each reason in this time; the count in it covers the drops without a line.
LOG_INTERVAL_S = 1.0


class DropReason(Enum):
    """Why a client was closed or refused.

    ``IDLE``, ``SLOW_SENDER`` and ``SLOW_READER`` made room in a full listener; a ``SLOW_READER``
    may also have kept an answer whose memory others needed. ``MEMORY`` would have exceeded the
    memory for requests. ``NO_TURN`` sent requests ahead faster than they can be parsed.
    """

    IDLE = "idle"
    SLOW_SENDER = "slow-sender"
    SLOW_READER = "slow-reader"
    MEMORY = "memory"
    NO_TURN = "no-turn"


class ClientDrops:
    """Counts drops and logs them at a bounded rate; safe to use from any thread."""

    def __init__(self) -> None:
        self._counts: Counter[DropReason] = Counter()
        self._logged_s: dict[DropReason, float] = {}
        self._lock = threading.Lock()

    def note(self, reason: DropReason, listener: str) -> None:
        """Count a drop at the listener of this name."""
        now_s = time.monotonic()
        with self._lock:
            self._counts[reason] += 1
            count = self._counts[reason]
            if now_s - self._logged_s.get(reason, float("-inf")) < LOG_INTERVAL_S:
                return
            self._logged_s[reason] = now_s
        log_event(Event.CLIENT_DROPPED, reason=reason.value, listener=listener, count=count)

    def counts(self) -> Mapping[DropReason, int]:
        """Return the number of drops by reason."""
        with self._lock:
            return dict(self._counts)
