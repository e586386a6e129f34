"""Interfaces between an event loop and the watches that it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from .unsent_bytes import UnsentBytes


class EventLoop(Protocol):
    """A loop that watches connections for reading and writing.

    A descriptor that the loop watches belongs to the loop: it closes the watch on its own thread,
    either in ``remove_watch`` or once ``check()`` has returned ``False``.
    """

    @property
    def unsent_bytes(self) -> UnsentBytes:
        """The bytes that all writers on this loop buffer together."""

    def pause_current_call(self, has_room: Callable[[], bool]) -> None:
        """Receive no more of the call whose body is being handled until ``has_room()``.

        Without such a call on the current thread, this does nothing.
        """

    def add_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is readable."""

    def add_write_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is writable."""

    def remove_watch(self, watch: ConnectionWatch) -> None:
        """Stop watching and close ``watch``."""


class ConnectionWatch(Protocol):
    """A watch on one connection, with a file descriptor of its own."""

    def fileno(self) -> int:
        """Return the file descriptor to watch, or -1 once it is closed."""

    def check(self) -> bool:
        """Handle the connection's readiness; return whether to keep watching."""

    def close(self) -> None:
        """Close the file descriptor."""
