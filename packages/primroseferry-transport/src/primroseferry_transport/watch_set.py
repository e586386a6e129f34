"""The connections that an event loop watches, without descriptors of its own for them."""

from __future__ import annotations

import errno
import selectors
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

    from .loop_services import ConnectionWatch


def open_descriptor(connection: socket.socket) -> int:
    """Return a connection's file descriptor; raises ``OSError`` if it is closed."""
    fd = connection.fileno()
    if fd < 0:
        raise OSError(errno.EBADF, "the connection is closed")
    return fd


class WatchSet:
    """Watches connections for one kind of event; any thread may add and remove them.

    Its selector is separate from the loop's, so that a watch ends before ``remove`` returns and its
    connection can be closed at once. One set takes each descriptor only once.
    """

    def __init__(self, event: int) -> None:
        self._event = event
        self._selector = selectors.DefaultSelector()
        self._watches: dict[int, ConnectionWatch] = {}
        self._lock = threading.Lock()
        self._is_open = True

    def fileno(self) -> int:
        """Return a descriptor that is readable while a watched connection is ready."""
        return self._selector.fileno()

    def add(self, watch: ConnectionWatch) -> None:
        """Watch a connection in place of a closed one whose descriptor had the same number.

        Raises ``OSError`` if the connection cannot be watched.
        """
        fd = watch.fileno()
        with self._lock:
            if not self._is_open:
                return
            if self._watches.pop(fd, None) is not None:
                self._selector.unregister(fd)
            self._selector.register(fd, self._event)
            self._watches[fd] = watch

    def remove(self, watch: ConnectionWatch) -> None:
        """Stop watching a connection, if it is still watched."""
        fd = watch.fileno()
        with self._lock:
            if self._watches.get(fd) is watch:
                del self._watches[fd]
                self._selector.unregister(fd)

    def ready(self) -> list[ConnectionWatch]:
        """Return the watches of the connections that are ready."""
        with self._lock:
            return [self._watches[key.fd] for key, _ in self._selector.select(0)]

    def close(self) -> None:
        """Stop watching all connections."""
        with self._lock:
            self._is_open = False
            self._watches.clear()
            self._selector.close()
