"""A bounded HTTP server over ``werkzeug.serving`` with one pool thread per connection.

A connection carries one request, whose head and body must arrive before a deadline, so that a
caller that sends slowly, or nothing, does not occupy a thread.
"""

from __future__ import annotations

import io
import json
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from werkzeug.serving import BaseWSGIServer
from werkzeug.serving import WSGIRequestHandler
from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

LISTEN_BACKLOG = 1_024
LINGER_LIMIT_BYTES = 4 * 1024 * 1024
LINGER_S = 1.0
SEND_TIMEOUT_S = 10.0
_READ_AHEAD_BYTES = 8_192
_READ_BYTES = 65_536
_HTTP_ERROR_KINDS = {
    414: ErrorKind.HEAD_TOO_LARGE,
    431: ErrorKind.HEAD_TOO_LARGE,
    408: ErrorKind.REQUEST_TOO_SLOW,
}


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one server.

    ``max_connections`` are served concurrently, each on a thread. The complete request must arrive
    within ``receive_timeout_ms``.
    """

    max_connections: int = 1_024
    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    receive_timeout_ms: int = 10_000


class Exchange:
    """One request and its connection.

    A handler returns a ``Response``, or writes to ``take_connection()`` itself and returns
    ``None``.
    """

    def __init__(self, request: Request, handler: _Handler) -> None:
        self.request = request
        self._handler = handler
        self._max_body_bytes = handler.server.limits.max_body_bytes
        self.is_connection_taken = False

    @property
    def connection(self) -> socket.socket:
        """The connection, to be watched but not written to."""
        return self._handler.connection

    def take_connection(self) -> socket.socket:
        """Return the raw socket to a handler that sends the response itself."""
        self.is_connection_taken = True
        return self._handler.connection

    def supports_chunked_responses(self) -> bool:
        """Return whether the caller uses HTTP/1.1, which has chunked responses."""
        return self._handler.request_version == "HTTP/1.1"

    def read_body(self) -> bytes:
        """Return the complete body.

        Raises ``ProblemError`` if the body is too large, too slow or incomplete.
        """
        expected = self.request.content_length
        if expected is not None and expected > self._max_body_bytes:
            raise self._body_too_large()
        try:
            body = self._read_up_to(self._max_body_bytes + 1)
        except (OSError, ValueError) as error:
            raise problem_error(ErrorKind.BAD_REQUEST, f"the body broke off: {error}") from error
        if len(body) > self._max_body_bytes:
            raise self._body_too_large()
        if expected is not None and len(body) != expected:
            raise problem_error(
                ErrorKind.BAD_REQUEST, f"the body has {len(body)} of {expected} announced bytes"
            )
        return body

    def _read_up_to(self, limit_bytes: int) -> bytes:
        """Read the body in chunks, because a chunked body does not announce its length."""
        stream = self.request.stream
        body = bytearray()
        while len(body) < limit_bytes:
            piece = stream.read(min(_READ_BYTES, limit_bytes - len(body)))
            if not piece:
                break
            body += piece
        return bytes(body)

    def _body_too_large(self) -> ProblemError:
        return problem_error(
            ErrorKind.BODY_TOO_LARGE, f"the body may have at most {self._max_body_bytes} bytes"
        )


def problem_response(problem: Problem, request_id: str | None = None) -> Response:
    """Return the ``application/problem+json`` response to a problem."""
    answer = problem.answer
    data: dict[str, str | int] = {
        "type": f"urn:primroseferry:problem:{problem.kind.value}",
        "title": answer.title,
        "status": answer.status,
        "detail": problem.detail,
        "ran": problem.ran.value,
    }
    headers = {"Cache-Control": "no-store"}
    if request_id is not None:
        data["request_id"] = request_id
        headers["X-Request-Id"] = request_id
    if problem.effective_retry_after_s is not None:
        data["retry_after_s"] = problem.effective_retry_after_s
        headers["Retry-After"] = str(problem.effective_retry_after_s)
    return Response(
        json.dumps(data) + "\n",
        status=answer.status,
        headers=headers,
        content_type="application/problem+json",
    )


class HttpServer(BaseWSGIServer):
    """Serves ``handle`` on ``host:port``; port 0 selects a free port, readable as ``port``."""

    multithread = True

    def __init__(
        self,
        host: str,
        port: int,
        handle: Callable[[Exchange], Response | None],
        limits: ServerLimits,
        name: str = "http",
    ) -> None:
        listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.handle_exchange = handle
        self.limits = limits
        self._pool = ThreadPoolExecutor(limits.max_connections, thread_name_prefix=name)
        self._slots = threading.BoundedSemaphore(limits.max_connections)
        self._name = name
        self._thread: threading.Thread | None = None
        super().__init__(host, port, _refuse_wsgi, handler=_Handler, fd=listener.fileno())
        listener.close()

    def start(self) -> None:
        """Accept connections on a new thread."""
        self._thread = threading.Thread(
            target=self.serve_forever, args=(0.05,), name=f"{self._name}-accept", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections; requests in progress continue."""
        if self._thread is not None:
            self.shutdown()
            self._thread.join(timeout=5)
            self._thread = None
        self.server_close()
        self._pool.shutdown(wait=False)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve the connection on a pool thread, or refuse it if none is free."""
        if not self._slots.acquire(blocking=False):
            self._refuse(request, ErrorKind.GATEWAY_BUSY, "every connection slot is in use")
            return
        try:
            self._pool.submit(self._serve, request, client_address)
        except RuntimeError:
            self._slots.release()
            self._refuse(request, ErrorKind.GATEWAY_DRAINING, "the server is stopping")

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log a connection that failed without a response."""
        log_event(Event.BAD_CONNECTION)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)
            self._slots.release()

    def _refuse(self, request: Any, kind: ErrorKind, detail: str) -> None:
        try:
            request.settimeout(0.2)
            request.sendall(response_bytes(problem_response(Problem(kind, detail))))
        except OSError:
            pass
        finally:
            self.shutdown_request(request)


def _refuse_wsgi(_environ: Any, _start_response: Any) -> Iterable[bytes]:
    raise AssertionError("requests are handled by HttpServer.handle_exchange")


class _DeadlineReader(io.RawIOBase):
    """Reads from a socket with a deadline and a limit of bytes for the request head."""

    def __init__(self, connection: socket.socket, deadline_s: float, limit_bytes: int) -> None:
        self._connection = connection
        self._deadline_s = deadline_s
        self.limit_bytes: int | None = limit_bytes
        self._received_bytes = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise problem_error(ErrorKind.REQUEST_TOO_SLOW, "the request did not arrive in time")
        if self.limit_bytes is not None and self._received_bytes >= self.limit_bytes:
            raise problem_error(ErrorKind.HEAD_TOO_LARGE, "the request head is too long")
        self._connection.settimeout(remaining_s)
        try:
            count = self._connection.recv_into(buffer)
        except TimeoutError as error:
            raise problem_error(
                ErrorKind.REQUEST_TOO_SLOW, "the request did not arrive in time"
            ) from error
        self._received_bytes += count
        return count


class _Handler(WSGIRequestHandler):
    """Parses one request, passes it to the server's handler and sends the response."""

    server: HttpServer
    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        limits = self.server.limits
        self.connection: socket.socket = self.request
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        deadline_s = time.monotonic() + limits.receive_timeout_ms / 1000
        limit_bytes = limits.max_head_bytes + _READ_AHEAD_BYTES
        self._reader = _DeadlineReader(self.connection, deadline_s, limit_bytes)
        self.rfile = io.BufferedReader(self._reader, _READ_AHEAD_BYTES)
        self._interim_buffer = io.BytesIO()
        self.wfile = self._interim_buffer
        self.request_version = "HTTP/1.1"
        self._has_unread_body = False

    def finish(self) -> None:
        if self._has_unread_body:
            self._linger()

    def handle(self) -> None:
        self.close_connection = True
        try:
            self.handle_one_request()
        except ProblemError as error:
            self._refuse(error.problem)
        except (ConnectionError, TimeoutError):
            log_event(Event.BAD_CONNECTION)

    def run_wsgi(self) -> None:
        """Serve one parsed request; ``handle_one_request`` calls this for every method."""
        self._reader.limit_bytes = None
        self._send_interim_response()
        head_bytes = len(self.requestline) + sum(
            len(name) + len(value) + 4 for name, value in self.headers.items()
        )
        if head_bytes > self.server.limits.max_head_bytes:
            limit = self.server.limits.max_head_bytes
            self._refuse(
                Problem(ErrorKind.HEAD_TOO_LARGE, f"the head may have at most {limit} bytes")
            )
            return
        request = Request(self.make_environ())
        exchange = Exchange(request, self)
        response = self.server.handle_exchange(exchange)
        if exchange.is_connection_taken:
            return
        if response is None:
            raise AssertionError("a handler must answer or take the connection")
        self._has_unread_body = response.status_code >= 400
        self._send(response)

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Send the response to a request that could not be parsed."""
        kind = _HTTP_ERROR_KINDS.get(int(code), ErrorKind.BAD_REQUEST)
        self._refuse(Problem(kind, message or "the request could not be parsed"))

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Do nothing: request handlers log numbered events instead."""

    def log(self, type: str, message: str, *args: Any) -> None:
        """Log a message of the library as one numbered event."""
        log_event(Event.BAD_CONNECTION, reason=message % args if args else message)

    def _send_interim_response(self) -> None:
        interim_bytes = self._interim_buffer.getvalue()
        if interim_bytes:
            self.connection.sendall(interim_bytes)
            self._interim_buffer.truncate(0)

    def _refuse(self, problem: Problem) -> None:
        event = Event.BAD_CONNECTION
        if problem.kind is ErrorKind.REQUEST_TOO_SLOW:
            event = Event.CALLER_TOO_SLOW
        log_event(event, kind=problem.kind.value, reason=problem.detail)
        self._has_unread_body = True
        self._send(problem_response(problem))

    def _send(self, response: Response) -> None:
        is_head = getattr(self, "command", None) == "HEAD"
        self.connection.settimeout(SEND_TIMEOUT_S)
        try:
            self.connection.sendall(response_bytes(response, include_body=not is_head))
        except OSError:
            log_event(Event.CALLER_DISCONNECTED)

    def _linger(self) -> None:
        """Read the rest of the request before closing.

        Closing a socket with unread data makes the kernel send a reset, which can discard the
        response before the caller has read it.
        """
        deadline_s = time.monotonic() + LINGER_S
        discarded_bytes = 0
        try:
            self.connection.shutdown(socket.SHUT_WR)
            while discarded_bytes < LINGER_LIMIT_BYTES:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0:
                    return
                self.connection.settimeout(remaining_s)
                chunk = self.connection.recv(65_536)
                if not chunk:
                    return
                discarded_bytes += len(chunk)
        except OSError:
            return


def response_head_bytes(status: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of an HTTP/1.1 response with ``Connection: close``."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
    lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(response: Response, include_body: bool = True) -> bytes:
    """Return a complete HTTP/1.1 response; ``include_body=False`` omits the body, as for HEAD."""
    body = response.get_data()
    response.headers["Content-Length"] = str(len(body))
    head = response_head_bytes(response.status, response.headers.items())
    return head + body if include_body else head
