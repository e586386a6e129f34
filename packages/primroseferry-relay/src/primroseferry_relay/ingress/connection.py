"""Serves one caller's connection: its requests in sequence, with blocking calls."""

from __future__ import annotations

import contextlib
import re
import socket
import time
from enum import Enum
from typing import TYPE_CHECKING

import h11
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import Header

from ..messages import RelayRequest
from ..messages import problem_answer
from .answer_channel import MIN_SLOW_S
from .answer_channel import AnswerChannel
from .answer_channel import ChannelState
from .client_drops import DropReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..routes.service import CallerLimits
    from .listener import Listener

READ_BYTES = 65_536
# A read while no body is due. What a client sends ahead of its answers stays in the kernel's buffer
# beyond one such read.
HEAD_READ_BYTES = 16_384
# A head with more lines is parsed in turn and counts towards the memory for requests, with this
# many bytes for each line: its parsed forms take 600 to 700 bytes for a field of three bytes.
MANY_HEAD_LINES = 128
HEAD_LINE_BYTES = 700
# How often a thread that waits for its turn checks whether the connection is to be closed.
TURN_CHECK_S = 0.1
# After a rejected request, the rest of its input is read for this long. Closing with unread input
# would reset the connection, and the caller could lose the answer.
LINGER_S = 0.5
LINGER_LIMIT_BYTES = 4 * 1024 * 1024
# How often an idle connection checks whether it is to be closed.
IDLE_CHECK_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HEAD_END = re.compile(rb"\n\r?\n")
# Bytes below this cannot begin a request, so the parser need not wait for the end of the head.
_FIRST_VISIBLE = 0x21
_STATUS_KINDS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}


class _ConnectionEnded(Exception):
    """The caller disconnected or stayed idle for too long, so no answer is due."""


class Waiting(Enum):
    """What the process waits for at a connection that it may close to make room."""

    NOTHING = "nothing"
    IDLE = "idle"
    SENDER = "sender"


class CallerConnection:
    """Serves one connection until either side closes it."""

    def __init__(self, connection: socket.socket, listener: Listener) -> None:
        self._connection = connection
        self._listener = listener
        self._parser = self._new_parser()
        # Received bytes that the parser has not got yet.
        self._ahead = bytearray()
        self._has_unread_body = False
        self._is_close_requested = False
        self._waiting = Waiting.IDLE
        self._waiting_since_s = time.monotonic()
        self._last_byte_s = self._waiting_since_s
        self._channel: AnswerChannel | None = None
        self._has_served = False
        self._head_cost_bytes = 0
        self._may_linger = True
        self._caller = ""

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        try:
            self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._caller = str(self._connection.getpeername()[0])
            while self._serve_one():
                self._listener.bodies.release(self)
        except _ConnectionEnded:
            return
        except OSError as error:
            log_event(Event.BAD_CONNECTION, reason=type(error).__name__)
        finally:
            self._listener.bodies.release(self)
            self._close()

    def drop_reason(self) -> DropReason | None:
        """Return why the connection may be closed to make room, ``None`` if it may not."""
        channel = self._channel
        if self._is_close_requested:
            return None
        if self._waiting is not Waiting.NOTHING:
            is_idle = self._waiting is Waiting.IDLE
            return DropReason.IDLE if is_idle else DropReason.SLOW_SENDER
        if channel is not None and channel.unread_since_s is not None:
            return DropReason.SLOW_READER
        return None

    @property
    def is_close_requested(self) -> bool:
        """Whether the connection was chosen to make room."""
        return self._is_close_requested

    @property
    def waiting_since_s(self) -> float:
        """The time since when the process waits for the client."""
        channel = self._channel
        if self._waiting is Waiting.NOTHING and channel is not None:
            return channel.unread_since_s or time.monotonic()
        return self._waiting_since_s

    @property
    def is_ending(self) -> bool:
        """Whether no more than the end of an answer is due before the body is released."""
        channel = self._channel
        return self._waiting is Waiting.NOTHING and (channel is None or channel.is_ending)

    def slowness(self, is_heavy: bool) -> tuple[bool, float] | None:
        """Return how slow the sender of a body is, ``None`` if it may not be given up.

        One that has stalled goes before others. One that goes on sending is given up only for a
        body that is no larger than its own: others would let large bodies keep each other out.
        """
        if self.drop_reason() is not DropReason.SLOW_SENDER:
            return None
        now_s = time.monotonic()
        stalled_s = now_s - self._last_byte_s
        if stalled_s >= self._listener.client_limits.min_stall_s:
            return True, stalled_s
        waited_s = now_s - self._waiting_since_s
        return (False, waited_s) if is_heavy and waited_s >= MIN_SLOW_S else None

    def give_up(self) -> bool:
        """Refuse the request of a slow sender; ``False`` if it has arrived in the meantime."""
        return self._listener.close_slow_sender(self)

    def request_close(self) -> None:
        """End the wait for the client; call this with the listener's lock held.

        A request that has arrived in part is refused: it has not run. An answer that is not read
        breaks off.
        """
        self._is_close_requested = True
        is_answering = self._waiting is Waiting.NOTHING
        with contextlib.suppress(OSError):  # The client may have disconnected already.
            self._connection.shutdown(socket.SHUT_RDWR if is_answering else socket.SHUT_RD)

    def _serve_one(self) -> bool:
        limits = self._listener.limits()
        try:
            request, closes_connection = self._read_request(limits)
            self._end_wait()
        except ProblemError as error:
            log_event(Event.BAD_CONNECTION, kind=error.problem.kind.value, reason=str(error))
            self._refuse(error.problem)
            return False
        except h11.RemoteProtocolError as error:
            kind = _STATUS_KINDS.get(error.error_status_hint, ErrorKind.BAD_REQUEST)
            # The parser quotes the line that it rejects, which may hold an API key.
            reason = str(error).partition(":")[0]
            log_event(Event.BAD_CONNECTION, kind=kind.value, reason=reason)
            self._refuse(Problem(kind, f"the request cannot be parsed: {reason}"))
            return False
        channel = AnswerChannel(
            self._connection,
            self._listener.loop,
            request.method,
            supports_chunked=self._parser.their_http_version != b"1.0",
            closes_connection=closes_connection or self._closes_after_answer(),
        )
        channel.on_given_up = lambda: self._listener.note_drop(DropReason.SLOW_READER)
        try:
            self._channel = channel
            self._listener.handle(request, channel)
        except Exception as error:
            log_event(Event.REQUEST_CRASHED, path=request.path[:200], error=repr(error)[:300])
            self._answer_crash(channel)
        finally:
            self._channel = None
        if channel.closes_connection or channel.state is not ChannelState.COMPLETE:
            return False
        self._has_served = True
        self._parser = self._new_parser()
        return True

    def _end_wait(self) -> None:
        """Count the request as received; raises if the connection was chosen to make room."""
        with self._listener.lock:
            self._waiting = Waiting.NOTHING
            if not self._is_close_requested:
                return
        raise problem_error(ErrorKind.GATEWAY_BUSY, "the gateway has no room for slow clients")

    def _check_not_closing(self) -> None:
        if self._is_close_requested:
            raise problem_error(ErrorKind.GATEWAY_BUSY, "the gateway has no room for slow clients")

    def _closes_after_answer(self) -> bool:
        """Whether a gateway is stopping and no further request has arrived yet."""
        return self._listener.is_draining and not self._ahead

    def _answer_crash(self, channel: AnswerChannel) -> None:
        if channel.state is ChannelState.UNANSWERED:
            problem = Problem(ErrorKind.INTERNAL, "the request could not be handled; see the log")
            channel.send(problem_answer(problem))
        else:
            channel.abort()

    def _new_parser(self) -> h11.Connection:
        limit = self._listener.limits().max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _read_request(self, limits: CallerLimits) -> tuple[RelayRequest, bool]:
        is_ahead = self._has_served and bool(self._ahead)
        head_end = self._receive_head(limits)
        received_s = time.monotonic()
        line_count = self._ahead.count(b"\n", 0, head_end)
        if line_count > MANY_HEAD_LINES:
            self._head_cost_bytes = line_count * HEAD_LINE_BYTES
            self._reserve(0)
        elif self._head_cost_bytes:
            self._head_cost_bytes = 0
            self._listener.bodies.release(self)
        with self._turn(limits, is_ahead or line_count > MANY_HEAD_LINES):
            head = self._parse_head(head_end)
            headers = tuple(
                Header(name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers.raw_items()
            )
        declared_bytes = self._check_head(headers, limits)
        if declared_bytes:
            self._reserve(declared_bytes)
        if self._parser.they_are_waiting_for_100_continue:
            self._connection.sendall(_CONTINUE)
        body = self._read_body(limits, declared_bytes)
        method = head.method.decode("latin-1")
        target = head.target.decode("latin-1")
        host = _first_value(headers, "host")
        closes_connection = _wants_close(headers) or head.http_version == b"1.0"
        request = RelayRequest(method, target, host, headers, body, received_s, self._caller)
        return request, closes_connection

    @contextlib.contextmanager
    def _turn(self, limits: CallerLimits, is_needed: bool) -> Iterator[None]:
        """Parse what clients send ahead, or in very many lines, in turn."""
        if not is_needed:
            yield
            return
        until_s = time.monotonic() + limits.head_timeout_ms / 1000
        while not self._listener.parse_turns.acquire(TURN_CHECK_S):
            self._check_not_closing()
            if time.monotonic() >= until_s:
                self._listener.note_drop(DropReason.NO_TURN)
                self._may_linger = False
                raise problem_error(ErrorKind.GATEWAY_BUSY, "the gateway parses too many requests")
        try:
            self._check_not_closing()
            yield
        finally:
            self._listener.parse_turns.release()

    def _receive_head(self, limits: CallerLimits) -> int:
        """Receive a head; return its size on the wire, or 0 if its beginning is invalid."""
        idle_until_s = time.monotonic() + limits.idle_timeout_ms / 1000
        head_until_s: float | None = None
        if self._ahead:
            self._begin_wait(Waiting.SENDER)
            head_until_s = time.monotonic() + limits.head_timeout_ms / 1000
        searched_bytes = 0
        while True:
            found = _HEAD_END.search(self._ahead, searched_bytes)
            size = found.end() if found else len(self._ahead)
            if size > limits.max_head_bytes:
                self._has_unread_body = True
                raise problem_error(
                    ErrorKind.HEAD_TOO_LARGE,
                    f"the request head may have at most {limits.max_head_bytes} bytes",
                )
            if self._ahead and self._ahead[0] < _FIRST_VISIBLE:
                return 0
            if found:
                return size
            searched_bytes = max(0, size - 2)
            if head_until_s is None:
                self._receive_first(idle_until_s)
                self._begin_wait(Waiting.SENDER)
                head_until_s = time.monotonic() + limits.head_timeout_ms / 1000
            else:
                self._head_cost_bytes = size
                self._reserve(0)
                reason = "timed out while receiving the request head"
                data = self._receive(head_until_s, reason, HEAD_READ_BYTES)
                if not data:
                    return 0
                self._ahead += data

    def _parse_head(self, head_end: int) -> h11.Request:
        """Pass the head to the parser, or everything and the end if there is no valid one."""
        self._pass_on(head_end or len(self._ahead))
        if not head_end:
            self._parser.receive_data(b"")
        event = self._parser.next_event()
        if isinstance(event, h11.Request):
            return event
        raise problem_error(ErrorKind.BAD_REQUEST, "the connection cannot serve another request")

    def _pass_on(self, count: int) -> None:
        """Pass the first ``count`` received bytes to the parser."""
        if count and self._ahead:
            self._parser.receive_data(bytes(self._ahead[:count]))
            del self._ahead[:count]

    def _begin_wait(self, waiting: Waiting) -> None:
        self._waiting, self._waiting_since_s = waiting, time.monotonic()
        self._last_byte_s = self._waiting_since_s

    def _check_head(self, headers: tuple[Header, ...], limits: CallerLimits) -> int | None:
        """Return the length of the body, ``None`` if only the parser can find its end."""
        if _first_value(headers, "transfer-encoding"):
            return None
        declared_length = _first_value(headers, "content-length")
        if not declared_length.isdecimal():
            return None if declared_length else 0
        if int(declared_length) > limits.max_body_bytes:
            raise _body_too_large(limits)
        return int(declared_length)

    def _reserve(self, body_bytes: int) -> None:
        self._listener.bodies.offer(self, self)
        if not self._listener.bodies.resize(self, self._head_cost_bytes + body_bytes):
            self._listener.note_drop(DropReason.MEMORY)
            self._has_unread_body = True
            raise problem_error(ErrorKind.GATEWAY_BUSY, "the gateway holds too many requests")

    def _read_body(self, limits: CallerLimits, declared_bytes: int | None) -> bytes:
        until_s = time.monotonic() + limits.idle_timeout_ms / 1000
        body = bytearray()
        is_chunked = declared_bytes is None
        many_lines = self._listener.client_limits.many_chunk_lines
        has_many_chunks = is_chunked and self._ahead.count(b"\n") > many_lines
        self._pass_on(len(self._ahead) if declared_bytes is None else declared_bytes)
        while True:
            with self._turn(limits, has_many_chunks):
                is_complete = self._parse_body(body, limits, is_chunked)
            if is_complete:
                return bytes(body)
            # What follows a body of known length is left to the next request.
            size = READ_BYTES if declared_bytes is None else declared_bytes - len(body)
            if has_many_chunks:
                size = HEAD_READ_BYTES
            reason = "timed out while receiving the request body"
            data = self._receive(until_s, reason, min(size, READ_BYTES))
            has_many_chunks = is_chunked and data.count(b"\n") > many_lines
            self._parser.receive_data(data)

    def _parse_body(self, body: bytearray, limits: CallerLimits, is_chunked: bool) -> bool:
        """Add what was received to ``body``; return whether it is complete."""
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise _body_too_large(limits)
                if is_chunked:
                    self._reserve(len(body))
            elif isinstance(event, h11.EndOfMessage):
                if is_chunked:
                    self._ahead = bytearray(self._parser.trailing_data[0])
                return True
            elif event is h11.NEED_DATA:
                return False
            else:
                raise _ConnectionEnded

    def _receive_first(self, until_s: float) -> None:
        """Wait for the first bytes of the next request; the connection counts as idle meanwhile.

        Not every platform lets another thread interrupt this wait, so it polls every
        ``IDLE_CHECK_S`` whether the connection is to be closed.
        """
        self._begin_wait(Waiting.IDLE)
        with self._listener.idle(self):
            while True:
                remaining_s = until_s - time.monotonic()
                is_idle_closed = self._listener.closes_idle and self._has_served
                if is_idle_closed or self._is_close_requested or remaining_s <= 0:
                    raise _ConnectionEnded
                self._connection.settimeout(min(remaining_s, IDLE_CHECK_S))
                try:
                    data = self._connection.recv(HEAD_READ_BYTES)
                    break
                except TimeoutError:
                    continue
        if not data:
            raise _ConnectionEnded
        self._ahead += data

    def _receive(self, until_s: float, reason: str, size: int) -> bytes:
        remaining_s = until_s - time.monotonic()
        if remaining_s <= 0:
            raise problem_error(ErrorKind.REQUEST_TOO_SLOW, reason)
        self._connection.settimeout(remaining_s)
        try:
            data = self._connection.recv(size)
        except TimeoutError:
            raise problem_error(ErrorKind.REQUEST_TOO_SLOW, reason) from None
        self._last_byte_s = time.monotonic()
        if not data:
            self._check_not_closing()
        return data

    def _refuse(self, problem: Problem) -> None:
        self._waiting = Waiting.NOTHING
        # A connection that makes room for others does not wait for the rest of its input.
        self._has_unread_body = self._may_linger and not self._is_close_requested
        method = "GET"
        channel = AnswerChannel(
            self._connection, self._listener.loop, method, True, closes_connection=True
        )
        channel.send(problem_answer(problem))

    def _close(self) -> None:
        try:
            if self._has_unread_body:
                self._linger()
            self._connection.close()
        except OSError as error:
            log_event(Event.BAD_CONNECTION, reason=f"close: {type(error).__name__}")

    def _linger(self) -> None:
        until_s = time.monotonic() + LINGER_S
        discarded_bytes = 0
        try:
            self._connection.shutdown(socket.SHUT_WR)
            while discarded_bytes < LINGER_LIMIT_BYTES and time.monotonic() < until_s:
                self._connection.settimeout(max(0.001, until_s - time.monotonic()))
                chunk = self._connection.recv(READ_BYTES)
                if not chunk:
                    return
                discarded_bytes += len(chunk)
        except OSError:  # The caller disconnected or sent no more data, so closing is safe.
            return


def _first_value(headers: tuple[Header, ...], name: str) -> str:
    for header in headers:
        if header.name.lower() == name:
            return header.value
    return ""


def _wants_close(headers: tuple[Header, ...]) -> bool:
    return any(
        header.name.lower() == "connection"
        and "close" in (token.strip().lower() for token in header.value.split(","))
        for header in headers
    )


def _body_too_large(limits: CallerLimits) -> ProblemError:
    return problem_error(
        ErrorKind.BODY_TOO_LARGE, f"the body may have at most {limits.max_body_bytes} bytes"
    )
