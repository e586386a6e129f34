"""Lines of heads and trailers as any version of libcurl, or another library, may pass them on."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from primroseferry_standins.broken_heads import BLANK_STARTS
from primroseferry_standins.broken_heads import INVALID_CODINGS
from primroseferry_standins.broken_heads import INVALID_LENGTHS
from primroseferry_standins.broken_heads import INVALID_STATUS_LINES
from primroseferry_standins.broken_heads import INVALID_TRAILERS
from primroseferry_standins.broken_heads import INVALID_VALUES
from primroseferry_standins.broken_heads import NO_FIELDS
from primroseferry_transport.calls import Header
from primroseferry_transport.chunk_decoder import ChunkDecoder
from primroseferry_transport.head_decoder import HeadDecoder
from primroseferry_transport.head_decoder import InvalidAnswerError

OK = b"HTTP/1.1 200 OK\r\n"
FIELD = b"X-B: b\r\n"
EMPTY = b"\r\n"
LONE_CARRIAGE_RETURN = b"\r\r\n"
FOLDED = b" folded\r\n"


def decode(*lines: bytes) -> HeadDecoder:
    decoder = HeadDecoder()
    for line in lines:
        decoder.decode(line)
    return decoder


@pytest.mark.parametrize("line", [*NO_FIELDS, *INVALID_VALUES, *BLANK_STARTS])
def test_invalid_field_is_refused(line: bytes) -> None:
    for before in ([], [FIELD]):
        with pytest.raises(InvalidAnswerError):
            decode(OK, *before, line + b"\r\n")


@pytest.mark.parametrize("line", [LONE_CARRIAGE_RETURN, FOLDED])
def test_line_that_neither_is_a_field_nor_empty_is_refused(line: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode(OK, FIELD, line)


@pytest.mark.parametrize("lines", [*INVALID_LENGTHS, *INVALID_CODINGS])
def test_invalid_framing_is_refused(lines: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode(OK, *(line + b"\r\n" for line in lines.split(b"\r\n")), FIELD, EMPTY)


@pytest.mark.parametrize("line", [*INVALID_STATUS_LINES, b"", b"X-A: a"])
def test_invalid_status_line_is_refused(line: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode(line + b"\r\n")


@pytest.mark.parametrize("line", [*INVALID_TRAILERS, FOLDED.strip()])
def test_invalid_trailer_is_refused(line: bytes) -> None:
    with pytest.raises(InvalidAnswerError):
        decode(OK, EMPTY, FIELD, line + b"\r\n")
    decoder = ChunkDecoder()
    assert decoder.decode(b"1\r\na\r\n0\r\n" + FIELD + line + b"\r\n\r\n" + OK) == [b"a"]
    assert decoder.is_invalid
    assert not decoder.is_complete
    assert decoder.decode(EMPTY) == []


def test_status_line_within_a_head_is_refused() -> None:
    with pytest.raises(InvalidAnswerError):
        decode(OK, FIELD, OK)


def test_head_ends_with_its_empty_line_only() -> None:
    decoder = decode(b"HTTP/1.1 103 Early Hints\r\n", b"Link: </a>\r\n", EMPTY)
    assert not decoder.is_complete
    assert not decoder.decode(OK)
    assert not decoder.decode(b"X-A: a")
    assert not decoder.decode(b"\r")
    assert decoder.header_lines == []
    assert decoder.decode(EMPTY)
    assert decoder.is_complete


@settings(derandomize=True, deadline=None)
@given(
    st.binary(min_size=1, max_size=24)
    | st.text("aZ-:; \t\x01\x7f\xa0", min_size=1).map(lambda text: text.encode("latin-1"))
)
def test_field_is_passed_on_as_received_or_refused(line: bytes) -> None:
    decoder = decode(OK)
    try:
        decoder.decode(line + b"\r\n")
    except InvalidAnswerError:
        return
    name, _, value = line.partition(b":")
    assert decoder.header_lines == [
        Header(name.decode("latin-1"), value.strip(b" \t").decode("latin-1"))
    ]
    assert not set(line) & {*range(9), *range(10, 32), 127}
    assert not set(name) & set(b" \t")


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=24) | st.text("0123456789 \t+,", max_size=24).map(str.encode))
def test_length_is_that_of_the_digits_or_refused(value: bytes) -> None:
    try:
        decoder = decode(OK, b"Content-Length:" + value + b"\r\n", EMPTY)
    except InvalidAnswerError:
        return
    digits = value.strip(b" \t")
    assert set(digits) <= set(b"0123456789")
    assert decoder.length_bytes == int(digits)
