from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from primroseferry_relay.attempts.event_splitter import EventSplitter

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 8))


@given(st.lists(st.integers(1, len(EVENTS) - 1), max_size=8))
def test_events_are_the_same_however_the_bytes_are_split(cuts: list[int]) -> None:
    splitter = EventSplitter()
    data = b""
    count = 0
    last = ""
    edges = [0, *sorted(cuts), len(EVENTS)]
    for start, end in zip(edges, edges[1:], strict=False):
        complete = splitter.feed(EVENTS[start:end])
        if complete is not None:
            data += complete.data
            count += complete.count
            last = complete.last_event_id or last
    assert (data, count, last) == (EVENTS, 7, "7")
    assert splitter.incomplete_event == b""


def test_incomplete_event_stays_in_the_buffer() -> None:
    splitter = EventSplitter()
    complete = splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda")
    assert complete is not None
    assert complete.last_event_id == "1"
    assert splitter.incomplete_event == b"id: 2\r\nda"
