"""Cancels the running attempt when the caller disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempt_call import AttemptCall


class CallerWatch:
    """Tracks whether the caller has disconnected, and the attempt to cancel in that case."""

    def __init__(self) -> None:
        self._call: AttemptCall | None = None
        self.has_left = False

    def note_left(self) -> None:
        """Record that the caller has disconnected, and cancel the running attempt.

        Runs on the thread of the event loop.
        """
        self.has_left = True
        if self._call is not None:
            self._call.cancel()

    def note_start(self, call: AttemptCall) -> None:
        """Record the attempt that starts; cancel it if the caller has already disconnected."""
        self._call = call
        if self.has_left:
            call.cancel()
