"""Interfaces between an event loop and the watches and writers that it runs."""

from __future__ import annotations

from typing import Protocol


class EventLoop(Protocol):
    """A loop that watches connections for reading and writing."""

    def add_watch(self, watch: ReadableWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is readable."""

    def remove_watch(self, watch: ReadableWatch) -> None:
        """Stop watching and close ``watch``."""

    def flush_when_writable(self, writer: PendingWriter) -> None:
        """Call ``writer.flush()`` when its socket is writable, until it returns ``False``."""


class ReadableWatch(Protocol):
    """A watch on one connection."""

    def fileno(self) -> int:
        """Return the file descriptor to watch."""

    def check(self) -> bool:
        """Inspect the readable connection; return whether to keep watching."""

    def close(self) -> None:
        """Close the file descriptor."""


class PendingWriter(Protocol):
    """A writer that buffers bytes until its socket accepts them."""

    def fileno(self) -> int:
        """Return the file descriptor to write to, or -1 once it is closed."""

    def flush(self) -> bool:
        """Send as much as the socket accepts; return whether bytes remain to be sent."""
