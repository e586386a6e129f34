"""Chunked answers to calls with a body, whose chunks the loop decodes itself.

Guards against answers that lack their end, against broken ones that look complete, and against
connections that are reused although bytes of an earlier answer may be left in them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.raw_answer_server import RawAnswerServer
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
# More than the kernel buffers of a connection hold while the server does not read.
LONG_BODY = b"x" * 8_000_000


def post(loop: CurlLoop, server: RawAnswerServer, body: bytes = b"x") -> tuple[bytes, bool]:
    """Call the server and return the body that arrived and whether it counts as complete."""
    received: list[bytes] = []

    def on_chunk(chunk: bytes) -> bool:
        received.append(chunk)
        return True

    result = loop.call(HttpCall("POST", server.url, body=body, on_chunk=on_chunk))
    return b"".join(received), result.is_ok()


@pytest.mark.parametrize("is_collected", [False, True])
@pytest.mark.parametrize("status", [b"200 OK", b"500 Failed"])
def test_answer_to_a_request_that_is_not_read_ends_at_its_last_chunk(
    loop: CurlLoop, status: bytes, is_collected: bool
) -> None:
    server = RawAnswerServer(HEAD.replace(b"200 OK", status) + CHUNKS, reads_on=False)
    received = bytearray()

    def on_chunk(chunk: bytes) -> bool:
        received.extend(chunk)
        return True

    call = HttpCall(
        "POST",
        server.url,
        body=LONG_BODY,
        on_chunk=None if is_collected else on_chunk,
        timeout_ms=3_000,
    )
    reply = loop.call(call).unwrap()
    assert reply.status == int(status[:3])
    assert bytes(received) + reply.body == b"abcde"


def test_connection_is_not_reused_while_its_request_is_not_sent(loop: CurlLoop) -> None:
    server = RawAnswerServer(HEAD + CHUNKS, reads_on=False)
    for count in range(1, 4):
        assert post(loop, server, LONG_BODY) == (b"abcde", True)
        assert server.connections == count


def test_connection_of_a_complete_answer_is_reused(loop: CurlLoop) -> None:
    server = RawAnswerServer(HEAD + CHUNKS)
    for _ in range(3):
        assert post(loop, server) == (b"abcde", True)
    assert server.connections == 1


def test_connection_with_bytes_after_the_last_chunk_is_not_reused(loop: CurlLoop) -> None:
    """The rest of the second answer would otherwise precede that of the next request."""
    server = RawAnswerServer(HEAD + CHUNKS + b"HTTP/1.1 200 OK\r\nContent-Le")
    for count in range(1, 4):
        assert post(loop, server) == (b"abcde", True)
        assert server.connections == count


@pytest.mark.parametrize("body", [b"x", LONG_BODY])
@pytest.mark.parametrize("length", range(len(CHUNKS)))
def test_answer_that_breaks_off_is_not_complete(loop: CurlLoop, length: int, body: bytes) -> None:
    server = RawAnswerServer(HEAD + CHUNKS[:length], closes=True)
    received, is_complete = post(loop, server, body)
    assert not is_complete
    assert b"abcde".startswith(received)


@pytest.mark.parametrize("line", [b"zz\r\n", b"3z\r\n", b"\r\n", b"4;" + b"x" * 20_000 + b"\r\n"])
def test_answer_with_an_invalid_chunk_is_not_complete(loop: CurlLoop, line: bytes) -> None:
    server = RawAnswerServer(HEAD + b"3\r\nabc\r\n" + line + b"abc\r\n0\r\n\r\n")
    received, is_complete = post(loop, server)
    assert received == b"abc"
    assert not is_complete


@pytest.mark.parametrize("coding", [b"gzip", b"gzip, chunked", b"chunked, gzip", b"chunked;q=1"])
def test_answer_with_an_unknown_coding_is_not_passed_on(loop: CurlLoop, coding: bytes) -> None:
    server = RawAnswerServer(HEAD.replace(b"chunked", coding) + CHUNKS, closes=True)
    assert post(loop, server) == (b"", False)


@pytest.mark.parametrize("coding", [b"Chunked", b"identity, chunked", b"chunked,"])
def test_chunked_coding_is_recognized_in_each_spelling(loop: CurlLoop, coding: bytes) -> None:
    server = RawAnswerServer(HEAD.replace(b"chunked", coding) + CHUNKS)
    assert post(loop, server) == (b"abcde", True)


def test_framing_alone_does_not_count_as_bytes_of_the_answer(loop: CurlLoop) -> None:
    """An endless chunk extension would otherwise keep a call until its whole time limit."""
    server = RawAnswerServer(HEAD + b"3\r\nabc\r\n2;", *[b"x"] * 60, pause_s=0.05)
    call = HttpCall("POST", server.url, body=b"x", idle_timeout_ms=400, timeout_ms=2_500)
    failure = loop.call(call).unwrap_err()
    assert failure.stage is FailureStage.TIMED_OUT
    assert failure.reason == "no byte for 400 ms"
