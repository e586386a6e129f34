"""Detects that a caller disconnects while its request is processed."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from .loop_services import EventLoop


class DisconnectWatch:
    """Detects the end of a connection.

    It watches a duplicate of the file descriptor, because a selector takes each descriptor only
    once and the connection itself may be registered for writing.
    """

    def __init__(self, connection: socket.socket, on_disconnect: Callable[[], None]) -> None:
        self.duplicate = connection.dup()
        self.duplicate.setblocking(False)
        self._on_disconnect = on_disconnect

    def fileno(self) -> int:
        """Return the duplicate's file descriptor."""
        return self.duplicate.fileno()

    def close(self) -> None:
        """Close the duplicate; the connection itself stays open."""
        self.duplicate.close()

    def check(self) -> bool:
        """Call ``on_disconnect`` if the connection has ended; return whether to keep watching.

        Watching also ends when the caller sends more data, which is left unread.
        """
        try:
            data = self.duplicate.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        if not data:
            self._on_disconnect()
        return False


@contextlib.contextmanager
def watch_disconnect(
    loop: EventLoop, connection: socket.socket, on_disconnect: Callable[[], None]
) -> Iterator[None]:
    """Call ``on_disconnect`` on the loop's thread if the caller disconnects within the block.

    If the connection is closed already, it is called at once on the current thread.
    """
    try:
        watch = DisconnectWatch(connection, on_disconnect)
    except OSError:
        on_disconnect()
        yield
        return
    loop.add_watch(watch)
    try:
        yield
    finally:
        loop.remove_watch(watch)
