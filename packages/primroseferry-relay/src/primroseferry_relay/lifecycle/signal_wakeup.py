"""Lets the main thread wait for signals, whichever thread the kernel delivers them to."""

from __future__ import annotations

import selectors
import signal
import socket

READ_BYTES = 256


class SignalWakeup:
    """Ends a wait of the main thread as soon as the process receives a signal.

    Python runs signal handlers on the main thread only. If the kernel delivers a signal to another
    thread, a plain wait of the main thread goes on until its time limit.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._reader, selectors.EVENT_READ)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    def wait(self, timeout_s: float) -> None:
        """Wait until a signal arrives, at most ``timeout_s`` seconds."""
        if self._selector.select(timeout_s):
            self._reader.recv(READ_BYTES)

    def close(self) -> None:
        """Stop receiving signals."""
        signal.set_wakeup_fd(-1)
        self._selector.close()
        self._reader.close()
        self._writer.close()
