"""A gate that blocks requests at one step until a test opens it."""

from __future__ import annotations

import threading


class Gate:
    """Blocks threads while it is closed and counts them. A new gate is open."""

    def __init__(self) -> None:
        self._is_open = True
        self._waiting = 0
        self._changed = threading.Condition()

    @property
    def waiting(self) -> int:
        """The number of threads that are blocked now."""
        return self._waiting

    def set_held(self, is_held: bool) -> None:
        """Close the gate, or open it and release all blocked threads."""
        with self._changed:
            self._is_open = not is_held
            self._changed.notify_all()

    def pass_through(self) -> None:
        """Return at once if the gate is open, or wait until it opens."""
        with self._changed:
            self._waiting += 1
            while not self._is_open:
                self._changed.wait()
            self._waiting -= 1
