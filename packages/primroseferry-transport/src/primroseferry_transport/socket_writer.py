"""Non-blocking writes to a caller's socket from several threads."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from .write_watch import WriteWatch

if TYPE_CHECKING:
    import socket

    from .loop_services import EventLoop

# The call whose body fills the buffer to here is paused until some of it is sent.
ROOM_BYTES = 64 * 1024
# A paused call goes on once this much less is buffered. A larger step would leave the server's
# connection unread for longer when the caller reads slowly.
RESUME_STEP_BYTES = 32 * 1024
# One event of the largest permitted size has to fit in.
DEFAULT_MAX_PENDING_BYTES = 2 * 1024 * 1024
# A caller that accepts no byte for this long while a call is paused is treated as disconnected.
STALL_TIMEOUT_S = 10.0
# The most that the end of an answer takes for a caller that goes on reading.
MAX_FLUSH_S = 60.0


class SocketWriter:
    """Sends what the socket accepts at once and buffers the rest.

    While much is buffered, the loop reads no more of the call whose body is written; how much that
    is depends on what all writers hold. A caller is treated as disconnected if it reads nothing for
    ``STALL_TIMEOUT_S`` meanwhile, or if more than ``max_pending_bytes``, or more than all writers
    may hold together, would be buffered.
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
        self._unsent = loop.unsent_bytes
        self._pending = bytearray()
        self._progress_s = 0.0
        self._lock = threading.Lock()
        self._flushed = threading.Event()
        self._flushed.set()
        self._is_broken = False
        self._is_too_slow = False
        self._unread_since_s: float | None = None
        self._watch: WriteWatch | None = None

    @property
    def is_too_slow(self) -> bool:
        """Whether the caller was treated as disconnected because it read too slowly."""
        return self._is_too_slow

    @property
    def unread_since_s(self) -> float | None:
        """Since when bytes wait for the caller to read, ``None`` if none do."""
        return self._unread_since_s

    @property
    def has_unsent(self) -> bool:
        """Whether the caller has not taken all bytes yet, so that a call may be paused."""
        return bool(self._pending)

    def write(self, data: bytes) -> bool:
        """Send or buffer ``data``; return ``False`` once the caller is treated as disconnected."""
        with self._lock:
            if self._is_broken:
                return False
            is_taken = self._buffer(data) if self._pending else self._send(data)
            pending = len(self._pending)
            is_full = pending > 0 and pending >= self._room_bytes()
        if is_full:
            self._loop.pause_current_call(self._has_room)
        return is_taken

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
            self._unsent.remove(sent)
            self._progress_s = time.monotonic()
            if self._pending:
                return True
            self._end_watch()
            self._unread_since_s = None
            self._flushed.set()
            return False

    def abort(self) -> None:
        """Treat the caller as disconnected and discard the buffered bytes."""
        with self._lock:
            self._mark_broken()

    def wait_flushed(self, timeout_s: float) -> bool:
        """Wait until the buffer is sent.

        Returns ``False`` if the caller disconnects, accepts no byte for ``timeout_s`` or needs more
        than ``MAX_FLUSH_S``.
        """
        started_s = time.monotonic()
        due_s = started_s + timeout_s
        while not self._flushed.wait(due_s - time.monotonic()):
            with self._lock:
                due_s = min(self._progress_s + timeout_s, started_s + MAX_FLUSH_S)
                if self._pending and due_s <= time.monotonic():
                    return self._give_up()
        return not self._is_broken

    def _send(self, data: bytes) -> bool:
        try:
            sent = self._connection.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            return self._mark_broken()
        if sent == len(data):
            return True
        self._progress_s = self._unread_since_s = time.monotonic()
        return self._buffer(data[sent:]) and self._watch_connection()

    def _buffer(self, data: bytes) -> bool:
        is_too_much = len(self._pending) + len(data) > self._max_pending_bytes
        if is_too_much or not self._unsent.add(len(data)):
            return self._give_up()
        self._pending += data
        self._flushed.clear()
        return True

    def _has_room(self) -> bool:
        """Whether the paused call may go on, if only to learn that its caller is given up."""
        with self._lock:
            pending = len(self._pending)
            if pending == 0 or pending <= self._room_bytes() - RESUME_STEP_BYTES:
                return True
            if time.monotonic() - self._progress_s < STALL_TIMEOUT_S:
                return False
            self._give_up()
            return True

    def _room_bytes(self) -> int:
        """Return how much may be buffered before the call is paused."""
        if self._unsent.is_scarce:
            return 0
        return self._loop.read_ahead_bytes if self._unsent.is_ample else ROOM_BYTES

    def _watch_connection(self) -> bool:
        try:
            watch = WriteWatch(self._connection, self.flush)
            self._loop.add_write_watch(watch)
        except OSError:
            return self._mark_broken()
        self._watch = watch
        return True

    def _end_watch(self) -> None:
        """Stop watching before the request's thread learns of the end and closes the connection."""
        if self._watch is not None:
            self._loop.remove_watch(self._watch)
            self._watch = None

    def _give_up(self) -> bool:
        self._is_too_slow = True
        return self._mark_broken()

    def _mark_broken(self) -> bool:
        self._end_watch()
        self._is_broken = True
        self._unread_since_s = None
        self._unsent.remove(len(self._pending))
        self._pending.clear()
        self._flushed.set()
        return False
