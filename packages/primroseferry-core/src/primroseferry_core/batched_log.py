"""Log lines that never block: collected in memory, written a few times a second by one thread."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections import deque

FLUSH_INTERVAL_S = 0.1
# Lines a second of one process; a burst of this many is allowed at once. Beyond it lines are
# dropped and counted, so that a storm of failures cannot take the processor from the requests.
MAX_LINES_PER_S = 400
MAX_PENDING_LINES = 4_000


class BatchedLogHandler(logging.Handler):
    """Formats each record at once and leaves the writing to a thread.

    Dropped lines are told by one line with their number.
    """

    def __init__(self, file_descriptor: int) -> None:
        super().__init__()
        self._file_descriptor = file_descriptor
        self._lines: deque[str] = deque()
        self._allowance = float(MAX_LINES_PER_S)
        self._allowance_s = time.monotonic()
        self._dropped = 0
        self._changed = threading.Condition()
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """How many lines were dropped and not told of yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Take in one record."""
        with self._changed:
            if not self._take_place():
                self._dropped += 1
                return
            self._lines.append(self.format(record))
            if len(self._lines) == 1:
                self._changed.notify()

    def close(self) -> None:
        """Write what is left, for a bounded time, and end the thread."""
        with self._changed:
            self._is_open = False
            self._changed.notify()
        if threading.current_thread() is not self._thread:
            self._thread.join(timeout=1)
        super().close()

    def _take_place(self) -> bool:
        now_s = time.monotonic()
        grown = self._allowance + (now_s - self._allowance_s) * MAX_LINES_PER_S
        self._allowance = min(float(MAX_LINES_PER_S), grown)
        self._allowance_s = now_s
        if self._allowance < 1 or len(self._lines) >= MAX_PENDING_LINES:
            return False
        self._allowance -= 1
        return True

    def _run(self) -> None:
        while True:
            with self._changed:
                while self._is_open and not self._lines:
                    self._changed.wait()
                is_last = not self._is_open
                lines = list(self._lines)
                self._lines.clear()
                dropped, self._dropped = self._dropped, 0
            if dropped:
                lines.append(f'{{"message": "log lines dropped", "dropped": {dropped}}}')
            if lines:
                self._write("\n".join(lines) + "\n")
            if is_last:
                return
            time.sleep(FLUSH_INTERVAL_S)

    def _write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        while data:
            try:
                data = data[os.write(self._file_descriptor, data) :]
            except OSError:  # The reader is gone: there is nowhere to say so.
                return
