"""The base of all attempts: sends a request once and forwards the answer as it arrives."""

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

from ..endpoints.software_version import UNKNOWN_VERSION
from ..messages import AnswerHead
from ..messages import CompleteAnswer
from ..messages import end_to_end_headers
from .event_splitter import EventSplitter
from .event_splitter import parse_events
from .outcome import Answered
from .outcome import AttemptOutcome
from .outcome import CallerLeft
from .outcome import Lost
from .outcome import Moved
from .outcome import NotRun
from .outcome import StreamBroken
from .outcome import StreamEnded

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.calls import HttpCall
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import PendingCall
    from result import Result

    from ..endpoints.software_version import VersionHash
    from ..streams.stream_binding import StreamBinding
    from .event_splitter import CompleteEvents


OTHER_STREAM_REASON = "the answer does not continue the stream"
OTHER_VERSION_REASON = "the answer is from another software version than the stream"
# Longer ids are compared as text only.
MAX_ID_DIGITS = 18
# After these the receiver has no part of the request, or its connection or answer has ended.
_ENDED_STAGES = frozenset({FailureStage.NOT_SENT, FailureStage.CONNECTION_LOST})


class StreamSink(Protocol):
    """Receives the events of a stream.

    The methods run on the thread of the event loop. Each returns ``False`` to stop the attempt.
    """

    def begin(self, head: AnswerHead) -> bool:
        """Receive the head of the answer, immediately before the first event."""

    def write(self, data: bytes) -> bool:
        """Receive the bytes of one or more complete events."""

    @property
    def is_behind(self) -> bool:
        """Whether the receiver has not taken all events yet, for which the endpoint may wait."""


class AttemptCall(ABC):
    """Runs one HTTP call and returns its outcome.

    With a ``sink``, the answer is a stream and each complete event is forwarded as it arrives.
    Without one, the answer is buffered. ``resumed_after`` is the id after which a resumed stream
    must go on, empty for none; an answer that does not is not forwarded. Neither is one of another
    software version than ``binding``, if there is one, permits. ``first_byte_s`` is the monotonic
    time of the answer's head, ``None`` before it. ``ended_by_deadline`` is set when the call failed
    at its time limit, ``may_still_run`` when this gateway ended it and the receiver may go on.
    """

    def __init__(
        self,
        loop: CurlLoop,
        sink: StreamSink | None,
        resumed_after: str = "",
        binding: StreamBinding | None = None,
    ) -> None:
        self._loop = loop
        self._resumed_after = resumed_after
        self._binding = binding
        self._mismatch_reason = ""
        self._sink = sink
        self._splitter = EventSplitter()
        self._head: HttpReply | None = None
        self._event_count = 0
        self._last_event_id = ""
        self._has_sent_head = False
        self._is_stopped_by_sink = False
        self._is_event_too_long = False
        self._pending: PendingCall | None = None
        self._is_cancelled = False
        self._move_reason = ""
        self.first_byte_s: float | None = None
        self.ended_by_deadline = False
        self.may_still_run = False

    def run(self) -> AttemptOutcome:
        """Send the request, wait until the call ends and return the outcome."""
        call = self._http_call()
        started_s = time.monotonic()
        self._pending = self._loop.submit(call)
        if self._is_cancelled:
            self._pending.cancel()
        outcome = self._outcome(self._pending.future.result(), started_s, call.timeout_ms)
        if self._move_reason and isinstance(outcome, CallerLeft) and not self._is_stopped_by_sink:
            return Moved(self._move_reason, self._last_event_id, self._event_count)
        return outcome

    def _outcome(
        self, result: Result[HttpReply, HttpFailure], started_s: float, timeout_ms: float
    ) -> AttemptOutcome:
        self.may_still_run = isinstance(result, Err) and result.err_value.stage not in _ENDED_STAGES
        # A whole answer may have arrived just before the call was cancelled.
        is_cancelled = self._is_cancelled and isinstance(result, Err)
        if is_cancelled or self._is_stopped_by_sink:
            return CallerLeft()
        match result:
            case Ok(reply):
                return self._outcome_of_reply(reply)
            case Err(failure):
                elapsed_ms = (time.monotonic() - started_s) * 1000
                self.ended_by_deadline = elapsed_ms >= timeout_ms - 1
                return self._outcome_of_failure(failure)

    def cancel(self) -> None:
        """Cancel the call, so that the receiver stops its work: the caller has disconnected."""
        self._is_cancelled = True
        pending = self._pending
        if pending is not None:
            pending.cancel()

    def move(self, reason: str) -> None:
        """Cancel the call, so that the stream goes on at another endpoint after its last event."""
        self._move_reason = reason
        self.cancel()

    @property
    def event_count(self) -> int:
        """The number of events that were forwarded."""
        return self._event_count

    @property
    def can_go_on_elsewhere(self) -> bool:
        """Whether another endpoint can tell which events were forwarded."""
        return self._event_count == 0 or bool(self._last_event_id)

    def release(self) -> None:
        """Count the answer's bytes among those of the process no more, and let go of them.

        The HTTP call refers to this attempt. Bodies in a reference cycle would live on until the
        garbage collector runs, and no limit counts them.
        """
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.release()

    def offer(self, give_up: Callable[[], bool]) -> None:
        """Let ``give_up`` end the sending of the answer when others need its memory."""
        if self._pending is not None:
            self._pending.offer(give_up)

    @abstractmethod
    def _http_call(self) -> HttpCall:
        """Return the HTTP call to send."""

    @abstractmethod
    def _outcome_of_reply(self, reply: HttpReply) -> AttemptOutcome:
        """Return the outcome of an answer that was received completely."""

    def _forwarded_head(self, reply: HttpReply) -> AnswerHead:
        return answer_head(reply)

    def _on_head(self, head: HttpReply) -> bool:
        self.first_byte_s = time.monotonic()
        self._head = head
        return True

    def _on_chunk(self, chunk: bytes) -> bool:
        complete = self._splitter.feed(chunk)
        if complete is None:
            self._is_event_too_long = self._splitter.is_event_too_long
            return not self._is_event_too_long
        return self._forward_events(complete)

    def _held_bytes(self) -> int:
        return self._splitter.incomplete_bytes

    def _forward_events(self, events: CompleteEvents) -> bool:
        if self._is_cancelled or self._sink is None or self._head is None:
            return False
        if not self._has_sent_head:
            self._mismatch_reason = self._find_mismatch(events)
            if self._mismatch_reason:
                return False
        if not self._has_sent_head and not self._sink.begin(self._forwarded_head(self._head)):
            self._is_stopped_by_sink = True
            return False
        self._has_sent_head = True
        self._event_count += events.count
        self._last_event_id = events.last_event_id or self._last_event_id
        if not self._sink.write(events.data):
            self._is_stopped_by_sink = True
            return False
        return True

    def _find_mismatch(self, events: CompleteEvents) -> str:
        """Return why an answer is not the stream's, empty if it is."""
        if not _continues(events, self._resumed_after):
            return OTHER_STREAM_REASON
        if self._binding is not None and not self._binding.begin(self._written_version()):
            return OTHER_VERSION_REASON
        return ""

    def _written_version(self) -> VersionHash:
        """Return the software version of the endpoint that wrote the answer."""
        return UNKNOWN_VERSION

    def _outcome_of_stream(self, reply: HttpReply) -> AttemptOutcome:
        incomplete_event = self._splitter.incomplete_event
        if incomplete_event and not reply.is_framed:
            return self._interrupted(
                "the stream ended in the middle of an event", is_connection_lost=True
            )
        if incomplete_event and not self._forward_events(parse_events(incomplete_event)):
            if self._mismatch_reason:
                return self._interrupted(self._mismatch_reason)
            return CallerLeft()
        if not self._has_sent_head:
            answer = CompleteAnswer(self._forwarded_head(reply), b"")
            return Answered(answer, is_failure=False, is_framed=reply.is_framed)
        return StreamEnded(self._event_count, reply.is_framed)

    def _outcome_of_failure(self, failure: HttpFailure) -> AttemptOutcome:
        if self._mismatch_reason:
            return self._interrupted(self._mismatch_reason)
        if self._is_event_too_long:
            return self._interrupted("an event of the answer exceeds the size limit")
        if failure.stage is FailureStage.NOT_SENT:
            return NotRun(failure.reason, is_sent=False)
        if failure.stage is FailureStage.INVALID_ANSWER and not self._has_sent_head:
            return Lost(failure.reason, is_answer_invalid=True)
        return self._interrupted(
            failure.reason,
            failure.stage is FailureStage.CONNECTION_LOST,
            failure.stage is FailureStage.NO_MEMORY,
        )

    def _interrupted(
        self, reason: str, is_connection_lost: bool = False, exceeds_memory: bool = False
    ) -> AttemptOutcome:
        if not self._has_sent_head:
            return Lost(reason, is_connection_lost, exceeds_memory=exceeds_memory)
        return StreamBroken(
            reason, self._last_event_id, self._event_count, is_connection_lost, exceeds_memory
        )


def _continues(events: CompleteEvents, resumed_after: str) -> bool:
    """Whether the first events of an answer follow the event with the id ``resumed_after``."""
    if not resumed_after:
        return True
    first = events.first_event_id
    if all(_is_number(event_id) for event_id in (first, resumed_after)):
        return int(first) > int(resumed_after)
    return first not in ("", resumed_after)


def _is_number(event_id: str) -> bool:
    return event_id.isascii() and event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS


def answer_head(reply: HttpReply) -> AnswerHead:
    """Return the head of an answer without the headers of its connection."""
    return AnswerHead(reply.status, reply.reason, end_to_end_headers(reply.header_lines))
