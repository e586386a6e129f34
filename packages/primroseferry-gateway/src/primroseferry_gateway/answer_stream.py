"""A streamed answer from engines to one caller: complete, in order and without duplicates.

Engines number their events. The stream delivers only complete events, each exactly once, and keeps
a count and a checksum that the caller can compare. When the stream of an engine breaks, the next
engine resumes after the last delivered event.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.errors import PrimroseferryError

if TYPE_CHECKING:
    from collections.abc import Callable

DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class StreamError(PrimroseferryError):
    """An engine sent something that cannot be part of the answer."""


class AnswerSink(Protocol):
    """Receives the events of an answer."""

    def write(self, events: bytes) -> bool:
        """Accept complete events; ``False`` after the caller has disconnected."""


class AnswerStream:
    """Checks and counts the events of one answer across any number of attempts.

    ``first_event`` is the number of the first event to deliver, above 1 in a resumed answer.
    """

    def __init__(self, sink: AnswerSink, first_event: int = 1) -> None:
        self._sink = sink
        self._first_event = first_event
        self._next_event = first_event
        self._remainder = b""
        self._crc32 = 0
        self.is_done = False
        self.is_caller_disconnected = False
        self.error: StreamError | None = None
        self._on_progress: Callable[[], None] | None = None

    @property
    def last_event(self) -> int:
        """The number of the last delivered event, 0 before the first."""
        return self._next_event - 1

    @property
    def delivered(self) -> int:
        """The number of events that this stream has delivered."""
        return self._next_event - self._first_event

    @property
    def checksum(self) -> str:
        """The CRC-32 of all delivered bytes, as 8 hexadecimal digits."""
        return f"{self._crc32:08x}"

    def start_attempt(self, on_progress: Callable[[], None] | None = None) -> None:
        """Discard the incomplete event of the previous attempt.

        ``on_progress`` is called once, with the first event that this attempt adds.
        """
        self._on_progress = on_progress
        self._remainder = b""
        self.error = None

    def feed(self, chunk: bytes) -> bool:
        """Process bytes from an engine; ``False`` ends the attempt."""
        data = self._remainder + chunk if self._remainder else chunk
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._remainder = data
            if len(data) > MAX_EVENT_BYTES:
                return self._fail("an event exceeds 1 MiB")
            return True
        self._remainder = data[end:]
        events = data[:end]
        if events.endswith(DONE_EVENT):
            self.is_done = True
            events = events[: -len(DONE_EVENT)]
            if not events:
                return True
        count = events.count(EVENT_END)
        if not self._is_numbered(events, count):
            return self._feed_one_by_one(events)
        return self._deliver(events, count)

    def _is_numbered(self, events: bytes, count: int) -> bool:
        """Whether the first and last of ``count`` events have the expected numbers."""
        if not events.startswith(b"id: %d\n" % self._next_event):
            return False
        if count == 1:
            return True
        last_start = events.rfind(EVENT_END, 0, -len(EVENT_END)) + len(EVENT_END)
        return events.startswith(b"id: %d\n" % (self._next_event + count - 1), last_start)

    def _feed_one_by_one(self, events: bytes) -> bool:
        """Skip events that were already delivered; fail on a gap or a missing number."""
        for event in events.split(EVENT_END)[:-1]:
            number = _event_number(event)
            if number is None or number > self._next_event:
                self.is_done = False
                return self._fail(f"expected event {self._next_event}, got {number}")
            if number == self._next_event and not self._deliver(event + EVENT_END, 1):
                return False
        return True

    def _deliver(self, events: bytes, count: int) -> bool:
        self._crc32 = zlib.crc32(events, self._crc32)
        self._next_event += count
        if self._on_progress is not None:
            self._on_progress()
            self._on_progress = None
        if not self._sink.write(events):
            self.is_caller_disconnected = True
            return False
        return True

    def _fail(self, reason: str) -> bool:
        self.error = StreamError(reason)
        return False


def _event_number(event: bytes) -> int | None:
    first_line = event.partition(b"\n")[0]
    if not first_line.startswith(b"id: "):
        return None
    try:
        return int(first_line[4:])
    except ValueError:
        return None
