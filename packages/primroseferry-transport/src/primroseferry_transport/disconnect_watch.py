"""Detects that a caller disconnects while its request is processed."""

from __future__ import annotations

import contextlib
import fcntl
import select
import struct
import termios
from typing import TYPE_CHECKING

from .watch_set import open_descriptor

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from collections.abc import Iterator

    from .loop_services import EventLoop

_INT = struct.Struct("i")


class DisconnectWatch:
    """Detects the end of a connection.

    It never waits and reads nothing: another thread may have set a timeout at the connection, for
    which a read through it could block the loop.
    """

    def __init__(self, connection: socket.socket, on_disconnect: Callable[[], None]) -> None:
        self._fd = open_descriptor(connection)
        self._on_disconnect = on_disconnect

    def fileno(self) -> int:
        """Return the number that the connection's descriptor had when the watch was made."""
        return self._fd

    def check(self) -> bool:
        """Call ``on_disconnect`` if the connection has ended; return whether to keep watching.

        Watching also ends when the caller sends more data, which is left unread.
        """
        if self._has_unread_bytes():
            return False
        if not self._is_readable():
            return True
        self._on_disconnect()
        return False

    def _has_unread_bytes(self) -> bool:
        try:
            count = fcntl.ioctl(self._fd, termios.FIONREAD, bytes(_INT.size))
        except OSError:
            return False
        return bool(_INT.unpack(count)[0])

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self._fd, select.POLLIN)
        return bool(poll.poll(0))


@contextlib.contextmanager
def watch_disconnect(
    loop: EventLoop, connection: socket.socket, on_disconnect: Callable[[], None]
) -> Iterator[None]:
    """Call ``on_disconnect`` on the loop's thread if the caller disconnects within the block.

    If the connection is closed already, it is called at once on the current thread.
    """
    try:
        watch = DisconnectWatch(connection, on_disconnect)
        loop.add_watch(watch)
    except OSError:
        on_disconnect()
        yield
        return
    try:
        yield
    finally:
        loop.remove_watch(watch)
