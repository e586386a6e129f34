"""Noticing that a caller closed its connection while its answer is being made."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from .loop_services import LoopServices


class HangUpWatch:
    """Watches a duplicate of the connection, so that the connection itself can be watched too."""

    def __init__(self, connection: socket.socket, on_hang_up: Callable[[], None]) -> None:
        self.duplicate = connection.dup()
        self.duplicate.setblocking(False)
        self._on_hang_up = on_hang_up

    def fileno(self) -> int:
        """The duplicate's file descriptor."""
        return self.duplicate.fileno()

    def close(self) -> None:
        """Close the duplicate."""
        self.duplicate.close()

    def check(self) -> bool:
        """Look at a readable connection; ``False`` when there is nothing more to watch for."""
        try:
            data = self.duplicate.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        if not data:
            self._on_hang_up()
        return False


@contextlib.contextmanager
def watch_hang_up(
    loop: LoopServices, connection: socket.socket, on_hang_up: Callable[[], None]
) -> Iterator[None]:
    """Call ``on_hang_up`` on the loop's thread if the caller closes within the block."""
    try:
        watch = HangUpWatch(connection, on_hang_up)
    except OSError:
        on_hang_up()
        yield
        return
    loop.add_watch(watch)
    try:
        yield
    finally:
        loop.remove_watch(watch)
