"""What watches and writers ask of the loop that runs them."""

from __future__ import annotations

from typing import Protocol


class LoopServices(Protocol):
    """The services of a loop to whatever it watches."""

    def add_watch(self, watch: ReadableWatch) -> None:
        """Call ``watch.check()`` when its connection is readable."""

    def remove_watch(self, watch: ReadableWatch) -> None:
        """Stop watching and close the watch's duplicate of the connection."""

    def flush_when_writable(self, writer: PendingWriter) -> None:
        """Call ``writer.flush()`` each time its socket can take bytes."""


class ReadableWatch(Protocol):
    """Something that looks at a connection when it is readable."""

    def fileno(self) -> int:
        """The file descriptor to watch."""

    def check(self) -> bool:
        """Look; ``False`` when there is nothing more to watch for."""

    def close(self) -> None:
        """Give up the file descriptor."""


class PendingWriter(Protocol):
    """Something that keeps bytes until its socket takes them."""

    def fileno(self) -> int:
        """The file descriptor to write to, -1 once it is closed."""

    def flush(self) -> bool:
        """Send what the socket takes; ``False`` when nothing is left to do."""
