"""Reports that a caller's connection takes bytes again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


class WriteWatch:
    """Calls ``flush`` when a connection is writable, until it returns ``False``.

    It watches a duplicate of the file descriptor, which only the event loop closes. The descriptor
    therefore keeps its number for as long as the loop watches it, whenever the connection is
    closed.
    """

    def __init__(self, connection: socket.socket, flush: Callable[[], bool]) -> None:
        self.duplicate = connection.dup()
        self._flush = flush

    def fileno(self) -> int:
        """Return the duplicate's file descriptor, or -1 once it is closed."""
        return self.duplicate.fileno()

    def close(self) -> None:
        """Close the duplicate; the connection itself stays open."""
        self.duplicate.close()

    def check(self) -> bool:
        """Send what the connection takes; return whether bytes remain to be sent."""
        return self._flush()
