"""Serves one caller's connection: its requests in sequence, with blocking calls."""

from __future__ import annotations

import socket
import time
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
from .answer_channel import AnswerChannel
from .answer_channel import ChannelState

if TYPE_CHECKING:
    from ..routes.service import CallerLimits
    from .listener import Listener

READ_BYTES = 65_536
# After a rejected request, the rest of its input is read for this long. Closing with unread input
# would reset the connection, and the caller could lose the answer.
LINGER_S = 0.5
LINGER_LIMIT_BYTES = 4 * 1024 * 1024
# How often an idle connection checks whether it is to be closed.
IDLE_CHECK_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_KINDS = {413: ErrorKind.BODY_TOO_LARGE, 431: ErrorKind.HEAD_TOO_LARGE}


class _ConnectionEnded(Exception):
    """The caller disconnected or stayed idle for too long, so no answer is due."""


class CallerConnection:
    """Serves one connection until either side closes it."""

    def __init__(self, connection: socket.socket, listener: Listener) -> None:
        self._connection = connection
        self._listener = listener
        self._parser = self._new_parser(b"")
        self._has_unread_body = False
        self._is_close_requested = False
        self._has_served = False
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

    def request_close(self) -> None:
        """Have the connection closed soon if it is still idle, to make room for a new one."""
        self._is_close_requested = True

    def _serve_one(self) -> bool:
        limits = self._listener.limits()
        try:
            request, closes_connection = self._read_request(limits)
        except ProblemError as error:
            log_event(Event.BAD_CONNECTION, kind=error.problem.kind.value, reason=str(error))
            self._refuse(error.problem)
            return False
        except h11.RemoteProtocolError as error:
            kind = _STATUS_KINDS.get(error.error_status_hint, ErrorKind.BAD_REQUEST)
            log_event(Event.BAD_CONNECTION, kind=kind.value, reason=str(error))
            self._refuse(Problem(kind, f"the request cannot be parsed: {error}"))
            return False
        channel = AnswerChannel(
            self._connection,
            self._listener.loop,
            request.method,
            supports_chunked=self._parser.their_http_version != b"1.0",
            closes_connection=closes_connection or self._closes_after_answer(),
        )
        try:
            self._listener.handle(request, channel)
        except Exception as error:
            log_event(Event.REQUEST_CRASHED, path=request.path[:200], error=repr(error)[:300])
            self._answer_crash(channel)
        if channel.closes_connection or channel.state is not ChannelState.COMPLETE:
            return False
        self._has_served = True
        trailing, _is_closed = self._parser.trailing_data
        self._parser = self._new_parser(trailing)
        return True

    def _closes_after_answer(self) -> bool:
        """Whether a gateway is stopping and no further request has arrived yet."""
        has_more = bool(self._parser.trailing_data[0])
        return self._listener.is_draining and not has_more

    def _answer_crash(self, channel: AnswerChannel) -> None:
        if channel.state is ChannelState.UNANSWERED:
            problem = Problem(ErrorKind.INTERNAL, "the request could not be handled; see the log")
            channel.send(problem_answer(problem))
        else:
            channel.abort()

    def _new_parser(self, trailing: bytes) -> h11.Connection:
        limit = self._listener.limits().max_head_bytes
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        if trailing:
            parser.receive_data(trailing)
        return parser

    def _read_request(self, limits: CallerLimits) -> tuple[RelayRequest, bool]:
        head = self._read_head(limits)
        received_s = time.monotonic()
        headers = tuple(
            Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        declared_bytes = self._check_head(head, headers, limits)
        self._reserve_body(declared_bytes)
        if self._parser.they_are_waiting_for_100_continue:
            self._connection.sendall(_CONTINUE)
        body = self._read_body(limits, declared_bytes)
        method = head.method.decode("latin-1")
        target = head.target.decode("latin-1")
        host = _first_value(headers, "host")
        closes_connection = _wants_close(headers) or head.http_version == b"1.0"
        request = RelayRequest(method, target, host, headers, body, received_s, self._caller)
        return request, closes_connection

    def _read_head(self, limits: CallerLimits) -> h11.Request:
        idle_until_s = time.monotonic() + limits.idle_timeout_ms / 1000
        head_until_s: float | None = None
        if self._parser.trailing_data[0]:
            head_until_s = time.monotonic() + limits.head_timeout_ms / 1000
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                raise _ConnectionEnded
            if event is not h11.NEED_DATA:
                raise problem_error(
                    ErrorKind.BAD_REQUEST, "the connection cannot serve another request"
                )
            if head_until_s is None:
                self._receive_first(idle_until_s)
                head_until_s = time.monotonic() + limits.head_timeout_ms / 1000
            else:
                self._receive(head_until_s, "timed out while receiving the request head")

    def _check_head(
        self, head: h11.Request, headers: tuple[Header, ...], limits: CallerLimits
    ) -> int:
        """Check the limits of a request's head; return the length that its body is to have."""
        size = len(head.target) + sum(len(line.name) + len(line.value) + 4 for line in headers)
        if size > limits.max_head_bytes:
            self._has_unread_body = True
            raise problem_error(
                ErrorKind.HEAD_TOO_LARGE,
                f"the request head may have at most {limits.max_head_bytes} bytes",
            )
        declared_length = _first_value(headers, "content-length")
        if not declared_length.isdecimal():
            return 0
        if int(declared_length) > limits.max_body_bytes:
            raise _body_too_large(limits)
        return int(declared_length)

    def _reserve_body(self, size_bytes: int) -> None:
        if size_bytes and not self._listener.bodies.resize(self, size_bytes):
            raise problem_error(ErrorKind.GATEWAY_BUSY, "the gateway holds too many request bodies")

    def _read_body(self, limits: CallerLimits, declared_bytes: int) -> bytes:
        until_s = time.monotonic() + limits.idle_timeout_ms / 1000
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise _body_too_large(limits)
                self._reserve_body(max(declared_bytes, len(body)))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                self._receive(until_s, "timed out while receiving the request body")
            else:
                raise _ConnectionEnded

    def _receive_first(self, until_s: float) -> None:
        """Wait for the first bytes of the next request; the connection counts as idle meanwhile.

        Not every platform lets another thread interrupt this wait, so it polls every
        ``IDLE_CHECK_S`` whether the connection is to be closed.
        """
        with self._listener.idle(self):
            while True:
                remaining_s = until_s - time.monotonic()
                is_idle_closed = self._listener.closes_idle and self._has_served
                if is_idle_closed or self._is_close_requested or remaining_s <= 0:
                    raise _ConnectionEnded
                self._connection.settimeout(min(remaining_s, IDLE_CHECK_S))
                try:
                    data = self._connection.recv(READ_BYTES)
                    break
                except TimeoutError:
                    continue
        if not data:
            raise _ConnectionEnded
        self._parser.receive_data(data)

    def _receive(self, until_s: float, reason: str) -> None:
        remaining_s = until_s - time.monotonic()
        if remaining_s <= 0:
            raise problem_error(ErrorKind.REQUEST_TOO_SLOW, reason)
        self._connection.settimeout(remaining_s)
        try:
            data = self._connection.recv(READ_BYTES)
        except TimeoutError:
            raise problem_error(ErrorKind.REQUEST_TOO_SLOW, reason) from None
        self._parser.receive_data(data)

    def _refuse(self, problem: Problem) -> None:
        self._has_unread_body = True
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
