"""The longest pause between the events of one stream."""

from __future__ import annotations

import time

from .event_splitter import count_events


class StreamPauses:
    """Measures the pauses of one stream as its events arrive."""

    def __init__(self) -> None:
        self.events = 0
        self.longest_ms = 0.0
        self._last_s: float | None = None

    def note_events(self, data: bytes) -> None:
        """Record complete events that arrived just now."""
        events = count_events(data)
        if events == 0:
            return
        now_s = time.monotonic()
        if self._last_s is not None:
            self.longest_ms = max(self.longest_ms, (now_s - self._last_s) * 1000)
        self._last_s = now_s
        self.events += events

    def skip_next(self) -> None:
        """Leave out the pause before the next event: the endpoint may wait for the caller."""
        self._last_s = None
