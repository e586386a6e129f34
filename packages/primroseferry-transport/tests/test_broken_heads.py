"""Answers whose head is broken are no answers, whatever libcurl makes of them.

Guards against broken heads that reach a client as a success, with a body that is not the server's,
and against bytes behind such a head that are read as the answer to the next request.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.broken_heads import BLANK_STARTS
from primroseferry_standins.broken_heads import INVALID_CODINGS
from primroseferry_standins.broken_heads import INVALID_LENGTHS
from primroseferry_standins.broken_heads import INVALID_STATUS_LINES
from primroseferry_standins.broken_heads import INVALID_TRAILERS
from primroseferry_standins.broken_heads import INVALID_VALUES
from primroseferry_standins.broken_heads import NO_FIELDS
from primroseferry_standins.raw_answer_server import RawAnswerServer
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_transport.calls import HttpFailure
    from primroseferry_transport.calls import HttpReply
    from primroseferry_transport.curl_loop import CurlLoop

BODY = b"0123456789"
LENGTH = b"Content-Length: 10\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"a\r\n0123456789\r\n0\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
SECOND = OK + b"Content-Length: 6\r\n\r\nsecond"
CALLS = [
    HttpCall("GET", ""),
    HttpCall("POST", "", body=b"x"),
    HttpCall("POST", "", body=b"x", is_repeatable=False),
]


@pytest.fixture(name="serve")
def _serve() -> Iterator[Callable[..., RawAnswerServer]]:
    """Yield a function that starts a ``RawAnswerServer``; all are closed after the test."""
    servers: list[RawAnswerServer] = []

    def serve(*pieces: bytes, closes: bool = False) -> RawAnswerServer:
        servers.append(RawAnswerServer(*pieces, closes=closes))
        return servers[-1]

    yield serve
    for server in servers:
        server.close()


def failures(loop: CurlLoop, server: RawAnswerServer) -> Iterator[HttpFailure]:
    """Make each kind of call, check that nothing was passed on, and yield the failures."""
    passed_on: list[bytes] = []

    def keep(chunk: bytes) -> bool:
        passed_on.append(chunk)
        return True

    for call in CALLS:
        for on_chunk in (None, keep):
            call = replace(call, url=server.url, on_chunk=on_chunk, timeout_ms=3_000)
            yield loop.call(call).unwrap_err()
    assert passed_on == []


def assert_invalid(loop: CurlLoop, server: RawAnswerServer) -> None:
    """Check that each call ends with ``INVALID_ANSWER`` and its connection is not used again."""
    for failure in failures(loop, server):
        assert failure.stage is FailureStage.INVALID_ANSWER, failure
    server.pieces = (OK + b"Content-Length: 5\r\n\r\nsound",)
    connections = server.connections
    assert loop.call(HttpCall("GET", server.url)).unwrap().body == b"sound"
    assert server.connections == connections + 1


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("line", NO_FIELDS)
def test_line_that_is_no_field_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes, closes: bool
) -> None:
    head = line + b"\r\n" + LENGTH if closes else LENGTH + line + b"\r\n"
    assert_invalid(loop, serve(OK + head + b"\r\n" + BODY + SECOND, closes=closes))


@pytest.mark.parametrize("line", BLANK_STARTS)
def test_blanks_straight_after_the_status_line_make_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes
) -> None:
    assert_invalid(loop, serve(OK + line + b"\r\n" + LENGTH + b"\r\n" + BODY + SECOND))


def test_head_that_ends_with_a_lone_carriage_return_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    assert_invalid(loop, serve(OK + LENGTH + b"\r\r\n" + BODY + SECOND))


def test_line_that_is_no_field_in_an_interim_answer_makes_the_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\n"
    assert_invalid(loop, serve(interim + OK + LENGTH + b"\r\n" + BODY))


@pytest.mark.parametrize("line", [b"Content Length: 5", b"Content-Length : 5", b"X-A\x01: a"])
def test_broken_name_makes_an_answer_without_a_length_invalid_at_once(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes
) -> None:
    """Without the check, the body ends with the connection, or the call with its deadline."""
    assert_invalid(loop, serve(OK + line + b"\r\n\r\n" + BODY))


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("line", INVALID_VALUES)
def test_control_byte_in_a_value_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes, closes: bool
) -> None:
    head = line + b"\r\n" + LENGTH if closes else LENGTH + line + b"\r\n"
    assert_invalid(loop, serve(OK + head + b"\r\n" + BODY + SECOND, closes=closes))


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("lines", INVALID_LENGTHS)
def test_invalid_length_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], lines: bytes, closes: bool
) -> None:
    assert_invalid(loop, serve(OK + lines + b"\r\n\r\n" + BODY + SECOND, closes=closes))


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("lines", INVALID_CODINGS)
def test_invalid_coding_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], lines: bytes, closes: bool
) -> None:
    body = CHUNKS + b"\r\n"
    assert_invalid(loop, serve(OK + lines + b"\r\n\r\n" + body + SECOND, closes=closes))


def test_chunks_make_an_answer_of_http_1_0_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    head = OK.replace(b"1.1", b"1.0") + CHUNKED
    assert_invalid(loop, serve(head + b"\r\n" + CHUNKS + b"\r\n" + SECOND, closes=True))


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_invalid_status_line_makes_an_answer_invalid(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes
) -> None:
    assert_invalid(loop, serve(line + b"\r\n" + LENGTH + b"\r\n" + BODY + SECOND))


HEAD = OK + b"X-A: a\r\n" + b"Content-Length: 0\r\n" + b"\r\n"


@pytest.mark.parametrize("size", range(1, len(HEAD)))
def test_head_that_breaks_off_is_a_lost_connection(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], size: int
) -> None:
    for failure in failures(loop, serve(HEAD[:size], closes=True)):
        assert failure.stage is FailureStage.CONNECTION_LOST, failure


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("line", INVALID_TRAILERS)
def test_line_that_is_no_trailer_makes_an_answer_incomplete(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes, closes: bool
) -> None:
    """The body is complete, but where the answer ends is not known."""
    answer = OK + CHUNKED + b"\r\n" + CHUNKS + b"X-B: b\r\n" + line + b"\r\n\r\n"
    server = serve(answer + SECOND, closes=closes)
    for call in CALLS:
        failure = loop.call(replace(call, url=server.url, timeout_ms=3_000)).unwrap_err()
        assert failure.stage is FailureStage.INVALID_ANSWER, failure
    assert server.connections == len(CALLS)


def answer_with(head: bytes, body: bytes = BODY) -> bytes:
    return OK + head + b"\r\n" + body


def replies(loop: CurlLoop, server: RawAnswerServer) -> Iterator[HttpReply]:
    for call in CALLS:
        yield loop.call(replace(call, url=server.url, timeout_ms=3_000)).unwrap()


@pytest.mark.parametrize(
    ("line", "value"),
    [
        (b"X-A:a", "a"),
        (b"X-A: \t a \t ", "a"),
        (b"X-A:", ""),
        (b"X-A: \t ", ""),
        (b"X-A: a b\tc:d", "a b\tc:d"),
        (b"X-A: caf\xc3\xa9 \xff", "caf\xc3\xa9 \xff"),
        (b"X-A: \xa0a\x85", "\xa0a\x85"),
        (b"X-A: \xc3\xa0", "\xc3\xa0"),
        (b'X-A: "a\\"(b),{c}@', '"a\\"(b),{c}@'),
        (b"X-A: a\r\n b", "a b"),
        (b"X-A: a\r\n\t b: c", "a b: c"),
        (b"X-A: a\r\n  ", "a"),
        (b"X-A: " + b"a" * 9_000, "a" * 9_000),
    ],
)
@pytest.mark.parametrize("is_first", [False, True])
def test_unusual_value_is_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes, value: str, is_first: bool
) -> None:
    head = line + b"\r\n" + LENGTH if is_first else LENGTH + line + b"\r\n"
    for reply in replies(loop, serve(answer_with(head))):
        assert reply.body == BODY
        assert [line.value for line in reply.header_lines if line.name == "X-A"] == [value]


def test_each_byte_of_a_token_is_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    name = "!#$%&'*+-.^_`|~09azAZ"
    for reply in replies(loop, serve(answer_with(LENGTH + name.encode() + b": a\r\n"))):
        assert reply.header_lines[-1].name == name
        assert reply.body == BODY


def test_lines_that_end_without_a_carriage_return_are_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    answer = answer_with(b"X-A: a\r\n" + LENGTH).replace(b"\r\n", b"\n")
    for reply in replies(loop, serve(answer)):
        assert reply.headers["x-a"] == "a"
        assert reply.body == BODY


@pytest.mark.parametrize("length", [b"10", b"\t10 \t", b"00010", b"0" * 40 + b"10"])
@pytest.mark.parametrize("name", [b"Content-Length", b"content-length", b"CONTENT-LENGTH"])
def test_unusual_length_is_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], name: bytes, length: bytes
) -> None:
    server = serve(answer_with(name + b":" + length + b"\r\n"))
    for reply in replies(loop, server):
        assert reply.body == BODY
    assert server.connections == 2  # The call that must not be repeated has one of its own.


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" \tCHUNKED ", b", chunked,"])
def test_unusual_coding_is_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], coding: bytes
) -> None:
    head = b"Transfer-Encoding:" + coding + b"\r\n"
    for reply in replies(loop, serve(answer_with(head, CHUNKS + b"\r\n"))):
        assert reply.body == BODY


@pytest.mark.parametrize(
    "line",
    [b"HTTP/1.0 200 OK", b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.1 200 Tr\xc3\xa8s \t bien"],
)
def test_unusual_status_line_is_passed_on(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], line: bytes
) -> None:
    for reply in replies(loop, serve(answer_with(LENGTH).replace(OK, line + b"\r\n"))):
        assert reply.status == 200
        assert reply.reason == line[13:].decode("latin-1")
        assert reply.body == BODY


@pytest.mark.parametrize("trailers", [b"X-B:\r\n", b"X-A: \xff\r\nContent-Length: 3\r\n"])
def test_trailers_are_passed_over(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer], trailers: bytes
) -> None:
    for reply in replies(loop, serve(answer_with(CHUNKED, CHUNKS + trailers + b"\r\n"))):
        assert reply.body == BODY
        assert "content-length" not in reply.headers


def test_answer_without_a_body_may_name_a_length(
    loop: CurlLoop, serve: Callable[..., RawAnswerServer]
) -> None:
    for status in (b"204 No Content", b"304 Not Modified"):
        answer = answer_with(LENGTH, b"").replace(b"200 OK", status)
        for reply in replies(loop, serve(answer)):
            assert reply.body == b""
