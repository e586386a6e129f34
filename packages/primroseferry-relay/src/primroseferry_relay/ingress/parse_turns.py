"""Leaves processor time to ordinary callers beside clients that send very much to parse."""

from __future__ import annotations

import threading
import time

# The pause after a turn, as a multiple of its duration: it covers the handling of the request and
# time for other callers.
PAUSE_FACTOR = 4.0
# At least this, so that all connections together have some hundred turns a second.
MIN_PAUSE_S = 0.002
# A turn is long if the thread was not scheduled; the next one does not wait for all of that.
MAX_PAUSE_S = 0.2


class ParseTurns:
    """Lets one thread of the process at a time parse, with a pause after it.

    Without the pause, some hundred threads that parse and refuse requests take turns at the
    interpreter lock with each step of an ordinary request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._began_s = 0.0
        self._free_at_s = 0.0

    def acquire(self, timeout_s: float) -> bool:
        """Wait for a turn; return ``False`` if there was none in time."""
        if not self._lock.acquire(timeout=timeout_s):
            return False
        time.sleep(max(0.0, self._free_at_s - time.monotonic()))
        self._began_s = time.monotonic()
        return True

    def release(self) -> None:
        """End the turn that this thread has."""
        now_s = time.monotonic()
        pause_s = max(MIN_PAUSE_S, (now_s - self._began_s) * PAUSE_FACTOR)
        self._free_at_s = now_s + min(pause_s, MAX_PAUSE_S)
        self._lock.release()
