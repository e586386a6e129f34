"""Whether a request is to blame for what became of the endpoint that ran it.

A refused connection right after a loss proves that the endpoint ended. Where nothing proves it at
once, the loss is remembered: the endpoint's entry lapses, or names another run, some seconds later.

A request whose answer had begun to arrive is less suspect than one that had only been sent: most
requests that an endpoint takes down with it are in the midst of their answers.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections import Counter
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.hashing import fingerprint_of
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_core.recent_map import RecentMap
from primroseferry_policy.suspicion import DEATHS_TO_QUARANTINE

from .attempts.outcome import Answered
from .attempts.outcome import CallerLeft
from .attempts.outcome import Lost
from .attempts.outcome import StreamBroken
from .attempts.outcome import StreamEnded
from .endpoints.probe import PortState
from .endpoints.probe import probe_port
from .membership.datagrams import Blame

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseferry_policy.quarantine import Admission
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import ToldSuspicion

    from .attempts.outcome import AttemptOutcome
    from .endpoints.catalog import EndpointCatalog
    from .endpoints.endpoint import Endpoint
    from .endpoints.endpoint import EndpointRun
    from .messages import RelayRequest

# The entry of an endpoint that ended lapses within this time of the loss.
LAPSE_S = 10.0
MAX_UNEXPLAINED = 4_096
MAX_ENDED_RUNS = 1_024
CRASHED_DETAIL = "endpoints that ran this request crashed"
_CREDENTIAL_HEADER = "authorization"


class Verdict(Enum):
    """What a loss says of the request that was lost; a label of metrics and log lines."""

    DEATH = "endpoint-died"
    DEATH_FOUND_LATER = "endpoint-died-found-later"
    MIDWAY = "broke-after-the-answer-began"
    BREAK = "connection-broke-on-living-endpoint"
    UNEXPLAINED = "unexplained"
    LEAVING = "endpoint-was-leaving"


class BlameTeller(Protocol):
    """Tells the other gateways of blames."""

    def tell_blame(self, blame: Blame) -> None:
        """Tell every gateway of a request that an endpoint died of."""

    def tell_suspicion(self, told: ToldSuspicion) -> None:
        """Tell every gateway all that is held against a request."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request as the quarantine knows it.

    ``trial`` is the trial that it is sent in, empty for none; ``admitted_level`` what was held
    against it when it was admitted.
    """

    fingerprint: Fingerprint
    trial: str = ""
    admitted_level: int = 0


@dataclass(frozen=True, slots=True)
class _UnexplainedLoss:
    """``observation`` is the break or trial that a death found later replaces, or empty."""

    at_s: float
    wall_s: float
    run: EndpointRun
    fingerprint: Fingerprint
    request_id: str
    observation: str


class CrashJudge:
    """Judges each attempt's outcome and keeps count of the verdicts."""

    def __init__(
        self, quarantine: Quarantine, catalog: EndpointCatalog, teller: BlameTeller
    ) -> None:
        self._quarantine = quarantine
        self._catalog = catalog
        self._teller = teller
        self._verdicts: Counter[Verdict] = Counter()
        self._unexplained: deque[_UnexplainedLoss] = deque(maxlen=MAX_UNEXPLAINED)
        # Whether each run that ended lately had said that it leaves.
        self._ended: RecentMap[EndpointRun, bool] = RecentMap(MAX_ENDED_RUNS)
        self._lock = threading.Lock()
        catalog.on_run_ended = self.note_run_ended

    def verdicts(self) -> Mapping[Verdict, int]:
        """Return how often each verdict was given."""
        with self._lock:
            return dict(self._verdicts)

    def admit(self, fingerprint: Fingerprint) -> Admission:
        """Return whether a request may be sent now; a trial is told to every gateway at once."""
        admission = self._quarantine.admit(fingerprint)
        told = self._quarantine.find(fingerprint) if admission.trial else None
        if told is not None:
            self._teller.tell_suspicion(told)
        return admission

    def take_back(self, suspect: Suspect) -> None:
        """End a trial in which no endpoint was lost."""
        if suspect.trial:
            self._quarantine.drop(suspect.fingerprint, suspect.trial)

    def is_quarantined_since(self, suspect: Suspect) -> bool:
        """Whether so much came to be held against a request that it is sent no further."""
        level = self._quarantine.level(suspect.fingerprint)
        return level >= DEATHS_TO_QUARANTINE and level > suspect.admitted_level

    def judge(
        self, endpoint: Endpoint, suspect: Suspect, request_id: str, outcome: AttemptOutcome
    ) -> None:
        """Learn from one attempt on an endpoint."""
        match outcome:
            case Lost(reason) | StreamBroken(reason):
                has_begun = isinstance(outcome, StreamBroken) and outcome.events > 0
                verdict = self._verdict(endpoint, outcome.is_death)
                if has_begun and verdict in (Verdict.DEATH, Verdict.BREAK):
                    verdict = Verdict.MIDWAY
                self._hold(verdict, endpoint.run, suspect, request_id, reason)
            case CallerLeft():
                self._remember(endpoint.run, suspect, request_id, suspect.trial)
            case Answered(answer) if not 200 <= answer.head.status < 300:
                self.take_back(suspect)
            case Answered() | StreamEnded():
                self._quarantine.clear(suspect.fingerprint)

    def note_run_ended(self, endpoint: Endpoint, was_leaving: bool) -> None:
        """Take in that a run of an endpoint is no longer listed."""
        run = endpoint.run
        now_s = time.monotonic()
        with self._lock:
            self._ended.put(run, was_leaving)
            lost = [one for one in self._unexplained if one.run == run]
            self._unexplained = deque(
                (one for one in self._unexplained if one.run != run), MAX_UNEXPLAINED
            )
        if was_leaving:
            return
        for one in lost:
            if now_s - one.at_s <= LAPSE_S:
                self._quarantine.confirm(
                    one.fingerprint, one.observation, _death_of(run, one.wall_s)
                )
                self._log(
                    Verdict.DEATH_FOUND_LATER, run, one.fingerprint, one.request_id, "entry lapsed"
                )

    def _verdict(self, endpoint: Endpoint, is_broken: bool) -> Verdict:
        run = endpoint.run
        with self._lock:
            was_leaving = self._ended.get(run)
        if was_leaving or self._catalog.is_leaving(run):
            return Verdict.LEAVING
        if was_leaving is False:
            return Verdict.DEATH
        if not is_broken:
            return Verdict.UNEXPLAINED
        is_gone = probe_port(endpoint.address) is PortState.REFUSED
        return Verdict.DEATH if is_gone else Verdict.BREAK

    def _hold(
        self, verdict: Verdict, run: EndpointRun, suspect: Suspect, request_id: str, reason: str
    ) -> None:
        fingerprint = suspect.fingerprint
        self._log(verdict, run, fingerprint, request_id, reason)
        match verdict:
            case Verdict.DEATH:
                death = _death_of(run, time.time())
                self._quarantine.confirm(fingerprint, suspect.trial, death)
                self._teller.tell_blame(Blame(fingerprint, death))
            case Verdict.BREAK if not suspect.trial:
                observation = _new_break()
                self._quarantine.note_break(fingerprint, observation)
                self._remember(run, suspect, request_id, observation)
            case Verdict.MIDWAY if not suspect.trial:
                self._quarantine.note_break(fingerprint, _new_break())
            case Verdict.BREAK | Verdict.UNEXPLAINED | Verdict.MIDWAY:
                self._remember(run, suspect, request_id, suspect.trial)
            case Verdict.LEAVING:
                self.take_back(suspect)

    def _remember(
        self, run: EndpointRun, suspect: Suspect, request_id: str, observation: str
    ) -> None:
        loss = _UnexplainedLoss(
            time.monotonic(), time.time(), run, suspect.fingerprint, request_id, observation
        )
        with self._lock:
            self._unexplained.append(loss)

    def _log(
        self,
        verdict: Verdict,
        run: EndpointRun,
        fingerprint: Fingerprint,
        request_id: str,
        reason: str,
    ) -> None:
        with self._lock:
            self._verdicts[verdict] += 1
        is_death = verdict in (Verdict.DEATH, Verdict.DEATH_FOUND_LATER)
        log_event(
            Event.FINGERPRINT_BLAMED if is_death else Event.LOSS_NOT_BLAMED,
            request_id=request_id,
            fingerprint=fingerprint,
            endpoint=run.endpoint,
            verdict=verdict.value,
            reason=reason,
        )


def fingerprint_of_request(request: RelayRequest) -> Fingerprint:
    """Return what a request is known by when its caller sends it again.

    It tells nothing of the content. A caller is known by its credential, or else by its address.
    """
    caller = request.caller
    for header in request.headers:
        if header.name.lower() == _CREDENTIAL_HEADER:
            caller = header.value
    return Fingerprint(fingerprint_of(caller, request.target, request.body))


def _new_break() -> str:
    return f"{secrets.token_hex(4)}@{int(time.time())}"


def _death_of(run: EndpointRun, wall_s: float) -> str:
    """Return the name of a run's death under a request that was lost at that time.

    A run whose start is not known is told from the next one of its endpoint by the time alone.
    """
    source = f"{run.endpoint}/{run.started_ms}" if run.started_ms else run.endpoint
    return f"{source}@{int(wall_s)}"
