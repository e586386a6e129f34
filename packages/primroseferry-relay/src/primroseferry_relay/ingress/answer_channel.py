"""Writing one answer to a caller: whole, or as a stream of events."""

from __future__ import annotations

import contextlib
import socket
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_transport.calls import Header
from primroseferry_transport.socket_writer import SocketWriter

from ..messages import BODILESS_STATUSES
from ..messages import AnswerHead
from ..messages import WholeAnswer
from ..messages import head_bytes

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

# A caller that takes no byte of its answer for this long is treated as gone.
FLUSH_TIMEOUT_S = 10.0


class ChannelState(Enum):
    """How far the answer is."""

    UNANSWERED = "unanswered"
    STREAMING = "streaming"
    COMPLETE = "complete"
    BROKEN = "broken"


class AnswerChannel:
    """The way back to the caller of one request.

    A whole answer is written by the request's own thread; the events of a stream may be written by
    the loop's thread as they arrive. An answer that ends early is never made to look complete: the
    connection is then closed without the last chunk.
    """

    def __init__(
        self,
        connection: socket.socket,
        loop: CurlLoop,
        method: str,
        understands_chunks: bool,
        closes: bool,
    ) -> None:
        self._connection = connection
        self._loop = loop
        self._method = method
        self._understands_chunks = understands_chunks
        self._writer: SocketWriter | None = None
        self.closes = closes
        self.state = ChannelState.UNANSWERED
        self.status = 0
        self.sent_bytes = 0

    @property
    def connection(self) -> socket.socket:
        """The caller's connection, to be watched and not written to."""
        return self._connection

    def send(self, answer: WholeAnswer) -> bool:
        """Write a whole answer; ``False`` if the caller is gone."""
        head = answer.head
        framing = []
        if head.status not in BODILESS_STATUSES and self._method != "HEAD":
            framing.append(Header("Content-Length", str(len(answer.body))))
        if self.closes:
            framing.append(Header("Connection", "close"))
        self.status = head.status
        has_body = self._method != "HEAD" and head.status not in BODILESS_STATUSES
        data = head_bytes(head, tuple(framing)) + (answer.body if has_body else b"")
        self.sent_bytes = len(data)
        return self._finish(self._send_all(data))

    def begin_stream(self, head: AnswerHead) -> bool:
        """Write the head of a stream; ``False`` if the caller is gone."""
        framing = []
        if self._understands_chunks:
            framing.append(Header("Transfer-Encoding", "chunked"))
        else:
            self.closes = True
        if self.closes:
            framing.append(Header("Connection", "close"))
        self.state = ChannelState.STREAMING
        self.status = head.status
        self._writer = SocketWriter(self._connection, self._loop)
        return self._write(head_bytes(head, tuple(framing)))

    def write_events(self, data: bytes) -> bool:
        """Write whole events of the stream; ``False`` if the caller is gone or too slow."""
        if self._understands_chunks:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        return self._write(data)

    def end_stream(self) -> bool:
        """End the stream as complete; ``False`` if the caller is gone."""
        if self._writer is None:
            return False
        is_sent = self._write(b"0\r\n\r\n") if self._understands_chunks else True
        is_sent = is_sent and self._writer.wait_flushed(FLUSH_TIMEOUT_S)
        return self._finish(is_sent)

    def abort(self) -> None:
        """End the answer so that the caller sees that it is not complete."""
        self.state = ChannelState.BROKEN
        self.closes = True
        if self._writer is not None:
            self._writer.wait_flushed(FLUSH_TIMEOUT_S)
        with contextlib.suppress(OSError):  # The caller may be gone already.
            self._connection.shutdown(socket.SHUT_WR)

    def _write(self, data: bytes) -> bool:
        self.sent_bytes += len(data)
        return self._writer is not None and self._writer.write(data)

    def _send_all(self, data: bytes) -> bool:
        try:
            self._connection.settimeout(FLUSH_TIMEOUT_S)
            self._connection.sendall(data)
        except OSError:
            return False
        return True

    def _finish(self, is_sent: bool) -> bool:
        self.state = ChannelState.COMPLETE if is_sent else ChannelState.BROKEN
        self.closes = self.closes or not is_sent
        return is_sent
