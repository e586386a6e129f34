"""Writes one answer to a caller, either at once or as a stream of events."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_transport.calls import BODILESS_STATUSES
from primroseferry_transport.calls import Header
from primroseferry_transport.socket_writer import MAX_FLUSH_S
from primroseferry_transport.socket_writer import SocketWriter

from ..messages import AnswerHead
from ..messages import CompleteAnswer
from ..messages import head_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.curl_loop import CurlLoop

# A caller that accepts no byte of its answer for this long is treated as disconnected.
FLUSH_TIMEOUT_S = 10.0
# A client that reads or sends is not closed to make room before it has been waited for this long.
MIN_SLOW_S = 0.5
# A larger body is not copied to be sent together with its head.
MAX_JOINED_BYTES = 65_536
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
_FINISH_AT_CLOSE = struct.pack("ii", 0, 0)


class ChannelState(Enum):
    """The progress of an answer."""

    UNANSWERED = "unanswered"
    STREAMING = "streaming"
    COMPLETE = "complete"
    BROKEN = "broken"


class AnswerChannel:
    """Sends the answer to one request over the caller's connection.

    The request's own thread writes a complete answer. The loop's thread may write the events of a
    stream as they arrive. A truncated stream never looks complete: the connection is closed without
    the last chunk, and reset if the stream has no chunks.
    """

    def __init__(
        self,
        connection: socket.socket,
        loop: CurlLoop,
        method: str,
        supports_chunked: bool,
        closes_connection: bool,
    ) -> None:
        self._connection = connection
        self._loop = loop
        self._method = method
        self._supports_chunked = supports_chunked
        self._writer: SocketWriter | None = None
        self.closes_connection = closes_connection
        self.state = ChannelState.UNANSWERED
        # Whether the last part of the answer is being sent, or was.
        self.is_ending = False
        self.status = 0
        self.sent_bytes = 0
        # Since when the caller has left part of a complete answer unread.
        self._unread_since_s: float | None = None
        self.on_given_up: Callable[[], None] | None = None

    @property
    def connection(self) -> socket.socket:
        """The caller's connection, only for detecting a disconnect. Don't write to it."""
        return self._connection

    @property
    def unread_since_s(self) -> float | None:
        """Since when the caller has left part of its answer unread, ``None`` if it has not."""
        writer = self._writer
        return self._unread_since_s if writer is None else writer.unread_since_s

    def send(self, answer: CompleteAnswer) -> bool:
        """Write a complete answer; return ``False`` if the caller has disconnected."""
        self.is_ending = True
        head = answer.head
        framing = []
        if head.status not in BODILESS_STATUSES and self._method != "HEAD":
            framing.append(Header("Content-Length", str(len(answer.body))))
        if self.closes_connection:
            framing.append(Header("Connection", "close"))
        self.status = head.status
        has_body = self._method != "HEAD" and head.status not in BODILESS_STATUSES
        body = answer.body if has_body else b""
        data = head_bytes(head, tuple(framing))
        self.sent_bytes = len(data) + len(body)
        if len(body) > MAX_JOINED_BYTES:
            return self._finish(self._send_all(data) and self._send_all(body))
        return self._finish(self._send_all(data + body))

    def give_up_if_slow(self) -> bool:
        """Break off a complete answer that is read slowly; return whether it was.

        Any thread may call this.
        """
        since_s = self._unread_since_s
        if since_s is None or time.monotonic() - since_s < MIN_SLOW_S:
            return False
        with contextlib.suppress(OSError):  # The caller may already have disconnected.
            self._connection.shutdown(socket.SHUT_RDWR)
        if self.on_given_up is not None:
            self.on_given_up()
        return True

    def begin_stream(self, head: AnswerHead) -> bool:
        """Write the head of a stream; return ``False`` if the caller has disconnected.

        Without chunked encoding, the end of the connection marks the end of the stream. Until then
        any close resets the connection, also one by the end of this process.
        """
        framing = []
        if self._supports_chunked:
            framing.append(Header("Transfer-Encoding", "chunked"))
        else:
            self.closes_connection = True
            self._set_linger(_RESET_AT_CLOSE)
        if self.closes_connection:
            framing.append(Header("Connection", "close"))
        self.state = ChannelState.STREAMING
        self.status = head.status
        self._writer = SocketWriter(self._connection, self._loop)
        return self._write(head_bytes(head, tuple(framing)))

    def write_events(self, data: bytes) -> bool:
        """Write complete events of the stream.

        Returns ``False`` if the caller has disconnected or reads too slowly.
        """
        if self._supports_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        return self._write(data)

    @property
    def is_behind(self) -> bool:
        """Whether the caller has not taken all that was written of the stream."""
        return self._writer is not None and self._writer.has_unsent

    def end_stream(self) -> bool:
        """Mark the stream as complete and wait until it is sent.

        Returns ``False`` if the caller has disconnected or the stream has not begun.
        """
        if self._writer is None:
            return False
        self.is_ending = True
        is_sent = self._write(b"0\r\n\r\n") if self._supports_chunked else True
        is_sent = is_sent and self._writer.wait_flushed(FLUSH_TIMEOUT_S)
        if is_sent and not self._supports_chunked:
            self._set_linger(_FINISH_AT_CLOSE)
        return self._finish(is_sent)

    def abort(self) -> None:
        """End the answer so that the caller can detect that it is incomplete."""
        is_reset_at_close = self.state is ChannelState.STREAMING and not self._supports_chunked
        self.is_ending = True
        self.state = ChannelState.BROKEN
        self.closes_connection = True
        if self._writer is not None:
            self._writer.wait_flushed(FLUSH_TIMEOUT_S)
        if is_reset_at_close:
            return
        with contextlib.suppress(OSError):  # The caller may already have disconnected.
            self._connection.shutdown(socket.SHUT_WR)

    def _set_linger(self, linger: bytes) -> None:
        with contextlib.suppress(OSError):  # The caller may already have disconnected.
            self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _write(self, data: bytes) -> bool:
        self.sent_bytes += len(data)
        return self._writer is not None and self._writer.write(data)

    def _send_all(self, data: bytes) -> bool:
        """Send ``data``; the time limit starts anew with each piece that the caller accepts."""
        until_s = time.monotonic() + MAX_FLUSH_S
        rest = memoryview(data)
        try:
            self._connection.settimeout(FLUSH_TIMEOUT_S)
            while rest and time.monotonic() < until_s:
                rest = rest[self._connection.send(rest) :]
                if rest and self._unread_since_s is None:
                    self._unread_since_s = time.monotonic()
        except OSError:
            return False
        finally:
            self._unread_since_s = None
        return not rest

    def _finish(self, is_sent: bool) -> bool:
        self.state = ChannelState.COMPLETE if is_sent else ChannelState.BROKEN
        self.closes_connection = self.closes_connection or not is_sent
        return is_sent
