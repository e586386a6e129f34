"""A log handler that never blocks: it queues lines, and a thread writes them in batches."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections import deque

FLUSH_INTERVAL_S = 0.1
# Rate limit of one process, and its burst. Lines beyond it are dropped and counted, so that logging
# many failures at once does not take CPU time from requests.
MAX_LINES_PER_S = 400
MAX_PENDING_LINES = 4_000


class BatchedLogHandler(logging.Handler):
    """Formats each record when it is emitted and writes it on a separate thread.

    A token bucket limits the rate. One line reports the number of dropped lines.
    """

    def __init__(self, file_descriptor: int) -> None:
        super().__init__()
        self._file_descriptor = file_descriptor
        self._lines: deque[str] = deque()
        self._tokens = float(MAX_LINES_PER_S)
        self._refilled_s = time.monotonic()
        self._dropped = 0
        self._condition = threading.Condition()
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        self._thread.start()

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped and not reported yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record, or drop it above the rate limit or with a full queue."""
        with self._condition:
            if not self._acquire_token():
                self._dropped += 1
                return
            self._lines.append(self.format(record))
            if len(self._lines) == 1:
                self._condition.notify()

    def close(self) -> None:
        """Write the queued lines and stop the thread; waits at most one second."""
        with self._condition:
            self._is_open = False
            self._condition.notify()
        if threading.current_thread() is not self._thread:
            self._thread.join(timeout=1)
        super().close()

    def _acquire_token(self) -> bool:
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(float(MAX_LINES_PER_S), refilled)
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._lines) >= MAX_PENDING_LINES:
            return False
        self._tokens -= 1
        return True

    def _run(self) -> None:
        while not self._write_batch():
            time.sleep(FLUSH_INTERVAL_S)

    def _write_batch(self) -> bool:
        """Wait for lines and write them; return whether they were the last.

        Lines that cannot be written count as dropped, which the next batch reports.
        """
        with self._condition:
            while self._is_open and not self._lines:
                self._condition.wait()
            is_last = not self._is_open
            lines = list(self._lines)
            self._lines.clear()
            dropped, self._dropped = self._dropped, 0
        try:
            report = f'{{"message": "log lines dropped", "dropped": {dropped}}}'
            batch = [*lines, report] if dropped else lines
            if batch:
                self._write("\n".join(batch) + "\n")
        except Exception:
            with self._condition:
                self._dropped += dropped + len(lines)
        return is_last

    def _write(self, text: str) -> None:
        data = text.encode("utf-8", "backslashreplace")
        while data:
            try:
                data = data[os.write(self._file_descriptor, data) :]
            except OSError:  # The reader closed the stream, so the error cannot be logged.
                return
