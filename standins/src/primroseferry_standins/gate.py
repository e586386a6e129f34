"""A gate that holds requests at one step until a test lets them go."""

from __future__ import annotations

import threading


class Gate:
    """Open unless closed; counts who waits before it."""

    def __init__(self) -> None:
        self._is_open = True
        self._waiting = 0
        self._changed = threading.Condition()

    @property
    def waiting(self) -> int:
        """How many are held now."""
        return self._waiting

    def set_held(self, is_held: bool) -> None:
        """Close the gate, or open it and let everyone go."""
        with self._changed:
            self._is_open = not is_held
            self._changed.notify_all()

    def pass_through(self) -> None:
        """Go on at once, or wait while the gate is closed."""
        with self._changed:
            self._waiting += 1
            while not self._is_open:
                self._changed.wait()
            self._waiting -= 1
