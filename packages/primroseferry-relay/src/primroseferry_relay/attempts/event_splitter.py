"""Splits a stream at event boundaries, so that no incomplete event is forwarded."""

from __future__ import annotations

from dataclasses import dataclass

# An answer with more bytes than this without the end of an event is not an event stream.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_LONGEST_TERMINATOR_BYTES = max(map(len, _EVENT_TERMINATORS))


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """One or more complete events as bytes.

    ``count`` is their number. ``last_event_id`` is the last id among them, ``first_event_id`` that
    of the first of them; both are empty for none.
    """

    data: bytes
    count: int
    last_event_id: str
    first_event_id: str


class EventSplitter:
    r"""Buffers received bytes and returns the complete events among them.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    CompleteEvents(data=b'id: 1\ndata: a\n\n', count=1, last_event_id='1', first_event_id='1')
    >>> splitter.incomplete_event
    b'id: 2'
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """The received bytes of an event that is not complete yet."""
        return bytes(self._pending)

    @property
    def incomplete_bytes(self) -> int:
        """The number of received bytes of an event that is not complete yet."""
        return len(self._pending)

    @property
    def is_event_too_long(self) -> bool:
        """Whether the incomplete event is larger than ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Add received bytes; return the events that they complete, ``None`` if there are none."""
        search_start = max(0, len(self._pending) - _LONGEST_TERMINATOR_BYTES + 1)
        self._pending += data
        end = max(self._end_after(terminator, search_start) for terminator in _EVENT_TERMINATORS)
        if end <= 0:
            return None
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        return parse_events(complete)

    def _end_after(self, terminator: bytes, start: int) -> int:
        at = self._pending.rfind(terminator, start)
        return -1 if at < 0 else at + len(terminator)


def count_events(complete: bytes) -> int:
    """Return the number of complete events, at least 1."""
    return max(1, sum(complete.count(terminator) for terminator in _EVENT_TERMINATORS))


def parse_events(complete: bytes) -> CompleteEvents:
    """Return complete events, or the last one of a stream without its end, with their ids."""
    first_id = last_id = ""
    count = 0
    is_inside = False
    for line in complete.splitlines():
        if not line:
            count += is_inside
            is_inside = False
            continue
        is_inside = True
        name, _, value = line.partition(b":")
        if name == b"id":
            last_id = value.strip().decode("latin-1")
            if count == 0:
                first_id = last_id
    return CompleteEvents(complete, count, last_id, first_id)
