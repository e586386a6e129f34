"""Threads that a process cannot do without."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import TYPE_CHECKING

from .events import Event
from .logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

# Bounds the time and the log lines of work that fails each time.
RESTART_PAUSE_S = 0.1
# Work that has run for this long since its last failure counts as recovered.
RECOVERY_S = 0.5


class VitalThread:
    """Runs ``run`` on a thread of its own until it returns, again after each exception.

    ``is_failing`` tells whether ``run`` has ended by an exception and has not yet run for
    ``RECOVERY_S`` since then, or whether the thread has not been started or has ended.
    """

    def __init__(self, name: str, run: Callable[[], None]) -> None:
        self.name = name
        self._run = run
        self._failed_s: float | None = None
        self._thread = threading.Thread(target=self._run_until_done, name=name, daemon=True)

    @property
    def is_failing(self) -> bool:
        """Whether the work is not being done."""
        failed_s = self._failed_s
        has_just_failed = failed_s is not None and time.monotonic() - failed_s < RECOVERY_S
        return has_just_failed or not self._thread.is_alive()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def is_current(self) -> bool:
        """Return whether the caller runs on this thread."""
        return threading.current_thread() is self._thread

    def join(self, timeout_s: float) -> None:
        """Wait at most ``timeout_s`` until the thread has ended."""
        self._thread.join(timeout_s)

    def _run_until_done(self) -> None:
        while True:
            try:
                self._run()
                return
            except BaseException as error:
                self._failed_s = time.monotonic()
                # A failure to log must not end the thread either.
                with contextlib.suppress(Exception):
                    log_event(Event.BACKGROUND_TASK_FAILED, task=self.name, error=repr(error)[:300])
            time.sleep(RESTART_PAUSE_S)
