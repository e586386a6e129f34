"""Cancels the running attempt when the caller disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempt_call import AttemptCall


class CallerWatch:
    """Tracks whether the caller has disconnected, and the attempt to cancel in that case."""

    def __init__(self) -> None:
        self._call: AttemptCall | None = None
        self.is_disconnected = False

    def note_disconnected(self) -> None:
        """Record that the caller has disconnected, and cancel the running attempt.

        Runs on the thread of the event loop.
        """
        self.is_disconnected = True
        if self._call is not None:
            self._call.cancel()

    def set_current_attempt(self, call: AttemptCall) -> None:
        """Record the attempt that starts; cancel it if the caller has already disconnected."""
        self._call = call
        if self.is_disconnected:
            call.cancel()
