"""One request sent once, with its answer passed on as it comes: what all attempts share."""

from __future__ import annotations

import time
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpFailure
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

from ..messages import AnswerHead
from ..messages import WholeAnswer
from ..messages import end_to_end_headers
from .event_splitter import EventSplitter
from .outcome import Answered
from .outcome import AttemptOutcome
from .outcome import CallerLeft
from .outcome import Lost
from .outcome import NotRun
from .outcome import StreamBroken
from .outcome import StreamEnded

if TYPE_CHECKING:
    from primroseferry_transport.calls import HttpCall
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import PendingCall


class StreamSink(Protocol):
    """Takes the events of a stream on the loop's thread; ``False`` stops the attempt."""

    def begin(self, head: AnswerHead) -> bool:
        """Take the head, just before the first event."""

    def write(self, data: bytes) -> bool:
        """Take whole events."""


class AttemptCall(ABC):
    """Runs one HTTP call and tells what became of it.

    Events go to ``sink`` whole, as they arrive. Without a sink the answer is collected.
    """

    def __init__(self, loop: CurlLoop, sink: StreamSink | None) -> None:
        self._loop = loop
        self._sink = sink
        self._splitter = EventSplitter()
        self._head: HttpReply | None = None
        self._events = 0
        self._last_event_id = ""
        self._has_begun = False
        self._is_refused_by_sink = False
        self._is_flooded = False
        self._pending: PendingCall | None = None
        self._is_cancelled = False
        self.first_byte_s: float | None = None
        self.ended_by_deadline = False

    def run(self) -> AttemptOutcome:
        """Send the request and wait for the end."""
        call = self._http_call()
        started_s = time.monotonic()
        self._pending = self._loop.submit(call)
        if self._is_cancelled:
            self._pending.cancel()
        result = self._pending.future.result()
        if self._is_cancelled or self._is_refused_by_sink:
            return CallerLeft()
        match result:
            case Ok(reply):
                return self._end_of_answer(reply)
            case Err(failure):
                elapsed_ms = (time.monotonic() - started_s) * 1000
                self.ended_by_deadline = elapsed_ms >= call.timeout_ms - 1
                return self._failure(failure)

    def cancel(self) -> None:
        """Stop the far side's work, because the caller is gone."""
        self._is_cancelled = True
        if self._pending is not None:
            self._pending.cancel()

    @abstractmethod
    def _http_call(self) -> HttpCall:
        """Return the call to be made."""

    @abstractmethod
    def _end_of_answer(self, reply: HttpReply) -> AttemptOutcome:
        """Return what an answer that came whole means."""

    def _visible_head(self, reply: HttpReply) -> AnswerHead:
        return answer_head(reply)

    def _on_head(self, head: HttpReply) -> bool:
        self.first_byte_s = time.monotonic()
        self._head = head
        return True

    def _on_chunk(self, chunk: bytes) -> bool:
        whole = self._splitter.feed(chunk)
        if whole is None:
            self._is_flooded = self._splitter.is_flooded
            return not self._is_flooded
        return self._pass_on(whole.data, whole.count, whole.last_event_id)

    def _pass_on(self, data: bytes, count: int, last_event_id: str) -> bool:
        if self._is_cancelled or self._sink is None or self._head is None:
            return False
        if not self._has_begun and not self._sink.begin(self._visible_head(self._head)):
            self._is_refused_by_sink = True
            return False
        self._has_begun = True
        self._events += count
        self._last_event_id = last_event_id or self._last_event_id
        if not self._sink.write(data):
            self._is_refused_by_sink = True
            return False
        return True

    def _end_of_stream(self, reply: HttpReply) -> AttemptOutcome:
        rest = self._splitter.rest
        is_framed = "content-length" in reply.headers or "transfer-encoding" in reply.headers
        if rest and not is_framed:
            return self._broken("the stream ended within an event", is_death=True)
        if rest and not self._pass_on(rest, 0, ""):
            return CallerLeft()
        if not self._has_begun:
            return Answered(WholeAnswer(self._visible_head(reply), b""), is_failure=False)
        return StreamEnded(self._events)

    def _failure(self, failure: HttpFailure) -> AttemptOutcome:
        if self._is_flooded:
            return self._broken("bytes without end that are no event")
        if failure.stage is FailureStage.NOT_SENT:
            return NotRun(failure.reason, is_sent=False)
        return self._broken(failure.reason, failure.stage is FailureStage.CONNECTION_LOST)

    def _broken(self, reason: str, is_death: bool = False) -> AttemptOutcome:
        if not self._has_begun:
            return Lost(reason, is_death)
        return StreamBroken(reason, self._last_event_id, self._events, is_death)


def answer_head(reply: HttpReply) -> AnswerHead:
    """Return the head of an answer as it is passed on."""
    return AnswerHead(reply.status, reply.reason, end_to_end_headers(reply.header_lines))
