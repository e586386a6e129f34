"""Non-blocking writes to a caller's socket from several threads."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from .write_watch import WriteWatch

if TYPE_CHECKING:
    import socket

    from .loop_services import EventLoop

DEFAULT_MAX_PENDING_BYTES = 1024 * 1024


class SocketWriter:
    """Sends what the socket accepts at once and buffers the rest.

    A caller that reads so slowly that more than ``max_pending_bytes`` are buffered is treated as
    disconnected, so that it does not use memory and time of other callers.
    """

    def __init__(
        self,
        connection: socket.socket,
        loop: EventLoop,
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
        self._watch: WriteWatch | None = None

    @property
    def is_too_slow(self) -> bool:
        """Whether the caller was treated as disconnected because it read too slowly."""
        return self._is_too_slow

    def write(self, data: bytes) -> bool:
        """Send or buffer ``data``; return ``False`` once the caller is treated as disconnected."""
        with self._lock:
            if self._is_broken:
                return False
            if self._pending:
                return self._buffer(data)
            try:
                sent = self._connection.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self._mark_broken()
            if sent == len(data):
                return True
            return self._buffer(data[sent:]) and self._watch_connection()

    def flush(self) -> bool:
        """Send as much of the buffer as the socket accepts; return whether bytes remain."""
        with self._lock:
            if self._is_broken or not self._pending:
                return False
            try:
                sent = self._connection.send(self._pending)
            except BlockingIOError:
                return True
            except OSError:
                return self._mark_broken()
            del self._pending[:sent]
            if self._pending:
                return True
            self._watch = None
            self._flushed.set()
            return False

    def abort(self) -> None:
        """Treat the caller as disconnected and discard the buffered bytes."""
        with self._lock:
            self._mark_broken()

    def wait_flushed(self, timeout_s: float) -> bool:
        """Wait until the buffer is sent; ``False`` if the caller disconnects or takes too long."""
        is_flushed = self._flushed.wait(timeout_s)
        if not is_flushed:
            with self._lock:
                self._is_too_slow = True
                self._mark_broken()
        return is_flushed and not self._is_broken

    def _buffer(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > self._max_pending_bytes:
            self._is_too_slow = True
            return self._mark_broken()
        self._pending += data
        self._flushed.clear()
        return True

    def _watch_connection(self) -> bool:
        try:
            self._watch = WriteWatch(self._connection, self.flush)
        except OSError:
            return self._mark_broken()
        self._loop.add_write_watch(self._watch)
        return True

    def _mark_broken(self) -> bool:
        if self._watch is not None:
            self._loop.remove_watch(self._watch)
            self._watch = None
        self._is_broken = True
        self._pending.clear()
        self._flushed.set()
        return False
