"""Cuts a stream into whole events, so that none is passed on in part."""

from __future__ import annotations

from dataclasses import dataclass

# An endpoint that sends more than this without ending an event sends no events.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_LONGEST_END = max(map(len, _EVENT_ENDS))


@dataclass(frozen=True, slots=True)
class WholeEvents:
    """Bytes of some whole events, how many, and the id of the last that has one."""

    data: bytes
    count: int
    last_event_id: str


class EventSplitter:
    r"""Takes bytes as they arrive and gives back the whole events among them.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2")
    WholeEvents(data=b'id: 1\ndata: a\n\n', count=1, last_event_id='1')
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not whole yet."""
        return bytes(self._pending)

    @property
    def is_flooded(self) -> bool:
        """Whether more bytes came without the end of an event than any event may have."""
        return len(self._pending) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> WholeEvents | None:
        """Take in bytes; return the events that are whole now, ``None`` where there are none."""
        searched = max(0, len(self._pending) - _LONGEST_END + 1)
        self._pending += data
        end = max(self._end_of(mark, searched) for mark in _EVENT_ENDS)
        if end <= 0:
            return None
        whole = bytes(self._pending[:end])
        del self._pending[:end]
        count, last_id = _describe(whole)
        return WholeEvents(whole, count, last_id)

    def _end_of(self, mark: bytes, start: int) -> int:
        at = self._pending.rfind(mark, start)
        return -1 if at < 0 else at + len(mark)


def _describe(whole: bytes) -> tuple[int, str]:
    last_id = ""
    count = 0
    is_inside = False
    for line in whole.splitlines():
        if not line:
            count += is_inside
            is_inside = False
            continue
        is_inside = True
        name, _, value = line.partition(b":")
        if name == b"id":
            last_id = value.strip().decode("latin-1")
    return count, last_id
