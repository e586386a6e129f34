"""Tells whether an endpoint that lost its connections has started again under its id.

An endpoint may start again under its id and at its address. It is cold then, but its entry goes on
to describe the run before until the endpoint has written it again and the change has arrived. So a
refused or broken connection makes the listed run unverified, at all gateways of the region, and an
unverified run counts as cold: one gateway sends to it, at the rate that a cold endpoint sustains.

A gateway of the region, chosen by rendezvous hashing, asks the endpoint for its health, and tells
the others for how long it says that it stays cold. Without an answer another gateway joins in, and
then one after another, since the first may be partitioned from the endpoint.

An endpoint that starts again while it is cold may lose no request. So a run is checked at the end
of its warm-up, too. A gateway that joins the region is told of the runs in doubt and of endpoints
that said that they are cold before their entries did.

A gateway that has just started asks for each run that it lists, since all that knew of a restart
may have ended. Until the answer the run counts as cold.

A request that was sent before a loss and is answered after it proves that the process still runs,
whatever the health check says: a process that ends takes all its connections with it.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .catalog import COLD_MARGIN_S
from .cold_runs import ColdRuns
from .early_notices import EarlyNotices
from .run_checkers import RunCheckers
from .run_doubt import RunDoubt
from .run_notice import RunNotice
from .run_notice import RunStanding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import IncarnationId

    from ..membership.peer_table import PeerTable
    from .catalog import EndpointCatalog
    from .endpoint import Endpoint
    from .endpoint import EndpointRun
    from .endpoint_reach import HealthAnswer

# An answer that took longer says nothing: this process may have stood still since it came.
MAX_CHECK_S = 1.0
# A gateway that lost a run tells all others itself if nobody has within this time: the checkers may
# have ended too.
ANNOUNCEMENT_TIMEOUT_S = 0.2
# While a run is unverified, the gateways are told so at this interval; one that is told nothing for
# three times as long takes it for verified.
NOTICE_INTERVAL_S = 1.0
NOTICE_LIFETIME_S = 3.0
# For how long after its start a gateway asks for each run that it lists, how often, and how long it
# waits for an answer. It waits for ``NOTICE_LIFETIME_S`` if its own check of the run is unanswered:
# the endpoint may be down, and cold when it answers.
START_S = 5.0
ASK_INTERVAL_S = 0.2
MAX_ASK_S = 1.0
MAX_RUNS = 4_096


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
        self._own_address: Callable[[], str] = str
        self._send: Callable[[Sequence[str], RunNotice], None] = lambda _addresses, _notice: None
        self._doubts: dict[EndpointRun, RunDoubt] = {}
        self._checkers = RunCheckers(peers, clock_s)
        self._cold = ColdRuns()
        self._early = EarlyNotices()
        self._started_s = clock_s()
        self._is_starting = True
        self._seen: set[EndpointRun] = set()
        self._askers: dict[EndpointRun, set[str]] = {}
        self._known_peers: frozenset[IncarnationId] = frozenset()
        self._verified_s: BoundedMap[EndpointRun, float] = BoundedMap(MAX_RUNS)
        self._lock = threading.Lock()

    def connect(
        self, own_address: Callable[[], str], send: Callable[[Sequence[str], RunNotice], None]
    ) -> None:
        """Set the function that sends a notice to addresses, and the one that gets replies."""
        self._own_address, self._send = own_address, send

    def is_unverified(self, run: EndpointRun) -> bool:
        """Whether a listed run may have ended."""
        if self._is_starting and run not in self._seen:
            return True
        return bool(self._doubts) and run in self._doubts

    def unverified(self) -> list[str]:
        """Return the names of the endpoints whose listed run may have ended."""
        with self._lock:
            return sorted(run.endpoint for run in self._doubts)

    def note_answer(self, endpoint: Endpoint, sent_s: float) -> None:
        """Record an answer of an endpoint to a request that was sent at ``sent_s``."""
        if not self._doubts:
            return
        with self._lock:
            doubt = self._doubts.get(endpoint.run)
            if doubt is not None:
                doubt.note_answer(sent_s, self._clock_s())

    def note_lost(self, endpoint: Endpoint, reason: str) -> None:
        """Record that a connection to an endpoint broke, or could not be opened."""
        if self._warmup_s(endpoint) <= 0 or self._is_partitioned():
            return
        now_s = self._clock_s()
        doubt = self._begin(endpoint, reason, now_s)
        if doubt is None:
            return
        with self._lock:
            doubt.note_loss(now_s)
            is_reported, doubt.is_reported = doubt.is_reported, True
        if is_reported:
            return
        if self._checkers.includes_own(endpoint.run):
            self._handle_loss(doubt)
            return
        notice = RunNotice(endpoint.run, RunStanding.LOST, reply_to=self._own_address())
        self._send(self._checkers.other_addresses(endpoint.run), notice)

    def note_cold(self, endpoint: Endpoint, cold_ms: float) -> None:
        """Record for how many ms an endpoint said in an answer that it stays cold."""
        if not self._catalog.is_listed(endpoint.run):
            return
        if cold_ms > 0 and not self._catalog.is_cold(endpoint.endpoint):
            self._end(endpoint.run, cold_ms, "answer")
            self._broadcast(RunNotice(endpoint.run, RunStanding.VERIFIED, cold_ms))
        else:
            self._catalog.set_cold(endpoint.run, cold_ms)

    def on_notice(self, notice: RunNotice) -> None:
        """Apply what another gateway says of a run; ignore it if another run is listed here."""
        now_s = self._clock_s()
        endpoint = self._catalog.find(notice.run.endpoint)
        if endpoint is None:
            # A gateway that has just started may hear of a run before it has listed the endpoints.
            self._early.put(notice, now_s)
            return
        if endpoint.run != notice.run:
            return
        match notice.standing:
            case RunStanding.LOST:
                doubt = self._begin(endpoint, "told by a gateway that lost it", now_s)
                if doubt is not None:
                    with self._lock:
                        doubt.note_loss(now_s)
                        if notice.reply_to:
                            doubt.reporters.add(notice.reply_to)
                    self._handle_loss(doubt)
            case RunStanding.UNVERIFIED:
                doubt = self._begin(endpoint, "told by a gateway that checks it", now_s)
                if doubt is not None:
                    with self._lock:
                        doubt.note_announced(now_s)
                    self._check_if_due(doubt)
            case RunStanding.VERIFIED:
                self._end(notice.run, notice.cold_ms, "peer")
            case RunStanding.ASKED:
                self._answer(endpoint, notice.reply_to)

    def tick(self) -> None:
        """Send the checks and notices that are due; called many times a second, never blocks."""
        now_s = self._clock_s()
        if self._is_starting:
            self._ask_for_listed_runs()
        if self._early:
            known = self._catalog.find
            for notice in self._early.take_listed(lambda name: known(name) is not None, now_s):
                self.on_notice(notice)
        for endpoint in self._catalog.ended_warmups():
            self._check_after_warmup(endpoint)
        if self._cold:
            for notice in self._cold.due_notices(now_s, NOTICE_INTERVAL_S):
                if self._catalog.is_listed(notice.run) and self._checkers.includes_own(notice.run):
                    self._broadcast(notice)
        self._tell_newcomers()
        if not self._doubts:
            return
        with self._lock:
            doubts = list(self._doubts.items())
        for run, doubt in doubts:
            if self._catalog.is_listed(run):
                self._tick_doubt(run, doubt)
            else:
                with self._lock:
                    self._doubts.pop(run, None)

    def _tick_doubt(self, run: EndpointRun, doubt: RunDoubt) -> None:
        now_s = self._clock_s()
        if doubt.is_settled(now_s, self._warmup_s(doubt.endpoint)):
            self._verify(run, 0.0, "answer")
            return
        if doubt.is_start:
            self._ask_again(run, doubt)
        elif self._checkers.is_first(doubt):
            if now_s - doubt.since_s >= NOTICE_INTERVAL_S:
                self._announce(doubt)
        elif now_s - doubt.heard_s > NOTICE_LIFETIME_S:
            self._end(run, 0.0, "no notice")
            return
        elif not doubt.is_announced and now_s - doubt.since_s >= ANNOUNCEMENT_TIMEOUT_S:
            self._announce(doubt)
        self._check_if_due(doubt)

    def _ask_for_listed_runs(self) -> None:
        now_s = self._clock_s()
        if now_s - self._started_s > START_S:
            self._is_starting = False
            self._seen.clear()
            return
        for endpoint in self._catalog.entries().values():
            run = endpoint.run
            if endpoint.region != self._peers.own_region or run in self._seen:
                continue
            if self._warmup_s(endpoint) > 0 and not self._catalog.is_cold(endpoint.endpoint):
                doubt = self._begin(endpoint, "this gateway has just started", now_s, is_start=True)
                if doubt is not None and doubt.is_start:
                    self._ask_again(run, doubt)
            self._seen.add(run)

    def _ask_again(self, run: EndpointRun, doubt: RunDoubt) -> None:
        """Ask the gateways that check a run for its standing, as long as there is no answer."""
        now_s = self._clock_s()
        is_silent = doubt.is_checking or doubt.is_unanswered
        if now_s - doubt.since_s > (NOTICE_LIFETIME_S if is_silent else MAX_ASK_S):
            self._end(run, 0.0, "no notice")
            return
        if now_s - doubt.asked_s < ASK_INTERVAL_S:
            return
        doubt.asked_s = now_s
        notice = RunNotice(run, RunStanding.ASKED, reply_to=self._own_address())
        self._send(self._checkers.other_addresses(run), notice)

    def _answer(self, endpoint: Endpoint, reply_to: str) -> None:
        """Check a run for a gateway that has just started, or tell it when it is verified."""
        run = endpoint.run
        with self._lock:
            doubt = self._doubts.get(run)
            if doubt is not None:
                doubt.reporters.add(reply_to)
                return
            is_first = run not in self._askers
            self._askers.setdefault(run, set()).add(reply_to)
        if is_first:
            self._check(endpoint, lambda answer: self._on_asked(endpoint, answer))

    def _on_asked(self, endpoint: Endpoint, answer: HealthAnswer | None) -> None:
        with self._lock:
            askers = self._askers.pop(endpoint.run, set())
        if answer is None or answer.cold_ms is None:
            return
        if answer.cold_ms > 0:
            self.note_cold(endpoint, answer.cold_ms)
        notice = RunNotice(endpoint.run, RunStanding.VERIFIED, answer.cold_ms)
        self._send(sorted(askers), notice)

    def _check_after_warmup(self, endpoint: Endpoint) -> None:
        run = endpoint.run
        now_s = self._clock_s()
        is_checked = now_s - self._verified_s.get(run, float("-inf")) < COLD_MARGIN_S
        is_own = endpoint.region == self._peers.own_region and self._warmup_s(endpoint) > 0
        if is_own and not is_checked and run not in self._doubts:
            doubt = self._begin(endpoint, "the warm-up has ended", now_s)
            if doubt is not None:
                # All gateways do the same, so the outcome is for all.
                doubt.is_announced = True
                self._check_if_due(doubt)

    def _tell_newcomers(self) -> None:
        peers = self._peers.live_in(self._peers.own_region)
        known, self._known_peers = self._known_peers, frozenset(peer.incarnation for peer in peers)
        new = [peer.address.report for peer in peers if peer.incarnation not in known]
        if not new or not (self._doubts or self._cold):
            return
        now_s = self._clock_s()
        with self._lock:
            lost = [run for run, doubt in self._doubts.items() if not doubt.is_start]
        notices = [RunNotice(run, RunStanding.UNVERIFIED) for run in lost]
        for notice in [*notices, *self._cold.notices(now_s)]:
            if self._checkers.includes_own(notice.run):
                self._send(new, notice)

    def _begin(
        self, endpoint: Endpoint, reason: str, now_s: float, *, is_start: bool = False
    ) -> RunDoubt | None:
        """Return the doubt about a run, if need be a new one; ``None`` if it is not listed."""
        run = endpoint.run
        if not self._catalog.is_listed(run):
            return None
        with self._lock:
            known = self._doubts.get(run)
            if known is not None:
                return known
            doubt = RunDoubt(endpoint, now_s, now_s, now_s, is_start=is_start)
            self._doubts[run] = doubt
        log_event(
            Event.ENDPOINT_RUN_UNVERIFIED,
            endpoint=run.endpoint,
            started_ms=run.started_ms,
            reason=reason,
        )
        return doubt

    def _handle_loss(self, doubt: RunDoubt) -> None:
        """Check a run that was lost, and tell the others at once unless it was just verified.

        Reports of one loss come one after another, also when the endpoint has been asked already.
        """
        verified_s = self._verified_s.get(doubt.run, float("-inf"))
        if self._clock_s() - verified_s >= NOTICE_INTERVAL_S:
            self._announce(doubt)
        self._check_if_due(doubt)

    def _announce(self, doubt: RunDoubt) -> None:
        """Tell the region's gateways that a run is unverified, unless they were told just now."""
        now_s = self._clock_s()
        with self._lock:
            if now_s - doubt.notified_s < NOTICE_INTERVAL_S:
                return
            doubt.notified_s = now_s
            doubt.is_announced = True
        self._broadcast(RunNotice(doubt.run, RunStanding.UNVERIFIED))

    def _check_if_due(self, doubt: RunDoubt) -> None:
        now_s = self._clock_s()
        with self._lock:
            if not self._checkers.is_check_due(doubt):
                return
            doubt.is_checking, doubt.checked_s = True, now_s
        self._check(doubt.endpoint, lambda answer: self._on_health(doubt, now_s, answer))

    def _on_health(self, doubt: RunDoubt, sent_s: float, answer: HealthAnswer | None) -> None:
        now_s = self._clock_s()
        with self._lock:
            doubt.is_checking = False
            doubt.is_unanswered = answer is None
            is_over = self._doubts.get(doubt.run) is not doubt
            is_telling = sent_s >= doubt.lost_s and now_s - sent_s <= MAX_CHECK_S
            if answer is not None and answer.cold_ms is None and is_telling:
                doubt.answered_s = doubt.answered_s or now_s
        if is_over:
            return
        if answer is None:
            if self._checkers.is_first(doubt) and not doubt.is_start:
                self._announce(doubt)
        elif answer.cold_ms is not None and is_telling:
            self._verify(doubt.run, answer.cold_ms, "health")

    def _verify(self, run: EndpointRun, cold_ms: float, source: str) -> None:
        """End the doubt about a run, also at the gateways that were told of it."""
        doubt = self._end(run, cold_ms, source)
        notice = RunNotice(run, RunStanding.VERIFIED, cold_ms)
        if cold_ms > 0 or doubt is None or doubt.is_announced:
            self._broadcast(notice)
        else:
            self._send(sorted(doubt.reporters), notice)

    def _end(self, run: EndpointRun, cold_ms: float, source: str) -> RunDoubt | None:
        now_s = self._clock_s()
        is_restarted = (
            cold_ms > 0 and self._catalog.is_listed(run) and not self._catalog.is_cold(run.endpoint)
        )
        if cold_ms > 0:
            # Before the doubt ends, so that the run counts as cold all the time.
            self._catalog.set_cold(run, cold_ms)
        with self._lock:
            doubt = self._doubts.pop(run, None)
            self._verified_s.put(run, now_s)
        if cold_ms > 0:
            self._cold.put(run, cold_ms, now_s)
        if is_restarted:
            self._on_new_run(run.endpoint)
        if doubt is not None:
            log_event(
                Event.ENDPOINT_RUN_VERIFIED,
                endpoint=run.endpoint,
                started_ms=run.started_ms,
                cold_ms=cold_ms,
                source=source,
                after_ms=round((now_s - doubt.since_s) * 1000),
            )
        return doubt

    def _broadcast(self, notice: RunNotice) -> None:
        self._send(
            [peer.address.report for peer in self._peers.live_in(self._peers.own_region)], notice
        )
