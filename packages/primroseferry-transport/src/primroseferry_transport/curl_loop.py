"""Runs all outgoing HTTP calls of a process on one libcurl multi handle and one thread.

Every token of every stream passes through this loop. Therefore libcurl's write callback passes the
body directly to the call's consumer, without a queue or a change of thread.
"""

from __future__ import annotations

import fcntl
import selectors
import socket
import sys
import termios
import time
from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

import pycurl
from primroseferry_core.client_limits import READ_AHEAD_BYTES
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.vital_thread import VitalThread
from result import Err
from result import Ok
from result import Result

from .answer_buffers import DEFAULT_MAX_BUFFERED_BYTES
from .answer_buffers import AnswerBuffers
from .calls import BODILESS_STATUSES
from .calls import FailureStage
from .calls import Header
from .calls import HttpCall
from .calls import HttpFailure
from .calls import HttpReply
from .chunk_decoder import ChunkDecoder
from .head_decoder import HeadDecoder
from .head_decoder import InvalidAnswerError
from .unsent_bytes import DEFAULT_LIMIT_BYTES
from .unsent_bytes import UnsentBytes
from .watch_set import WatchSet

if TYPE_CHECKING:
    from collections.abc import Callable

    from .loop_services import ConnectionWatch

TIMEOUT_CHECK_INTERVAL_S = 0.1
# The loop counts as stalled when it wakes up later than this, or handles events for longer.
MAX_DELAY_S = 0.05
# Without active calls there are no timeouts to check; commands wake the loop.
IDLE_WAIT_S = 5.0
MAX_IDLE_HANDLES = 256
MAX_POOLED_CONNECTIONS = 1_024
# A server that answers no keepalive probe within these limits is treated as disconnected. They
# tolerate the loss of a few packets.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 4_000
_NOT_SENT_CODES = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST, pycurl.E_URL_MALFORMAT}
)
# libcurl rejects some lines on its own: those of an unknown version or coding, for instance.
_INVALID_ANSWER_CODES = frozenset(
    {
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_BAD_CONTENT_ENCODING,
    }
)

# Headers that libcurl adds unless they are set or disabled.
_LIBCURL_DEFAULT_HEADERS = ("Accept", "User-Agent", "Content-Type")
_ENDED_DURING_UPLOAD = "the server ended its answer without a length during the upload"
_ENDED_IN_HEAD = "the server ended its answer before the end of the head"
_ENDED_BEFORE_LAST_CHUNK = "the server ended its answer before the last chunk"
_INVALID_TRAILER = "the server sent an invalid trailer"
_INVALID_CHUNK = "the server sent an invalid chunk"

HttpResult = Result[HttpReply, HttpFailure]


class PendingCall:
    """An active call. ``future`` never raises: it resolves to a reply or a failure."""

    def __init__(self, call: HttpCall, loop: CurlLoop) -> None:
        self.call = call
        self.future: Future[HttpResult] = Future()
        self._loop = loop
        self._head = HeadDecoder()
        self._body = bytearray()
        self._stop_reason: HttpFailure | None = None
        self._started_s = loop.responsive_s()
        self._last_byte_s: float | None = None
        self._handle: pycurl.Curl | None = None
        self._fd = -1
        self._unacknowledged_bytes = 0
        self._received_bytes = 0
        self._decoder: ChunkDecoder | None = None
        self._has_room: Callable[[], bool] | None = None

    def cancel(self) -> None:
        """Stop the call asynchronously.

        The future resolves to a failure, ``STOPPED_BY_CALLER`` or ``NOT_SENT``, unless the call has
        ended already.
        """
        self._loop.run_soon(lambda: self._loop._stop(self, _STOPPED))

    def release(self) -> None:
        """Count the bytes of the answer no more: nothing uses them any longer."""
        self._loop.buffers.release(self)

    def offer(self, give_up: Callable[[], bool]) -> None:
        """Let ``give_up`` end the sending of the answer when others need its memory."""
        self._loop.buffers.offer(self, give_up)

    def _reply(self, body: bytes) -> HttpReply:
        head = self._head
        return HttpReply(head.status, head.headers, body, tuple(head.header_lines), head.reason)

    def _fits(self) -> bool:
        """Count the buffered bytes of the answer; ``False`` if the call is to stop."""
        held_bytes = self.call.held_bytes() if self.call.held_bytes is not None else 0
        size_bytes = self._head.size_bytes + len(self._body) + held_bytes
        largest = self._loop.buffers.resize(self, size_bytes)
        if largest is not None:
            largest._stop_for_memory()
        return largest is not self

    def _stop_for_memory(self) -> None:
        """Discard the answer, since the process buffers too much.

        libcurl permits no other call to end within a callback, so it ends a little later.
        """
        self._stop_reason = _TOO_MUCH_BUFFERED
        self._body = bytearray()
        self._loop.run_soon(lambda: self._loop._stop(self, _TOO_MUCH_BUFFERED))

    def _deliver_head(self) -> bool:
        """Prepare for the body and call ``on_head`` if it is set; ``False`` stops the call."""
        head = self._head
        # libcurl decodes the chunks of answers to calls without a body.
        if self.call.body and head.is_chunked and head.status not in BODILESS_STATUSES:
            self._decoder = ChunkDecoder()
        on_head = self.call.on_head
        if on_head is not None and not on_head(self._reply(b"")):
            return False
        self._note_received(0)
        return True

    def _note_received(self, size_bytes: int) -> None:
        """Count bytes of the body; an answer that is whole by its framing ends the call.

        libcurl would go on until the request is sent, which fails or takes until the time limit if
        the server has answered early and reads no more of it.
        """
        self._received_bytes += size_bytes
        if self.call.body and self._is_whole():
            self._loop._whole.append(self)

    def _is_whole(self) -> bool:
        if self._decoder is not None:
            return self._decoder.is_complete
        head = self._head
        if not head.is_complete or head.is_chunked:
            return False
        return head.status in BODILESS_STATUSES or head.length_bytes == self._received_bytes

    def _timeout_failure(self, responsive_s: float) -> HttpFailure | None:
        call = self.call
        waited_ms = (responsive_s - self._started_s) * 1000
        if waited_ms >= call.connect_timeout_ms and self._is_connecting():
            is_unsent = not call.is_repeatable
            stage = FailureStage.NOT_SENT if is_unsent else FailureStage.TIMED_OUT
            return HttpFailure(stage, f"no connection within {call.connect_timeout_ms} ms")
        if self._last_byte_s is None:
            limit_ms = call.first_byte_timeout_ms
            since_s = self._started_s
        elif self._has_room is not None:
            return None
        else:
            limit_ms = call.idle_timeout_ms
            since_s = self._last_byte_s
        if limit_ms is None or (responsive_s - since_s) * 1000 < limit_ms:
            return None
        return HttpFailure(FailureStage.TIMED_OUT, f"no byte for {limit_ms} ms")

    def _is_connecting(self) -> bool:
        handle = self._handle
        if handle is None or self._head.status:
            return False
        return bool(
            handle.getinfo(pycurl.CONNECT_TIME) == 0 and handle.getinfo(pycurl.REQUEST_SIZE) == 0
        )


_STOPPED = HttpFailure(FailureStage.STOPPED_BY_CALLER, "stopped by the caller")
_TOO_MUCH_BUFFERED = HttpFailure(
    FailureStage.NO_MEMORY, "the answers of all calls are too large to buffer"
)


class CurlLoop:
    """Runs HTTP calls on its own thread and returns each result through a future.

    >>> loop = CurlLoop("doctest")
    >>> failed = loop.submit(HttpCall("GET", "http://127.0.0.1:1/")).future.result()
    >>> failed.unwrap_err().stage
    <FailureStage.NOT_SENT: 'not-sent'>
    >>> loop.close()
    """

    def __init__(
        self,
        name: str,
        max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
        max_unsent_bytes: int = DEFAULT_LIMIT_BYTES,
        read_ahead_bytes: int = READ_AHEAD_BYTES,
    ) -> None:
        self.read_ahead_bytes = read_ahead_bytes
        self.buffers: AnswerBuffers[PendingCall] = AnswerBuffers(max_buffered_bytes)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_POOLED_CONNECTIONS)
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, None)
        self._watch_sets = WatchSet(selectors.EVENT_READ), WatchSet(selectors.EVENT_WRITE)
        for watches in self._watch_sets:
            self._selector.register(watches, selectors.EVENT_READ, watches)
        self._commands: deque[Callable[[], None]] = deque()
        self._active: dict[pycurl.Curl, PendingCall] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._uploads: dict[int, PendingCall] = {}
        self._whole: list[PendingCall] = []
        self._unsent_bytes = UnsentBytes(max_unsent_bytes)
        self._receiving: PendingCall | None = None
        self._paused: dict[PendingCall, None] = {}
        self._timer_due_s: float | None = None
        self._next_timeout_check_s = time.monotonic() + TIMEOUT_CHECK_INTERVAL_S
        self._stalled_s = 0.0
        self._is_open = True
        self._thread = VitalThread(f"curl-{name}", self._run)
        self._thread.start()

    def submit(self, call: HttpCall) -> PendingCall:
        """Start a call without waiting for it."""
        pending = PendingCall(call, self)
        if not self._is_open:
            pending.future.set_result(Err(HttpFailure(FailureStage.NOT_SENT, "loop is closed")))
            return pending
        self.run_soon(lambda: self._start(pending))
        return pending

    def call(self, call: HttpCall) -> HttpResult:
        """Run a call and wait for its result."""
        return self.submit(call).future.result()

    def run_soon(self, command: Callable[[], None]) -> None:
        """Run ``command`` on the loop's thread."""
        self._commands.append(command)
        self._wake()

    @property
    def unsent_bytes(self) -> UnsentBytes:
        """The bytes that all writers on this loop buffer together."""
        return self._unsent_bytes

    def pause_current_call(self, has_room: Callable[[], bool]) -> None:
        """Receive no more of the call whose body is being handled until ``has_room()``.

        The time until then does not count as the server's silence. Without such a call on the
        current thread, this does nothing.
        """
        pending = self._receiving
        if pending is not None and self._thread.is_current():
            pending._has_room = has_room
            self._paused[pending] = None

    def add_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is readable."""
        self._watch_sets[0].add(watch)

    def add_write_watch(self, watch: ConnectionWatch) -> None:
        """Call ``watch.check()`` on the loop's thread when its connection is writable."""
        self._watch_sets[1].add(watch)

    def remove_watch(self, watch: ConnectionWatch) -> None:
        """Stop watching; a check that has begun on the loop's thread may still end later."""
        for watches in self._watch_sets:
            watches.remove(watch)

    @property
    def is_failing(self) -> bool:
        """Whether the loop's thread has ended or has just failed."""
        return self._thread.is_failing

    def in_flight_calls(self) -> int:
        """Return the number of active calls."""
        return len(self._active)

    def close(self) -> None:
        """Stop all calls and the thread; waits at most five seconds for the thread."""
        self._is_open = False
        self._wake()
        if not self._thread.is_current():
            self._thread.join(5)

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except (BlockingIOError, OSError):
            return

    def responsive_s(self) -> float:
        """Return the seconds of a clock that does not count the time in which the loop was stalled.

        What arrived meanwhile has not been read yet, so that time says nothing about the other
        side.
        """
        return time.monotonic() - self._stalled_s

    def _run(self) -> None:
        while self._is_open:
            wait_s = self._wait_s()
            due_s = time.monotonic() + wait_s
            events = self._selector.select(wait_s)
            self._note_stall(due_s)
            started_s = time.monotonic()
            for key, mask in events:
                if key.data is None:
                    self._drain_wake_socket()
                elif key.data is self:
                    self._socket_action(key.fd, mask)
                else:
                    for watch in key.data.ready():
                        self._check(watch)
            self._run_timer()
            self._run_commands()
            self._resume_calls()
            self._note_stall(started_s)
            self._finish_whole_calls()
            self._stop_overdue_calls()
            self._finish_calls()
        try:
            self._end()
        except Exception as error:
            self._log_failure("end", error)

    def _end(self) -> None:
        for pending in list(self._active.values()):
            self._stop(pending, _STOPPED)
        self._run_commands()
        self._multi.close()
        self._selector.close()
        for watches in self._watch_sets:
            watches.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _note_stall(self, due_s: float) -> None:
        """Count the time after ``due_s`` as stalled, but for ``MAX_DELAY_S`` of it."""
        self._stalled_s += max(0.0, time.monotonic() - due_s - MAX_DELAY_S)

    def _wait_s(self) -> float:
        if self._commands:
            return 0.0
        now_s = time.monotonic()
        due_s = self._next_timeout_check_s if self._active else now_s + IDLE_WAIT_S
        if self._timer_due_s is not None:
            due_s = min(due_s, self._timer_due_s)
        return max(0.0, due_s - now_s)

    def _drain_wake_socket(self) -> None:
        try:
            while len(self._wake_reader.recv(4096)) == 4096:
                continue
        except BlockingIOError:
            return

    def _socket_action(self, fd: int, mask: int) -> None:
        action = 0
        if mask & selectors.EVENT_READ:
            action |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            action |= pycurl.CSELECT_OUT
        self._multi.socket_action(fd, action)

    def _run_timer(self) -> None:
        if self._timer_due_s is not None and time.monotonic() >= self._timer_due_s:
            self._timer_due_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _run_commands(self) -> None:
        while self._commands:
            try:
                self._commands.popleft()()
            except Exception as error:
                self._log_failure("command", error)

    def _check(self, watch: ConnectionWatch) -> None:
        goes_on = False
        try:
            goes_on = watch.check()
        except Exception as error:
            self._log_failure("watch", error)
        if not goes_on:
            self.remove_watch(watch)

    def _log_failure(self, task: str, error: Exception) -> None:
        log_event(
            Event.BACKGROUND_TASK_FAILED,
            task=f"{self._thread.name} {task}",
            error=repr(error)[:300],
        )

    def _resume_calls(self) -> None:
        for pending in list(self._paused):
            if pending._has_room is None or not pending._has_room():
                continue
            del self._paused[pending]
            pending._has_room = None
            pending._last_byte_s = self.responsive_s()
            if pending._handle is not None:
                self._resume(pending, pending._handle)

    def _note_upload(self, pending: PendingCall, fd: int) -> None:
        pending._fd = fd
        self._uploads[fd] = pending

    def _resume(self, pending: PendingCall, handle: Any) -> None:
        pending._unacknowledged_bytes = 0
        try:
            handle.pause(pycurl.PAUSE_CONT)
        except pycurl.error:
            # The consumer refused what libcurl held back, or the call has ended already.
            if pending._stop_reason is not None:
                self._stop(pending, pending._stop_reason)
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _receive(
        self, pending: PendingCall, on_chunk: Callable[[bytes], bool], chunk: bytes
    ) -> bool:
        self._receiving = pending
        try:
            return on_chunk(chunk)
        finally:
            self._receiving = None

    def _stop_overdue_calls(self) -> None:
        now_s = time.monotonic()
        if now_s < self._next_timeout_check_s:
            return
        self._next_timeout_check_s = now_s + TIMEOUT_CHECK_INTERVAL_S
        responsive_s = self.responsive_s()
        for pending in list(self._active.values()):
            failure = pending._timeout_failure(responsive_s)
            if failure is not None:
                self._stop(pending, failure)

    def _on_timer(self, timeout_ms: int) -> None:
        self._timer_due_s = None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1000

    def _on_socket(self, what: int, fd: int, _multi: object, _data: object) -> None:
        if what == pycurl.POLL_REMOVE:
            upload = self._uploads.get(fd)
            if upload is not None:  # libcurl has not closed the connection yet.
                upload._unacknowledged_bytes = _unacknowledged_bytes(fd)
            if fd in self._selector.get_map():
                self._selector.unregister(fd)
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        if fd in self._selector.get_map():
            self._selector.modify(fd, mask, self)
        else:
            self._selector.register(fd, mask, self)

    def _start(self, pending: PendingCall) -> None:
        if pending.future.done():
            return
        # The time until this thread runs says nothing of the server. Without calls, the loop waits
        # for up to IDLE_WAIT_S, and does not notice that it was woken up late.
        pending._started_s = self.responsive_s()
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        try:
            _configure(handle, pending)
            self._multi.add_handle(handle)
        except Exception as error:
            failure = HttpFailure(FailureStage.NOT_SENT, f"call cannot be made: {error}")
            pending.future.set_result(Err(failure))
            return
        pending._handle = handle
        self._active[handle] = pending

    def _stop(self, pending: PendingCall, reason: HttpFailure) -> None:
        handle = pending._handle
        if handle is None:
            if not pending.future.done():
                failure = HttpFailure(FailureStage.NOT_SENT, reason.reason)
                pending.future.set_result(Err(failure))
            return
        if handle in self._active:
            pending._stop_reason = reason
            self._complete(handle, pycurl.E_OK, reason.reason)

    def _finish_whole_calls(self) -> None:
        """End the calls whose answers are whole and whose requests are not sent yet."""
        if not self._whole:
            return
        self._finish_calls()  # Those that are sent, so that their connections are kept.
        for pending in self._whole:
            if pending._handle is not None and pending._handle in self._active:
                self._complete(pending._handle, pycurl.E_OK, "")
        self._whole.clear()

    def _finish_calls(self) -> None:
        while True:
            queued, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                self._complete(handle, pycurl.E_OK, "")
            for handle, code, message in failed:
                self._complete(handle, code, message)
            if queued == 0:
                return

    def _complete(self, handle: Any, code: int, message: str) -> None:
        pending = self._active.pop(handle, None)
        if pending is None:
            return
        result = _result_of(handle, pending, code, message)
        pending._body = bytearray()
        if pending.call.is_answer_kept and isinstance(result, Ok):
            self.buffers.keep(pending)
        else:
            self.buffers.release(pending)
        self._multi.remove_handle(handle)
        self._paused.pop(pending, None)
        if self._uploads.get(pending._fd) is pending:
            del self._uploads[pending._fd]
        pending._handle = None
        if len(self._idle_handles) < MAX_IDLE_HANDLES:
            handle.reset()
            self._idle_handles.append(handle)
        else:
            handle.close()
        pending.future.set_result(result)


def _configure(handle: Any, pending: PendingCall) -> None:
    call = pending.call
    handle.setopt(pycurl.URL, call.url)
    handle.setopt(pycurl.CUSTOMREQUEST, call.method)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    # The loop checks the connect timeout itself: libcurl would count the time in which it stalled.
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, call.timeout_ms))
    handle.setopt(pycurl.TIMEOUT_MS, max(1, call.timeout_ms))
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    if call.target is not None:
        handle.setopt(pycurl.REQUEST_TARGET, call.target.encode("latin-1"))
    headers = [_header_line(header) for header in call.headers]
    if call.omits_default_headers:
        given = {header.name.lower() for header in call.headers}
        headers += [
            f"{name}:".encode() for name in _LIBCURL_DEFAULT_HEADERS if name.lower() not in given
        ]
    if call.body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, call.body)
        handle.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        if call.body:
            # libcurl does not report the last chunk of an answer before the request is sent.
            handle.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        headers.append(b"Expect:")
    elif call.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    handle.setopt(pycurl.HTTPHEADER, headers)
    if not call.is_repeatable:
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
    handle.setopt(pycurl.SOCKOPTFUNCTION, _sockopt_function(pending))
    handle.setopt(pycurl.HEADERFUNCTION, _header_function(pending))
    handle.setopt(pycurl.WRITEFUNCTION, _write_function(pending))


def _sockopt_function(pending: PendingCall) -> Callable[[int, int], int]:
    # Other calls reuse connections; their servers are gateways, whose answers are always framed.
    if pending.call.is_repeatable or not pending.call.body:
        return _enable_keepalive

    def prepare(fd: int, purpose: int) -> int:
        pending._loop._note_upload(pending, fd)
        return _enable_keepalive(fd, purpose)

    return prepare


def _unacknowledged_bytes(fd: int) -> int:
    """Return how many written bytes of a connection have not reached the other host."""
    try:
        count = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def _enable_keepalive(fd: int, _purpose: int) -> int:
    """Enable TCP keepalive, so that the kernel detects a server that disappears without a reset."""
    # The explicit family and type save Python the system calls that would query them.
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, fileno=fd)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)


def _header_line(header: Header) -> bytes:
    """Return a header line for libcurl, which takes ``Name;`` for a header without a value."""
    line = f"{header.name}: {header.value}" if header.value else f"{header.name};"
    return line.encode("latin-1")


def _header_function(pending: PendingCall) -> Callable[[bytes], int | None]:
    head = pending._head

    def on_header(line: bytes) -> int | None:
        if pending._stop_reason is not None:
            return -1
        try:
            ends_head = head.decode(line)
        except InvalidAnswerError as error:
            pending._stop_reason = HttpFailure(FailureStage.INVALID_ANSWER, str(error))
            return -1
        if ends_head and not pending._deliver_head():
            pending._stop_reason = _STOPPED
            return -1
        return None if pending._fits() else -1

    return on_header


def _write_function(pending: PendingCall) -> Callable[[bytes], int | None]:
    call = pending.call
    on_chunk = call.on_chunk
    loop = pending._loop

    def on_body(data: bytes) -> int | None:
        if pending._stop_reason is not None:
            return -1
        if pending._has_room is not None:
            return int(pycurl.WRITEFUNC_PAUSE)
        decoder = pending._decoder
        if decoder is None:
            return None if receive(data) else -1
        # Chunks of one read are delivered even after one of them has paused the call.
        for chunk in decoder.decode(data):
            if not receive(chunk):
                return -1
        if decoder.has_invalid_trailer:
            pending._stop_reason = HttpFailure(FailureStage.INVALID_ANSWER, _INVALID_TRAILER)
            return -1
        if decoder.is_invalid:
            pending._stop_reason = HttpFailure(FailureStage.CONNECTION_LOST, _INVALID_CHUNK)
            return -1
        if not decoder.is_complete:
            return None
        pending._note_received(0)
        # An error makes libcurl close the connection, which it would keep despite the surplus.
        return -1 if decoder.has_surplus else None

    def receive(chunk: bytes) -> bool:
        pending._last_byte_s = loop.responsive_s()
        if on_chunk is not None and 200 <= pending._head.status < 300:
            if not loop._receive(pending, on_chunk, chunk):
                pending._stop_reason = _STOPPED
                return False
            pending._note_received(len(chunk))
            return pending._fits()
        pending._body += chunk
        pending._note_received(len(chunk))
        if len(pending._body) > call.max_body_bytes:
            reason = f"answer is larger than {call.max_body_bytes} bytes"
            pending._stop_reason = HttpFailure(FailureStage.CONNECTION_LOST, reason)
            return False
        return pending._fits()

    return on_body


def _result_of(handle: Any, pending: PendingCall, code: int, message: str) -> HttpResult:
    # If a reused connection closes after the request was sent, libcurl retries on its own and may
    # fail to connect. The failed connection then does not prove that the request was not sent.
    if pending._stop_reason is not None:
        return Err(pending._stop_reason)
    if code == pycurl.E_OK or pending._is_whole():
        if not pending._head.is_complete:
            return Err(HttpFailure(FailureStage.CONNECTION_LOST, _ENDED_IN_HEAD))
        if pending._decoder is not None and not pending._decoder.is_complete:
            return Err(HttpFailure(FailureStage.CONNECTION_LOST, _ENDED_BEFORE_LAST_CHUNK))
        reply = pending._reply(bytes(pending._body))
        if not reply.is_framed and _is_upload_incomplete(handle, pending):
            return Err(HttpFailure(FailureStage.CONNECTION_LOST, _ENDED_DURING_UPLOAD))
        return Ok(reply)
    is_unsent = code in _NOT_SENT_CODES and handle.getinfo(pycurl.REQUEST_SIZE) == 0
    if is_unsent or _sent_nothing(handle, pending.call):
        return Err(HttpFailure(FailureStage.NOT_SENT, message))
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return Err(HttpFailure(FailureStage.TIMED_OUT, message))
    if code in _INVALID_ANSWER_CODES:
        return Err(HttpFailure(FailureStage.INVALID_ANSWER, message))
    return Err(HttpFailure(FailureStage.CONNECTION_LOST, message))


def _is_upload_incomplete(handle: Any, pending: PendingCall) -> bool:
    """Return whether a part of the request's body never reached the server's host.

    libcurl reports success when a server ends an answer without a length in the midst of the
    upload, which is also what a crash of the server looks like.
    """
    body = pending.call.body
    if not body:
        return False
    return pending._unacknowledged_bytes > 0 or handle.getinfo(pycurl.SIZE_UPLOAD_T) < len(body)


def _sent_nothing(handle: Any, call: HttpCall) -> bool:
    """Return whether the call used a new connection that was never established."""
    if call.is_repeatable:
        return False
    never_connected = handle.getinfo(pycurl.CONNECT_TIME) == 0
    return bool(never_connected and handle.getinfo(pycurl.REQUEST_SIZE) == 0)
