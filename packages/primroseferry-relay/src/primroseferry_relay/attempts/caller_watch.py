"""Stopping the attempt under way when its caller leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .attempt_call import AttemptCall


class CallerWatch:
    """Whether the caller has left, and the attempt that is to be stopped then."""

    def __init__(self) -> None:
        self._call: AttemptCall | None = None
        self.has_left = False

    def note_left(self) -> None:
        """Note that the caller closed its connection; called on the loop's thread."""
        self.has_left = True
        if self._call is not None:
            self._call.cancel()

    def note_start(self, call: AttemptCall) -> None:
        """Note the attempt that starts now."""
        self._call = call
        if self.has_left:
            call.cancel()
