from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from primroseferry_gateway.answer_stream import DONE_EVENT
from primroseferry_gateway.answer_stream import AnswerStream
from primroseferry_gateway.sinks import CollectSink


class RecordingSink:
    def __init__(self, capacity_bytes: int = 10**9) -> None:
        self.data = b""
        self._capacity_bytes = capacity_bytes

    def write(self, events: bytes) -> bool:
        if len(self.data) + len(events) > self._capacity_bytes:
            return False
        self.data += events
        return True


def event(number: int) -> bytes:
    return b'id: %d\ndata: {"choices":[{"delta":{"content":"w%d "}}]}\n\n' % (number, number)


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


@settings(derandomize=True, deadline=None)
@given(cuts=lists(integers(0, 2_000), max_size=30), count=integers(1, 30))
def test_answer_is_complete_for_any_chunk_boundaries(cuts: list[int], count: int) -> None:
    sink = RecordingSink()
    stream = AnswerStream(sink)
    data = events(1, count) + DONE_EVENT
    edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        assert stream.feed(data[start:end])

    assert stream.is_done
    assert sink.data == events(1, count)
    assert stream.delivered == count
    assert stream.checksum == f"{zlib.crc32(sink.data):08x}"


def test_resumed_answer_has_no_duplicate_or_missing_event() -> None:
    sink = RecordingSink()
    stream = AnswerStream(sink)
    stream.feed(events(1, 3) + event(4)[:10])
    stream.start_attempt()
    stream.feed(events(4, 6) + DONE_EVENT)

    assert stream.is_done
    assert sink.data == events(1, 6)


def test_engine_that_starts_over_adds_only_new_events() -> None:
    sink = RecordingSink()
    stream = AnswerStream(sink)
    stream.feed(events(1, 3))
    stream.start_attempt()
    stream.feed(events(1, 5) + DONE_EVENT)

    assert sink.data == events(1, 5)


@pytest.mark.parametrize(
    "data", [events(2, 3), event(1) + event(3), b"data: {}\n\n", b"id: x\ndata: {}\n\n"]
)
def test_event_out_of_order_ends_the_attempt(data: bytes) -> None:
    stream = AnswerStream(RecordingSink())

    assert not stream.feed(data + DONE_EVENT)
    assert stream.error is not None
    assert not stream.is_done


def test_gap_inside_one_chunk_is_detected() -> None:
    stream = AnswerStream(RecordingSink())

    assert not stream.feed(event(1) + event(1) + event(4))
    assert stream.error is not None
    assert stream.last_event == 1


def test_oversized_event_ends_the_attempt() -> None:
    stream = AnswerStream(RecordingSink())

    assert not stream.feed(b"id: 1\ndata: " + b"x" * (1024 * 1024))


def test_disconnected_caller_ends_the_attempt() -> None:
    stream = AnswerStream(RecordingSink(capacity_bytes=100))

    assert not stream.feed(events(1, 10))
    assert stream.is_caller_disconnected


def test_collected_answer_is_the_text_of_its_events() -> None:
    sink = CollectSink()
    stream = AnswerStream(sink)
    stream.feed(events(1, 3) + DONE_EVENT)

    assert sink.text_and_finish_reason() == ("w1 w2 w3 ", "stop")
