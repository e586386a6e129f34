"""Tells whether an endpoint that lost its connections has started again under its id.

An endpoint may start again under its id and at its address. It is cold then, but its entry goes on
to describe the run before until the endpoint has written it again and the change has arrived. So a
refused or broken connection makes the listed run unverified, at all gateways of the region, and an
unverified run counts as cold: one gateway sends to it, at the rate that a cold endpoint sustains.

Two gateways of the region, chosen by rendezvous hashing, ask the endpoint for its health, and tell
the others for how long it says that it stays cold. While these two get no answer, more gateways
join in, since the two may be partitioned from the endpoint.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .run_notice import RunNotice
from .run_notice import RunStanding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from ..membership.peer_table import PeerTable
    from .catalog import EndpointCatalog
    from .endpoint import Endpoint
    from .endpoint import EndpointRun
    from .endpoint_reach import HealthAnswer

# Gateways that check a run and tell the others.
CHECKERS = 2
# One more gateway checks a run each time this has passed without an answer.
ESCALATION_S = 1.0
CHECK_INTERVAL_S = 0.25
# The least time between two checks of a run. Many gateways may report one loss.
MIN_CHECK_INTERVAL_S = 0.05
# A gateway that lost a run tells all others itself if nobody has within this time: the checkers may
# have ended too.
ANNOUNCEMENT_TIMEOUT_S = 0.1
# While a run is unverified, the gateways are told so at this interval; one that is told nothing for
# three times as long takes it for verified.
NOTICE_INTERVAL_S = 1.0
NOTICE_LIFETIME_S = 3.0
# A gateway that gets no answer from an endpoint reports the loss again after this time.
REPORT_INTERVAL_S = 10.0
MAX_RUNS = 4_096


@dataclass(slots=True)
class _Unverified:
    """A run that may have ended.

    ``lost_s`` is the time of the latest loss, ``heard_s`` that of the latest loss or notice,
    ``notified_s`` when this gateway last told the others. ``is_announced``: this gateway or another
    one has told all. ``answered_s`` is when the endpoint first gave an answer that does not say
    whether it is cold.
    """

    endpoint: Endpoint
    since_s: float
    lost_s: float
    heard_s: float
    notified_s: float = float("-inf")
    is_announced: bool = False
    answered_s: float | None = None


class RunVerification:
    """The listed runs of this region's endpoints that may have ended.

    ``check`` asks an endpoint for its health without blocking, and passes the answer to its second
    argument, ``None`` for no answer. ``warmup_s`` returns how long an endpoint is cold after a
    start, 0 if its service has no warm-up. ``on_new_run`` is called with an endpoint whose listed
    run has ended.
    """

    def __init__(
        self,
        catalog: EndpointCatalog,
        peers: PeerTable,
        check: Callable[[Endpoint, Callable[[HealthAnswer | None], None]], None],
        warmup_s: Callable[[Endpoint], float],
        on_new_run: Callable[[EndpointId], None],
        is_partitioned: Callable[[], bool] = lambda: False,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._peers = peers
        self._check = check
        self._warmup_s = warmup_s
        self._on_new_run = on_new_run
        self._is_partitioned = is_partitioned
        self._clock_s = clock_s
        self._send: Callable[[Sequence[str], RunNotice], None] = lambda _addresses, _notice: None
        self._unverified: dict[EndpointRun, _Unverified] = {}
        self._reported_s: BoundedMap[EndpointRun, float] = BoundedMap(MAX_RUNS)
        self._checked_s: BoundedMap[EndpointRun, float] = BoundedMap(MAX_RUNS)
        self._verified_s: BoundedMap[EndpointRun, float] = BoundedMap(MAX_RUNS)
        self._lock = threading.Lock()

    def connect(self, send: Callable[[Sequence[str], RunNotice], None]) -> None:
        """Set the function that sends a notice to the datagram addresses of other gateways."""
        self._send = send

    def is_unverified(self, run: EndpointRun) -> bool:
        """Whether a listed run may have ended."""
        return bool(self._unverified) and run in self._unverified

    def unverified(self) -> list[str]:
        """Return the names of the endpoints whose listed run may have ended."""
        with self._lock:
            return sorted(run.endpoint for run in self._unverified)

    def note_contact(self, endpoint: Endpoint) -> None:
        """Record an answer of an endpoint: the next loss is news."""
        if endpoint.run in self._reported_s:
            with self._lock:
                self._reported_s.pop(endpoint.run, None)

    def note_lost(self, endpoint: Endpoint, reason: str) -> None:
        """Record that a connection to an endpoint broke, or could not be opened."""
        if self._warmup_s(endpoint) <= 0 or self._is_partitioned():
            return
        now_s = self._clock_s()
        with self._lock:
            reported_s = self._reported_s.get(endpoint.run, float("-inf"))
            if now_s - reported_s < REPORT_INTERVAL_S:
                return
            self._reported_s.put(endpoint.run, now_s)
        if not self._suspend(endpoint, reason, is_loss=True):
            return
        checkers = self._peers.order_by_key(endpoint.endpoint)[:CHECKERS]
        if self._peers.own_instance in checkers:
            self._handle_loss(endpoint.run)
            return
        addresses = [self._peers.report_address(name) for name in checkers]
        self._send([name for name in addresses if name], RunNotice(endpoint.run, RunStanding.LOST))

    def note_cold(self, endpoint: Endpoint, cold_ms: float) -> None:
        """Record for how many ms an endpoint said in an answer that it stays cold."""
        if cold_ms > 0 and not self._catalog.is_cold(endpoint.endpoint):
            self._end(endpoint.run, cold_ms, "answer")
            self._broadcast(RunNotice(endpoint.run, RunStanding.VERIFIED, cold_ms))
        else:
            self._catalog.set_cold(endpoint.run, cold_ms)

    def on_notice(self, notice: RunNotice) -> None:
        """Apply what another gateway says of a run; ignore it if another run is listed here."""
        endpoint = self._catalog.find(notice.run.endpoint)
        if endpoint is None or endpoint.run != notice.run:
            return
        match notice.standing:
            case RunStanding.LOST:
                if self._suspend(endpoint, "told by a gateway that lost it", is_loss=True):
                    self._handle_loss(notice.run)
            case RunStanding.UNVERIFIED:
                self._suspend(endpoint, "told by a gateway that checks it", is_loss=False)
                self._note_announced(notice.run)
                if self._is_checker(endpoint, CHECKERS):
                    self._check_run(notice.run)
            case RunStanding.VERIFIED:
                self._end(notice.run, notice.cold_ms, "peer")

    def tick(self) -> None:
        """Send the checks and notices that are due; called many times a second, never blocks."""
        if not self._unverified:
            return
        with self._lock:
            entries = list(self._unverified.items())
        for run, entry in entries:
            listed = self._catalog.find(run.endpoint)
            if listed is None or listed.run != run:
                with self._lock:
                    self._unverified.pop(run, None)
                continue
            self._tick_run(run, entry)

    def _tick_run(self, run: EndpointRun, entry: _Unverified) -> None:
        now_s = self._clock_s()
        answered_s = entry.answered_s
        if answered_s is not None and now_s - answered_s >= self._warmup_s(entry.endpoint):
            # Whenever the run that answered began, it is warm by now.
            self._verify(run, 0.0)
            return
        checkers = CHECKERS + int((now_s - entry.since_s) / ESCALATION_S)
        if self._is_checker(entry.endpoint, CHECKERS):
            if now_s - entry.since_s >= NOTICE_INTERVAL_S:
                self._notify(run)
        elif now_s - entry.heard_s > NOTICE_LIFETIME_S:
            self._end(run, 0.0, "no notice")
            return
        elif not entry.is_announced and now_s - entry.since_s >= ANNOUNCEMENT_TIMEOUT_S:
            self._notify(run)
        checked_s = self._checked_s.get(run, float("-inf"))
        is_due = now_s - checked_s >= CHECK_INTERVAL_S or entry.lost_s > checked_s
        if is_due and self._is_checker(entry.endpoint, checkers):
            self._check_run(run)

    def _is_checker(self, endpoint: Endpoint, checkers: int) -> bool:
        return self._peers.own_instance in self._peers.order_by_key(endpoint.endpoint)[:checkers]

    def _suspend(self, endpoint: Endpoint, reason: str, *, is_loss: bool) -> bool:
        """Make a listed run unverified; return ``False`` if it is not the listed one."""
        run = endpoint.run
        listed = self._catalog.find(run.endpoint)
        if listed is None or listed.run != run:
            return False
        now_s = self._clock_s()
        with self._lock:
            known = self._unverified.get(run)
            if known is None:
                self._unverified[run] = _Unverified(endpoint, now_s, now_s, now_s)
            else:
                known.heard_s = now_s
                known.lost_s = now_s if is_loss else known.lost_s
                known.answered_s = None if is_loss else known.answered_s
        if known is None:
            log_event(
                Event.ENDPOINT_RUN_UNVERIFIED,
                endpoint=run.endpoint,
                started_ms=run.started_ms,
                reason=reason,
            )
        return True

    def _handle_loss(self, run: EndpointRun) -> None:
        """Check a run that was lost, and tell the others at once unless it was just verified.

        Reports of one loss come one after another, also when the endpoint has been asked already.
        """
        if self._clock_s() - self._verified_s.get(run, float("-inf")) >= NOTICE_INTERVAL_S:
            self._notify(run)
        self._check_run(run)

    def _notify(self, run: EndpointRun) -> None:
        """Tell the region's gateways that a run is unverified, unless they were told just now."""
        now_s = self._clock_s()
        with self._lock:
            entry = self._unverified.get(run)
            if entry is None or now_s - entry.notified_s < NOTICE_INTERVAL_S:
                return
            entry.notified_s = now_s
            entry.is_announced = True
        self._broadcast(RunNotice(run, RunStanding.UNVERIFIED))

    def _note_announced(self, run: EndpointRun) -> None:
        with self._lock:
            entry = self._unverified.get(run)
            if entry is not None:
                entry.is_announced = True

    def _check_run(self, run: EndpointRun) -> None:
        now_s = self._clock_s()
        with self._lock:
            entry = self._unverified.get(run)
            checked_s = self._checked_s.get(run, float("-inf"))
            if entry is None or now_s - checked_s < MIN_CHECK_INTERVAL_S:
                return
            self._checked_s.put(run, now_s)
        self._check(entry.endpoint, lambda answer: self._on_health(run, now_s, answer))

    def _on_health(self, run: EndpointRun, sent_s: float, answer: HealthAnswer | None) -> None:
        with self._lock:
            entry = self._unverified.get(run)
        if entry is None:
            return
        if answer is None:
            if self._is_checker(entry.endpoint, CHECKERS):
                self._notify(run)
            return
        with self._lock:
            if sent_s < entry.lost_s:
                return
            if answer.cold_ms is None:
                entry.answered_s = entry.answered_s or self._clock_s()
                return
        self._verify(run, answer.cold_ms)

    def _verify(self, run: EndpointRun, cold_ms: float) -> None:
        """End the doubt about a run at all gateways of the region."""
        self._end(run, cold_ms, "health")
        self._broadcast(RunNotice(run, RunStanding.VERIFIED, cold_ms))

    def _end(self, run: EndpointRun, cold_ms: float, source: str) -> None:
        with self._lock:
            entry = self._unverified.pop(run, None)
            self._verified_s.put(run, self._clock_s())
        is_restarted = cold_ms > 0 and not self._catalog.is_cold(run.endpoint)
        if cold_ms > 0:
            self._catalog.set_cold(run, cold_ms)
        if is_restarted:
            self._on_new_run(run.endpoint)
        if entry is not None:
            log_event(
                Event.ENDPOINT_RUN_VERIFIED,
                endpoint=run.endpoint,
                started_ms=run.started_ms,
                cold_ms=cold_ms,
                source=source,
                after_ms=round((self._clock_s() - entry.since_s) * 1000),
            )

    def _broadcast(self, notice: RunNotice) -> None:
        self._send(
            [peer.address.report for peer in self._peers.live_in(self._peers.own_region)], notice
        )
