"""Sinks for an answer's events: the caller's socket and a buffer in memory."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from primroseferry_transport.serving import response_head_bytes

from .answer_stream import DONE_EVENT

if TYPE_CHECKING:
    from primroseferry_core.errors import Problem
    from primroseferry_core.ids import RequestId
    from primroseferry_transport.socket_writer import SocketWriter

    from .answer_stream import AnswerStream

FLUSH_TIMEOUT_S = 10.0


class HttpStreamSink:
    """Writes server-sent events straight to the caller's socket.

    The response head is sent with the first events, so that a request that fails before them can
    still be answered with an error status.
    """

    def __init__(self, writer: SocketWriter, request_id: RequestId, is_chunked: bool) -> None:
        self._writer = writer
        self._request_id = request_id
        self._is_chunked = is_chunked
        self.is_started = False

    def write(self, events: bytes) -> bool:
        """Send events; ``False`` after the caller has disconnected."""
        data = self._framed(events)
        if not self.is_started:
            self.is_started = True
            data = self._head() + data
        return self._writer.write(data)

    def finish(self, stream: AnswerStream) -> bool:
        """Send the final event with count and checksum; ``False`` if the caller disconnected."""
        end = {
            "request_id": self._request_id,
            "events": stream.delivered,
            "crc32": stream.checksum,
        }
        data = {"object": "chat.completion.chunk", "choices": [], "primroseferry": end}
        self.write(f"data: {json.dumps(data)}\n\n".encode() + DONE_EVENT)
        if self._is_chunked:
            self._writer.write(b"0\r\n\r\n")
        return self._writer.wait_flushed(FLUSH_TIMEOUT_S)

    def fail(self, problem: Problem) -> None:
        """Send the problem as an event; the answer then has no final event."""
        data = {
            "error": {
                "type": problem.kind.value,
                "message": problem.detail,
                "ran": problem.ran.value,
                "retry_after_s": problem.effective_retry_after_s,
                "request_id": self._request_id,
            }
        }
        self.write(f"event: error\ndata: {json.dumps(data)}\n\n".encode())
        self._writer.wait_flushed(FLUSH_TIMEOUT_S)

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data

    def _head(self) -> bytes:
        headers = [
            ("Content-Type", "text/event-stream; charset=utf-8"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", self._request_id),
        ]
        if self._is_chunked:
            headers.append(("Transfer-Encoding", "chunked"))
        return response_head_bytes("200 OK", headers)


class CollectSink:
    """Buffers an answer's events for a caller that did not ask for a stream."""

    def __init__(self) -> None:
        self._events = bytearray()
        self._is_abandoned = False

    def abandon(self) -> None:
        """Record that the caller no longer waits for the answer."""
        self._is_abandoned = True

    def write(self, events: bytes) -> bool:
        """Buffer events; ``False`` after :meth:`abandon`."""
        self._events += events
        return not self._is_abandoned

    def text_and_finish_reason(self) -> tuple[str, str]:
        """Return the complete text and its finish reason, ``stop`` if none was sent."""
        pieces = []
        reason = "stop"
        for line in bytes(self._events).split(b"\n"):
            if not line.startswith(b"data: "):
                continue
            choices = json.loads(line[6:]).get("choices") or [{}]
            pieces.append(choices[0].get("delta", {}).get("content") or "")
            reason = choices[0].get("finish_reason") or reason
        return "".join(pieces), reason
