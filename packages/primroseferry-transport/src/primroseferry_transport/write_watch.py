"""Reports that a caller's connection takes bytes again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .watch_set import open_descriptor

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


class WriteWatch:
    """Calls ``flush`` when a connection is writable, until it returns ``False``."""

    def __init__(self, connection: socket.socket, flush: Callable[[], bool]) -> None:
        self._fd = open_descriptor(connection)
        self._flush = flush

    def fileno(self) -> int:
        """Return the number that the connection's descriptor had when the watch was made."""
        return self._fd

    def check(self) -> bool:
        """Send what the connection takes; return whether bytes remain to be sent."""
        return self._flush()
