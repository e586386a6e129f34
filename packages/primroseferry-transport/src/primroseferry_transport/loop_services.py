"""Interfaces between an event loop and the watches that it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from .unsent_bytes import UnsentBytes


class EventLoop(Protocol):
    """A loop that watches connections for reading and writing.

    A watch ends with ``remove_watch``, or once ``check()`` has returned ``False``. It must end
    before its connection is closed, because the descriptor's number can be assigned again.
    """

    @property
    def unsent_bytes(self) -> UnsentBytes:
        """The bytes that all writers on this loop buffer together."""

    @property
    def read_ahead_bytes(self) -> int:
        """How much of a stream a writer buffers while memory is ample."""

    def pause_current_call(self, has_room: Callable[[], bool]) -> None:
        """Receive no more of the call whose body is being handled until ``has_room()``.

        Without such a call on the current thread, this does nothing.
        """

    def add_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is readable.

        Raises ``OSError`` if the connection cannot be watched.
        """

    def add_write_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is writable.

        Raises ``OSError`` if the connection cannot be watched.
        """

    def remove_watch(self, watch: ConnectionWatch) -> None:
        """Stop watching; a check that has begun on the loop's thread may still end later."""


class ConnectionWatch(Protocol):
    """A watch on one connection."""

    def fileno(self) -> int:
        """Return the number that the connection's descriptor had when the watch was made."""

    def check(self) -> bool:
        """Handle the connection's readiness; return whether to keep watching."""
