from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from primroseferry_relay.attempts.event_splitter import EventSplitter

EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 8))


@given(st.lists(st.integers(1, len(EVENTS) - 1), max_size=8))
def test_any_cut_of_the_bytes_gives_the_same_events(cuts: list[int]) -> None:
    splitter = EventSplitter()
    data = b""
    count = 0
    last = ""
    edges = [0, *sorted(cuts), len(EVENTS)]
    for start, end in zip(edges, edges[1:], strict=False):
        whole = splitter.feed(EVENTS[start:end])
        if whole is not None:
            data += whole.data
            count += whole.count
            last = whole.last_event_id or last
    assert (data, count, last) == (EVENTS, 7, "7")
    assert splitter.rest == b""


def test_partial_event_stays_in_the_rest() -> None:
    splitter = EventSplitter()
    whole = splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda")
    assert whole is not None
    assert whole.last_event_id == "1"
    assert splitter.rest == b"id: 2\r\nda"
