"""Writing to a caller's socket from several threads without ever blocking one of them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from .loop_services import LoopServices

DEFAULT_MAX_PENDING_BYTES = 1024 * 1024


class SocketWriter:
    """Sends at once what the socket takes and keeps the rest, up to a bound.

    A caller that reads too slowly to stay within ``max_pending_bytes`` is treated as gone, so that
    it costs other callers neither memory nor time.
    """

    def __init__(
        self,
        connection: socket.socket,
        loop: LoopServices,
        max_pending_bytes: int = DEFAULT_MAX_PENDING_BYTES,
    ) -> None:
        connection.setblocking(False)
        self._connection = connection
        self._loop = loop
        self._max_pending_bytes = max_pending_bytes
        self._pending = bytearray()
        self._lock = threading.Lock()
        self._flushed = threading.Event()
        self._flushed.set()
        self._is_broken = False
        self._is_too_slow = False

    @property
    def is_too_slow(self) -> bool:
        """Whether the caller was given up on because it read too slowly."""
        return self._is_too_slow

    def fileno(self) -> int:
        """The socket's file descriptor, -1 once it is closed."""
        return self._connection.fileno()

    def write(self, data: bytes) -> bool:
        """Send or keep ``data``; ``False`` once the caller is gone."""
        with self._lock:
            if self._is_broken:
                return False
            if self._pending:
                return self._keep(data)
            try:
                sent = self._connection.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self._break()
            if sent == len(data):
                return True
            is_kept = self._keep(data[sent:])
        if is_kept:
            self._loop.flush_when_writable(self)
        return is_kept

    def flush(self) -> bool:
        """Send what is kept as far as the socket takes it; ``False`` when nothing is left to do."""
        with self._lock:
            if self._is_broken or not self._pending:
                return False
            try:
                sent = self._connection.send(self._pending)
            except BlockingIOError:
                return True
            except OSError:
                return self._break()
            del self._pending[:sent]
            if self._pending:
                return True
            self._flushed.set()
            return False

    def give_up(self) -> None:
        """Treat the caller as gone."""
        with self._lock:
            self._break()

    def wait_flushed(self, timeout_s: float) -> bool:
        """Wait until everything is sent; ``False`` if the caller is gone or takes too long."""
        is_flushed = self._flushed.wait(timeout_s)
        if not is_flushed:
            with self._lock:
                self._is_too_slow = True
                self._break()
        return is_flushed and not self._is_broken

    def _keep(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > self._max_pending_bytes:
            self._is_too_slow = True
            return self._break()
        self._pending += data
        self._flushed.clear()
        return True

    def _break(self) -> bool:
        self._is_broken = True
        self._pending.clear()
        self._flushed.set()
        return False
