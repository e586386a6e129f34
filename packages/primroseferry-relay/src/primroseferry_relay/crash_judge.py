"""Whether a request is to blame for what became of the endpoint that ran it."""

from __future__ import annotations

import threading
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.hashing import fingerprint_of
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event

from .attempts.outcome import Answered
from .attempts.outcome import Lost
from .attempts.outcome import StreamBroken
from .attempts.outcome import StreamEnded
from .endpoints.probe import is_listening
from .membership.datagrams import Blame

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseferry_policy.quarantine import Quarantine

    from .attempts.outcome import AttemptOutcome
    from .endpoints.endpoint import Endpoint
    from .messages import RelayRequest


class Verdict(Enum):
    """What a loss says of the request that was lost; a label of metrics and log lines."""

    DEATH = "endpoint-died"
    ALIVE = "endpoint-takes-connections"
    NOT_BROKEN = "connection-did-not-break"
    NO_BODY = "request-without-body"


class BlameTeller(Protocol):
    """Tells the other gateways of blames."""

    def tell_blame(self, blame: Blame) -> None:
        """Tell every gateway of a request that an endpoint died of."""


class CrashJudge:
    """Judges each attempt's outcome and keeps count of the verdicts."""

    def __init__(self, quarantine: Quarantine, teller: BlameTeller) -> None:
        self._quarantine = quarantine
        self._teller = teller
        self._verdicts: Counter[Verdict] = Counter()
        self._lock = threading.Lock()

    def verdicts(self) -> Mapping[Verdict, int]:
        """Return how often each verdict was given."""
        with self._lock:
            return dict(self._verdicts)

    def judge(
        self, endpoint: Endpoint, request: RelayRequest, request_id: str, outcome: AttemptOutcome
    ) -> None:
        """Learn from one attempt on an endpoint.

        Requests without a body look all alike and are not told apart by a fingerprint.
        """
        match outcome:
            case Lost() | StreamBroken():
                verdict = self._verdict(endpoint, request, outcome.is_death)
                self._note(verdict, endpoint, request, request_id, outcome.reason)
            case Answered(is_failure=False) | StreamEnded():
                self._quarantine.clear(fingerprint_of_request(request))

    def _verdict(self, endpoint: Endpoint, request: RelayRequest, is_broken: bool) -> Verdict:
        if not is_broken:
            return Verdict.NOT_BROKEN
        if not request.body:
            return Verdict.NO_BODY
        return Verdict.ALIVE if is_listening(endpoint.address) else Verdict.DEATH

    def _note(
        self,
        verdict: Verdict,
        endpoint: Endpoint,
        request: RelayRequest,
        request_id: str,
        reason: str,
    ) -> None:
        with self._lock:
            self._verdicts[verdict] += 1
        fingerprint = fingerprint_of_request(request)
        log_event(
            Event.FINGERPRINT_BLAMED if verdict is Verdict.DEATH else Event.LOSS_NOT_BLAMED,
            request_id=request_id,
            fingerprint=fingerprint,
            endpoint=endpoint.endpoint,
            verdict=verdict.value,
            reason=reason,
        )
        if verdict is Verdict.DEATH:
            death = f"{endpoint.endpoint}/{endpoint.started_ms}@{int(time.time())}"
            self._quarantine.blame(fingerprint, [death])
            self._teller.tell_blame(Blame(fingerprint, death))


def fingerprint_of_request(request: RelayRequest) -> Fingerprint:
    """Return what a request is known by when it comes again; it tells nothing of the content."""
    return Fingerprint(fingerprint_of("", request.target, request.body))
