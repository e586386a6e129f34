from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from primroseferry_transport.answer_buffers import AnswerBuffers

MAX_BYTES = 100


def test_largest_answer_is_stopped_and_small_ones_go_on() -> None:
    buffers = AnswerBuffers[str](MAX_BYTES)

    assert buffers.resize("flood", 60) is None
    assert buffers.resize("sound", 10) is None
    assert buffers.resize("flood", 95) == "flood"
    assert buffers.total_bytes == 10


def test_kept_answer_is_not_stopped_and_leaves_less_for_calls() -> None:
    buffers = AnswerBuffers[str](MAX_BYTES)

    buffers.resize("answered", 80)
    buffers.keep("answered")
    assert buffers.resize("call", 30) == "call"
    buffers.release("answered")
    assert buffers.total_bytes == 0
    assert buffers.resize("call", 30) is None


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 60))))
def test_sum_stays_within_the_limit_and_ends_at_zero(steps: list[tuple[int, int]]) -> None:
    buffers = AnswerBuffers[int](MAX_BYTES)
    for call, size_bytes in steps:
        buffers.resize(call, size_bytes)
        assert 0 <= buffers.total_bytes <= MAX_BYTES
    for call in range(6):
        buffers.release(call)
    assert buffers.total_bytes == 0
