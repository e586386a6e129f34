"""The outcome of an attempt that is cancelled."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import cast

import pytest
from primroseferry_relay.attempts.attempt_call import AttemptCall
from primroseferry_relay.attempts.outcome import Answered
from primroseferry_relay.attempts.outcome import AttemptOutcome
from primroseferry_relay.attempts.outcome import CallerLeft
from primroseferry_relay.messages import CompleteAnswer
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpFailure
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop
    from result import Result

REPLY = HttpReply(200, {}, b"whole")


@dataclass
class DonePending:
    """A call that has ended when it is cancelled."""

    future: Future[object] = field(default_factory=Future)

    def cancel(self) -> None:
        """Do nothing: the call has ended."""


class DoneLoop:
    """Ends each call at once with a result."""

    def __init__(self, result: Result[HttpReply, HttpFailure]) -> None:
        self._result = result

    def submit(self, _call: HttpCall) -> DonePending:
        pending = DonePending()
        pending.future.set_result(self._result)
        return pending


class PlainCall(AttemptCall):
    def _http_call(self) -> HttpCall:
        return HttpCall("GET", "http://127.0.0.1:1/", connect_timeout_ms=1, timeout_ms=1)

    def _outcome_of_reply(self, reply: HttpReply) -> AttemptOutcome:
        return Answered(CompleteAnswer(self._forwarded_head(reply), reply.body), is_failure=False)


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (Ok(REPLY), Answered),
        (Err(HttpFailure(FailureStage.NOT_SENT, "cancelled")), CallerLeft),
    ],
)
def test_cancelled_attempt_gives_the_answer_that_arrived_before(
    result: Result[HttpReply, HttpFailure], outcome: type
) -> None:
    call = PlainCall(cast("CurlLoop", DoneLoop(result)), None)
    call.cancel()
    assert isinstance(call.run(), outcome)
