"""Cancels the running attempt when the caller disconnects or the gateway stops."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from .attempt_call import AttemptCall


class CallerWatch:
    """Tracks whether a request is to end early, and the attempt to cancel in that case.

    ``is_given_up`` is set when the request must be answered at once, since the process will end.
    """

    def __init__(self) -> None:
        self._call: AttemptCall | None = None
        self._calls: list[AttemptCall] = []
        self.is_disconnected = False
        self.is_given_up = False

    def note_disconnected(self) -> None:
        """Record that the caller has disconnected, and cancel the running attempt.

        Runs on the thread of the event loop.
        """
        self.is_disconnected = True
        self._cancel()

    def give_up(self) -> None:
        """Record that the request must be answered at once, and cancel the running attempt."""
        self.is_given_up = True
        self._cancel()

    def set_current_attempt(self, call: AttemptCall) -> None:
        """Record the attempt that starts; cancel it if the request is to end already."""
        self._call = call
        self._calls.append(call)
        if self.is_disconnected or self.is_given_up:
            call.cancel()

    def offer_answers(self, give_up: Callable[[], bool]) -> None:
        """Let ``give_up`` end the sending of an answer when others need its memory."""
        for call in self._calls:
            call.offer(give_up)

    @contextlib.contextmanager
    def releasing_answers(self) -> Iterator[None]:
        """Count the answers of all attempts as buffered until the end of the ``with`` block."""
        try:
            yield
        finally:
            for call in self._calls:
                call.release()

    def _cancel(self) -> None:
        if self._call is not None:
            self._call.cancel()
