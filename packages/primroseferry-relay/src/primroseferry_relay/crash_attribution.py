"""Decides whether a request caused the loss of the endpoint that ran it.

A connection refused right after an attempt was lost proves that the endpoint process ended.
Without that proof the loss is recorded and counts as a crash only if the endpoint's entry expires,
or names another run of the process, within ``ENTRY_EXPIRY_S``.

A crash after the answer began counts less than one before it: most of the requests that are lost
together with a crashed endpoint are partly answered.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.ids import EndpointId
from primroseferry_core.logs import log_event
from primroseferry_policy.open_loss import OpenLoss
from primroseferry_policy.quarantine import PartLoss
from primroseferry_policy.suspicion import DEATHS_TO_QUARANTINE
from primroseferry_policy.token_bucket import TokenBucket
from primroseferry_transport.port_probe import PortState
from primroseferry_transport.port_probe import probe_port

from .attempts.outcome import Answered
from .attempts.outcome import CallerLeft
from .attempts.outcome import Lost
from .attempts.outcome import StreamBroken
from .attempts.outcome import StreamEnded
from .membership.datagrams import Blame
from .membership.suspicion_sync import SUSPICIONS_PER_DATAGRAM
from .suspect import Admittance
from .suspect import Suspect
from .suspect import SuspectPart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import Fingerprint
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import SuspicionReport

    from .attempts.outcome import AttemptOutcome
    from .endpoints.catalog import EndpointCatalog
    from .endpoints.endpoint import Endpoint
    from .endpoints.endpoint import EndpointRun

# The entry of an endpoint whose process ended expires within this time of the loss.
ENTRY_EXPIRY_S = 10.0
MAX_UNEXPLAINED = 4_096
MAX_ENDED_RUNS = 1_024
MAX_LOGGED_PARTS = 8
# How long a group of gateways waits for those before it to try a held part.
TRIAL_STAGGER_S = 1.0
# Suspicions against parts that this gateway sends to all others by itself. Where many endpoints end
# at once, the rest is exchanged with the other suspicions.
MAX_PART_REPORTS_PER_S = 5.0
# Losses without a proved cause that all gateways together report. Reports of requests that were
# lost before come first.
MAX_LOSS_REPORTS_PER_S = 5.0
MAX_LOSS_REPORTS_AT_ONCE = 4.0
RESERVED_LOSS_REPORTS = 2.0
HELD_PART_DETAIL = "endpoints that ran prompts with one of its parts crashed"
CRASHED_DETAIL = "endpoints that ran this request crashed"


class Verdict(Enum):
    """Cause assigned to a lost attempt; the values are labels of metrics and log lines."""

    CRASH = "endpoint-died"
    CRASH_FOUND_LATER = "endpoint-died-found-later"
    CRASH_AFTER_START = "endpoint-died-after-the-answer-began"
    BREAK_AFTER_START = "broke-after-the-answer-began"
    BREAK = "connection-broke-on-living-endpoint"
    UNEXPLAINED = "unexplained"
    LEAVING = "endpoint-was-leaving"


class BlameReporter(Protocol):
    """Reports blame and suspicion of requests to the other gateways."""

    def send_blame(self, blame: Blame) -> None:
        """Report to every gateway that an endpoint crashed while it ran a request."""

    def send_suspicions(self, reports: Sequence[SuspicionReport]) -> None:
        """Report to every gateway all observations recorded against requests or parts."""


@dataclass(frozen=True, slots=True)
class _UnexplainedLoss:
    """A lost attempt without a proved cause.

    ``at_s`` is the monotonic time and ``wall_s`` the wall-clock time of the loss.
    ``observation`` is the id of the recorded break or trial that a crash found later replaces, or
    empty. ``has_begun``: the answer had begun, and the request is not on trial. ``is_answered``: an
    answer without a length or chunks ended; it counts as complete once the run has outlived it.
    """

    at_s: float
    wall_s: float
    run: EndpointRun
    suspect: Suspect
    request_id: str
    observation: str
    has_begun: bool = False
    is_answered: bool = False


class CrashAttribution:
    """Blames requests for endpoint crashes and counts the verdicts."""

    def __init__(
        self,
        quarantine: Quarantine,
        catalog: EndpointCatalog,
        reporter: BlameReporter,
        clock_s: Callable[[], float] = time.monotonic,
        wall_clock_s: Callable[[], float] = time.time,
        probe: Callable[[str], PortState] = probe_port,
        trial_rank: Callable[[str], int | None] = lambda _key: 0,
        is_partitioned: Callable[[], bool] = lambda: False,
        live_count: Callable[[], int] = lambda: 1,
    ) -> None:
        """``trial_rank`` returns this gateway's place among all for trials of a part.

        ``live_count`` returns the number of live gateways, which share the reports of losses.

        ``is_partitioned`` returns whether this gateway reaches no endpoint. What breaks then says
        nothing about the endpoints.
        """
        self._is_partitioned = is_partitioned
        self._trial_rank = trial_rank
        self._part_reports = TokenBucket(
            MAX_PART_REPORTS_PER_S, MAX_PART_REPORTS_PER_S, clock_s, MAX_PART_REPORTS_PER_S
        )
        self._live_count = live_count
        self._loss_reports = TokenBucket(
            MAX_LOSS_REPORTS_PER_S, MAX_LOSS_REPORTS_AT_ONCE, clock_s, MAX_LOSS_REPORTS_AT_ONCE
        )
        # Called with a request that was lost more than once, before it is sent again.
        self.on_repeated_loss: Callable[[SuspicionReport], None] = lambda _report: None
        self._clock_s = clock_s
        self._wall_clock_s = wall_clock_s
        self._probe = probe
        self._quarantine = quarantine
        self._catalog = catalog
        self._reporter = reporter
        self._verdicts: Counter[Verdict] = Counter()
        self._unexplained: deque[_UnexplainedLoss] = deque(maxlen=MAX_UNEXPLAINED)
        # Recently ended runs, each with whether it had announced that it was leaving.
        self._ended_runs: BoundedMap[EndpointRun, bool] = BoundedMap(MAX_ENDED_RUNS)
        self._lock = threading.Lock()
        catalog.on_run_ended = self.note_run_ended
        catalog.on_listed = self.note_listed

    def verdicts(self) -> Mapping[Verdict, int]:
        """Return how many times each verdict was given."""
        with self._lock:
            return dict(self._verdicts)

    def admit(self, suspect: Suspect) -> Admittance:
        """Return whether a request may be sent now, and report new trials to every gateway.

        A request that comes with the trial of another gateway was admitted there.
        """
        self._accept_unframed_answers()
        admittance = self._admit_parts(suspect)
        suspect = admittance.suspect
        if admittance.wait_s > 0 or suspect.trial:
            return admittance
        admission = self._quarantine.admit(suspect.fingerprint)
        if admission.wait_s > 0:
            self.withdraw_trial(suspect)
            return Admittance(suspect, admission.wait_s)
        if admission.trial:
            self._report_suspicion(suspect.fingerprint)
        level = self._quarantine.level(suspect.fingerprint)
        return Admittance(replace(suspect, trial=admission.trial, admitted_level=level))

    def withdraw_trial(self, suspect: Suspect) -> None:
        """Withdraw the trials that a request is on, because no endpoint was lost in them."""
        if suspect.trial:
            self._quarantine.retract(suspect.fingerprint, suspect.trial)
        for part in suspect.parts:
            if part.trial:
                self._quarantine.retract(part.key, part.trial)

    def is_quarantined_since(self, suspect: Suspect) -> bool:
        """Whether the request, or a part of it, reached quarantine or a higher level of it.

        What counts is the level since the request was admitted.
        """
        admitted = [(suspect.fingerprint, suspect.admitted_level)]
        admitted += [(part.key, part.admitted_level) for part in suspect.parts]
        return any(
            (level := self._quarantine.level(key)) >= DEATHS_TO_QUARANTINE and level > before
            for key, before in admitted
        )

    def held_part(self, suspect: Suspect) -> SuspectPart | None:
        """Return a part of the request's prompt that is held back, ``None`` if none is."""
        for part in suspect.parts:
            if self._quarantine.level(part.key) >= DEATHS_TO_QUARANTINE:
                return part
        return None

    def _admit_parts(self, suspect: Suspect) -> Admittance:
        """Admit the shared parts of a prompt, all or none of them."""
        held = [
            part
            for part in suspect.parts
            if not part.trial and self._quarantine.level(part.key) >= DEATHS_TO_QUARANTINE
        ]
        for part in held:
            wait_s = self._part_wait_s(part)
            if wait_s > 0:
                return Admittance(suspect, wait_s, part.key)
        on_trial: dict[Fingerprint, SuspectPart] = {}
        for part in held:
            admission = self._quarantine.admit(part.key)
            if admission.wait_s > 0:
                self.withdraw_trial(replace(suspect, trial="", parts=tuple(on_trial.values())))
                return Admittance(suspect, admission.wait_s, part.key)
            level = self._quarantine.level(part.key)
            on_trial[part.key] = replace(part, trial=admission.trial, admitted_level=level)
            self._report_suspicion(part.key)
        parts = tuple(on_trial.get(part.key, part) for part in suspect.parts)
        return Admittance(replace(suspect, parts=parts))

    def _part_wait_s(self, part: SuspectPart) -> float:
        """Return the seconds until this gateway may send a prompt with a held part on trial.

        Prompts with the part come to all gateways at once. They may try it one after the other, in
        groups that double, so that two trials at the same time are rare.
        """
        rank = self._trial_rank(part.key)
        if rank is None:
            return max(TRIAL_STAGGER_S, self._quarantine.wait_s(part.key))
        return self._quarantine.wait_s(part.key, rank.bit_length() * TRIAL_STAGGER_S)

    def record_outcome(
        self, endpoint: Endpoint, suspect: Suspect, request_id: str, outcome: AttemptOutcome
    ) -> None:
        """Update blame and suspicion of a request from the outcome of one attempt."""
        match outcome:
            case Lost(is_answer_invalid=True):
                self.withdraw_trial(suspect)
            case Lost(exceeds_memory=True) | StreamBroken(exceeds_memory=True) | CallerLeft():
                self._add_unexplained(endpoint.run, suspect, request_id, suspect.trial)
            case Lost(reason) | StreamBroken(reason):
                has_begun = isinstance(outcome, StreamBroken) and outcome.events > 0
                verdict = self._find_verdict(endpoint, outcome.is_connection_lost)
                if has_begun and verdict is Verdict.CRASH:
                    verdict = Verdict.CRASH_AFTER_START
                if has_begun and verdict is Verdict.BREAK:
                    verdict = Verdict.BREAK_AFTER_START
                self._record_loss(verdict, endpoint.run, suspect, request_id, reason)
            case Answered(answer) if not 200 <= answer.head.status < 300:
                self.withdraw_trial(suspect)
            case Answered(is_framed=False) | StreamEnded(is_framed=False):
                self._add_unexplained(
                    endpoint.run, suspect, request_id, suspect.trial, is_answered=True
                )
            case Answered() | StreamEnded():
                self._clear(suspect, None)

    def note_run_ended(self, endpoint: Endpoint, was_leaving: bool) -> None:
        """Record that a run left the catalog and blame the requests lost on it shortly before.

        A loss counts if it is at most ``ENTRY_EXPIRY_S`` old. A run that had announced that it was
        leaving causes no blame.
        """
        run = endpoint.run
        now_s = self._clock_s()
        with self._lock:
            self._ended_runs.put(run, was_leaving)
            losses = [loss for loss in self._unexplained if loss.run == run]
            self._unexplained = deque(
                (loss for loss in self._unexplained if loss.run != run), MAX_UNEXPLAINED
            )
        self._settle_losses_of(run, was_leaving)
        if was_leaving:
            return
        for loss in losses:
            if now_s - loss.at_s <= ENTRY_EXPIRY_S:
                confirm = (
                    self._quarantine.confirm_started_crash
                    if loss.has_begun or (loss.is_answered and not loss.observation)
                    else self._quarantine.confirm_crash
                )
                crash = _crash_id(run, loss.wall_s)
                confirm(loss.suspect.fingerprint, loss.observation, crash)
                self._blame_parts(loss.suspect, crash)
                self._log_verdict(
                    Verdict.CRASH_FOUND_LATER,
                    run,
                    loss.suspect,
                    loss.request_id,
                    "entry expired",
                )

    def note_listed(self) -> None:
        """Take runs for crashed that are missing from a complete listing and have open losses.

        No gateway saw how they ended, or it would have replaced or retracted the losses.
        """
        for found in self._quarantine.open_losses():
            endpoint = self._catalog.find(EndpointId(found.loss.endpoint))
            if endpoint is None or _source(endpoint.run) != found.loss.run:
                self._quarantine.confirm_loss(found.fingerprint, found.loss)

    def _settle_losses_of(self, run: EndpointRun, was_leaving: bool) -> None:
        """Replace the open losses on a run that ended by a crash, or retract them."""
        earliest_s = self._wall_clock_s() - ENTRY_EXPIRY_S
        for found in self._quarantine.open_losses():
            if found.loss.run != _source(run):
                continue
            if was_leaving or found.loss.at_s < int(earliest_s):
                self._quarantine.retract(found.fingerprint, found.loss.id)
            else:
                self._quarantine.confirm_loss(found.fingerprint, found.loss)

    def _report_open_loss(
        self, run: EndpointRun, suspect: Suspect, observation: str = "", has_begun: bool = False
    ) -> None:
        """Report a loss whose cause may be found when this gateway has ended."""
        if suspect.trial:
            return
        known = self._quarantine.find(suspect.fingerprint)
        is_first = known is None or (known.suspicion.is_empty and not known.suspicion.losses)
        rate = MAX_LOSS_REPORTS_PER_S / self._live_count()
        self._loss_reports.set_rate(rate, MAX_LOSS_REPORTS_AT_ONCE)
        if self._loss_reports.take(RESERVED_LOSS_REPORTS if is_first else 0.0) > 0:
            return
        crash = _crash_id(run, self._wall_clock_s())
        report = self._quarantine.record_loss(
            suspect.fingerprint, OpenLoss(crash, observation, has_begun)
        )
        self._reporter.send_suspicions([report])
        if report.suspicion.is_repeated:
            self.on_repeated_loss(report)

    def _accept_unframed_answers(self) -> None:
        """Clear requests whose endpoint still ran ``ENTRY_EXPIRY_S`` after an unframed answer."""
        limit_s = self._clock_s() - ENTRY_EXPIRY_S
        with self._lock:
            expired = []
            while self._unexplained and self._unexplained[0].at_s < limit_s:
                expired.append(self._unexplained.popleft())
        for loss in expired:
            if loss.is_answered:
                self._clear(loss.suspect, int(loss.wall_s))

    def _find_verdict(self, endpoint: Endpoint, is_connection_broken: bool) -> Verdict:
        run = endpoint.run
        with self._lock:
            was_leaving = self._ended_runs.get(run)
        if was_leaving or self._catalog.is_leaving(run):
            return Verdict.LEAVING
        if was_leaving is False:
            return Verdict.CRASH
        if not is_connection_broken or self._is_partitioned():
            return Verdict.UNEXPLAINED
        is_refused = self._probe(endpoint.address) is PortState.REFUSED
        return Verdict.CRASH if is_refused else Verdict.BREAK

    def _record_loss(
        self, verdict: Verdict, run: EndpointRun, suspect: Suspect, request_id: str, reason: str
    ) -> None:
        fingerprint = suspect.fingerprint
        self._log_verdict(verdict, run, suspect, request_id, reason)
        crash = _crash_id(run, self._wall_clock_s())
        if verdict in (Verdict.CRASH, Verdict.CRASH_AFTER_START):
            self._blame_parts(suspect, crash)
        match verdict:
            case Verdict.CRASH:
                self._quarantine.confirm_crash(fingerprint, suspect.trial, crash)
                self._reporter.send_blame(Blame(fingerprint, crash))
            case Verdict.CRASH_AFTER_START if not suspect.trial:
                self._quarantine.confirm_started_crash(fingerprint, "", crash)
                self._report_repeated_loss(fingerprint)
            case Verdict.BREAK if not suspect.trial:
                observation = _new_break_id(self._wall_clock_s())
                self._quarantine.record_break(fingerprint, observation)
                self._add_unexplained(run, suspect, request_id, observation)
                self._report_open_loss(run, suspect, observation)
            case Verdict.BREAK_AFTER_START if not suspect.trial:
                observation = _new_break_id(self._wall_clock_s())
                self._quarantine.record_break(fingerprint, observation)
                self._add_unexplained(run, suspect, request_id, observation, has_begun=True)
                self._report_open_loss(run, suspect, observation, has_begun=True)
            case Verdict.CRASH_AFTER_START:
                self._quarantine.confirm_crash(fingerprint, suspect.trial, crash)
                self._report_suspicion(fingerprint)
            case Verdict.BREAK | Verdict.UNEXPLAINED | Verdict.BREAK_AFTER_START:
                self._add_unexplained(run, suspect, request_id, suspect.trial)
                self._report_open_loss(run, suspect)
            case Verdict.LEAVING:
                self.withdraw_trial(suspect)

    def _clear(self, suspect: Suspect, answered_s: int | None) -> None:
        self._quarantine.clear(suspect.fingerprint, answered_s)
        for part in suspect.parts:
            self._quarantine.clear(part.key, answered_s)

    def _blame_parts(self, suspect: Suspect, crash: str) -> None:
        """Hold a crash against the shared parts of a prompt; report those that had one before."""
        if not suspect.parts:
            return
        losses = [PartLoss(part.key, part.depth, part.trial) for part in suspect.parts]
        reports = self._quarantine.blame_parts(losses, crash)
        repeated = [report for report in reports if report.suspicion.is_repeated]
        if repeated and self._part_reports.take() == 0:
            self._reporter.send_suspicions(repeated[:SUSPICIONS_PER_DATAGRAM])

    def _report_suspicion(self, fingerprint: Fingerprint) -> None:
        suspicion = self._quarantine.find(fingerprint)
        if suspicion is not None:
            self._reporter.send_suspicions([suspicion])

    def _report_repeated_loss(self, fingerprint: Fingerprint) -> None:
        """Report a request that was lost more than once since its last complete answer.

        Each endpoint crash breaks off many sound streams once. Those are only exchanged with the
        other suspicions, so that a crash does not send one datagram per stream to every gateway.
        """
        suspicion = self._quarantine.find(fingerprint)
        if suspicion is not None and suspicion.suspicion.is_repeated:
            self._reporter.send_suspicions([suspicion])

    def _add_unexplained(
        self,
        run: EndpointRun,
        suspect: Suspect,
        request_id: str,
        observation: str,
        has_begun: bool = False,
        is_answered: bool = False,
    ) -> None:
        loss = _UnexplainedLoss(
            self._clock_s(),
            self._wall_clock_s(),
            run,
            suspect,
            request_id,
            observation,
            has_begun,
            is_answered,
        )
        with self._lock:
            self._unexplained.append(loss)

    def _log_verdict(
        self,
        verdict: Verdict,
        run: EndpointRun,
        suspect: Suspect,
        request_id: str,
        reason: str,
    ) -> None:
        with self._lock:
            self._verdicts[verdict] += 1
        is_crash = verdict in (
            Verdict.CRASH,
            Verdict.CRASH_FOUND_LATER,
            Verdict.CRASH_AFTER_START,
        )
        log_event(
            Event.FINGERPRINT_BLAMED if is_crash else Event.LOST_ATTEMPT_NOT_BLAMED,
            request_id=request_id,
            fingerprint=suspect.fingerprint,
            parts=" ".join(part.key for part in suspect.parts[:MAX_LOGGED_PARTS]),
            endpoint=run.endpoint,
            verdict=verdict.value,
            reason=reason,
        )


def _new_break_id(wall_s: float) -> str:
    return f"{secrets.token_hex(4)}@{int(wall_s)}"


def _crash_id(run: EndpointRun, wall_s: float) -> str:
    """Return the id of the crash of a run in which a request was lost at ``wall_s``.

    If the run's start time is unknown, only the time of the loss distinguishes this crash from
    one of the endpoint's next run.
    """
    return f"{_source(run)}@{int(wall_s)}"


def _source(run: EndpointRun) -> str:
    return f"{run.endpoint}/{run.started_ms}" if run.started_ms else run.endpoint
