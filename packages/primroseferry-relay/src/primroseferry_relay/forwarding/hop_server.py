"""Serves the attempts that gateways of other regions ask for."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.recent_map import RecentMap
from primroseferry_policy.quarantine import Admission
from primroseferry_transport.calls import Header
from primroseferry_transport.hang_up import watch_hang_up

from ..attempts.caller_watch import CallerWatch
from ..attempts.outcome import Answered
from ..attempts.outcome import CallerLeft
from ..attempts.outcome import Lost
from ..attempts.outcome import NotRun
from ..attempts.outcome import StreamBroken
from ..attempts.outcome import StreamEnded
from ..control.peer_sync import CONTROL_PATH
from ..crash_judge import CRASHED_DETAIL
from ..crash_judge import Suspect
from ..crash_judge import fingerprint_of_request
from ..ingress.channel_sink import ChannelSink
from ..local_attempts import AttemptPlan
from ..messages import AnswerHead
from ..messages import RelayRequest
from ..messages import WholeAnswer
from ..messages import problem_answer
from .hop import HOP_HEADER
from .hop import OUTCOME_HEADER
from .hop import HopOrder
from .hop import HopOutcome
from .hop import decode_hop

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import RegionId
    from primroseferry_transport.curl_loop import CurlLoop

    from ..attempts.outcome import AttemptOutcome
    from ..control.peer_sync import PeerSync
    from ..dialect import EndpointDialect
    from ..ingress.answer_channel import AnswerChannel
    from ..local_attempts import LocalAttempts
    from ..routes.route_table import RouteTable

# Hop ids that are remembered; each lives far shorter than it takes to see so many others.
REMEMBERED_HOPS = 20_000
# Endpoints tried for one order as long as none of them saw the request.
MAX_TRIES = 3


class HopServer:
    """Makes one attempt on this region's endpoints for a gateway of another region."""

    def __init__(
        self,
        region: RegionId,
        incarnation: IncarnationId,
        loop: CurlLoop,
        dialect: EndpointDialect,
        tables: Callable[[], RouteTable | None],
        local: LocalAttempts,
        sync: PeerSync,
    ) -> None:
        self._region = region
        self._incarnation = incarnation
        self._loop = loop
        self._dialect = dialect
        self._tables = tables
        self._local = local
        self._sync = sync
        self._seen: RecentMap[str, None] = RecentMap(REMEMBERED_HOPS)
        self._lock = threading.Lock()

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one request of a peer."""
        text = next(
            (line.value for line in request.headers if line.name.lower() == HOP_HEADER.lower()), ""
        )
        if not text and request.path == CONTROL_PATH:
            query = parse_qs(request.target.partition("?")[2])
            channel.send(self._sync.answer(int(query.get("after", ["0"])[0])))
            return
        order = decode_hop(text)
        if order is None:
            problem = Problem(ErrorKind.BAD_REQUEST, "the request is not from a gateway")
            channel.send(problem_answer(problem))
            return
        if order.to_incarnation != self._incarnation:
            _send(channel, HopOutcome.LOST, "this gateway restarted since")
            return
        if self._is_copy(order):
            _send(channel, HopOutcome.LOST, "this attempt was asked for before")
            return
        _HopRun(self, request, order, channel).run()

    def _is_copy(self, order: HopOrder) -> bool:
        with self._lock:
            if order.hop_id in self._seen:
                return True
            self._seen.put(order.hop_id, None)
            return False


class _HopRun:
    """One attempt for a peer, on the first endpoint that can be reached."""

    def __init__(
        self, server: HopServer, request: RelayRequest, order: HopOrder, channel: AnswerChannel
    ) -> None:
        self._server = server
        self._order = order
        self._channel = channel
        own = (HOP_HEADER.lower(), OUTCOME_HEADER.lower())
        headers = tuple(line for line in request.headers if line.name.lower() not in own)
        self._request = RelayRequest(
            request.method,
            request.target,
            request.host,
            headers,
            request.body,
            request.received_s,
            request.caller,
        )
        self._watch = CallerWatch()

    def run(self) -> None:
        """Make the attempt and answer with its outcome."""
        table = self._server._tables()
        if table is None or self._order.service not in table.services:
            _send(self._channel, HopOutcome.REFUSED, "the service is not known here")
            return
        route = table.find(self._request.host.partition(":")[0], self._request.path)
        if route is not None and not route.permits(self._server._region):
            _send(self._channel, HopOutcome.REFUSED, "the route does not permit this region")
            return
        with watch_hang_up(self._server._loop, self._channel.connection, self._watch.note_left):
            target_ms = route.latency_target_ms if route is not None else 0.0
            self._answer(self._attempt(table, target_ms))

    def _attempt(self, table: RouteTable, target_ms: float) -> AttemptOutcome:
        order = self._order
        service = table.services[order.service]
        facts = self._server._dialect.read_request(self._request.headers)
        fingerprint = order.fingerprint or fingerprint_of_request(self._request)
        crashes = self._server._local.crashes
        admission = Admission(trial=order.trial) if order.trial else crashes.admit(fingerprint)
        if admission.wait_s > 0:
            return NotRun(CRASHED_DETAIL, is_sent=False)
        plan = AttemptPlan(
            self._request,
            order.request_id,
            Suspect(fingerprint, admission.trial),
            order.service,
            facts.generation,
            self._request.received_s + order.deadline_ms / 1000,
            order.priority,
            order.last_event_id,
            order.is_repeatable,
            target_ms,
        )
        excluded = set(order.excluded)
        outcome: AttemptOutcome = NotRun("no endpoint is available here", is_sent=False)
        for _ in range(MAX_TRIES):
            options = self._server._local.rank(service, facts.generation, excluded)
            if not options or self._watch.has_left:
                break
            excluded.add(options[0].endpoint.endpoint)
            sink = ChannelSink(self._channel, _answered) if order.is_stream else None
            outcome = self._server._local.run(
                options[0], service, plan, sink, self._watch.note_start
            )
            log_event(
                Event.HOP_ATTEMPTED,
                request_id=order.request_id,
                entry_region=order.entry_region,
                endpoint=options[0].endpoint.endpoint,
                outcome=type(outcome).__name__,
                duration_ms=round((time.monotonic() - self._request.received_s) * 1000),
            )
            if not (isinstance(outcome, NotRun) and not outcome.is_sent):
                break
        if isinstance(outcome, NotRun) and not order.trial:
            crashes.take_back(plan.suspect)
        return outcome

    def _answer(self, outcome: AttemptOutcome) -> None:
        channel = self._channel
        match outcome:
            case Answered(answer, is_failure):
                kind = HopOutcome.FAILED if is_failure else HopOutcome.ANSWERED
                channel.send(WholeAnswer(_marked(answer.head, kind), answer.body))
            case StreamEnded():
                channel.end_stream()
            case StreamBroken():
                channel.abort()
            case NotRun(reason, is_sent):
                _send(channel, HopOutcome.NOT_RUN if is_sent else HopOutcome.REFUSED, reason)
            case Lost(reason, is_death):
                _send(channel, HopOutcome.DIED if is_death else HopOutcome.LOST, reason)
            case CallerLeft():
                channel.abort()


def _marked(head: AnswerHead, outcome: HopOutcome, detail: str = "") -> AnswerHead:
    value = f"{outcome.value};{detail}" if detail else outcome.value
    return AnswerHead(head.status, head.reason, (*head.headers, Header(OUTCOME_HEADER, value)))


def _answered(head: AnswerHead) -> AnswerHead:
    return _marked(head, HopOutcome.ANSWERED)


def _send(channel: AnswerChannel, outcome: HopOutcome, detail: str) -> None:
    problem = Problem(ErrorKind.NO_ENDPOINT, detail)
    answer = problem_answer(problem)
    clean = "".join(character for character in detail if character.isprintable())
    channel.send(WholeAnswer(_marked(answer.head, outcome, clean), answer.body))
