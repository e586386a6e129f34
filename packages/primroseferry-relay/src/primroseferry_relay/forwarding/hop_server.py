"""Serves attempts that other gateways request."""

from __future__ import annotations

import threading
import time
from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.events import Event
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import Header
from primroseferry_transport.disconnect_watch import watch_disconnect

from ..attempts.caller_watch import CallerWatch
from ..attempts.outcome import Answered
from ..attempts.outcome import CallerLeft
from ..attempts.outcome import Lost
from ..attempts.outcome import NotRun
from ..attempts.outcome import StreamBroken
from ..attempts.outcome import StreamEnded
from ..contending_request import ContendingRequest
from ..control.metadata_store import StorePosition
from ..control.peer_sync import CONTROL_PATH
from ..crash_attribution import CRASHED_DETAIL
from ..crash_attribution import HELD_PART_DETAIL
from ..endpoints.software_version import UNKNOWN_VERSION
from ..endpoints.software_version import VersionHash
from ..ingress.answer_channel import ChannelState
from ..ingress.channel_sink import ChannelSink
from ..lifecycle.stop_gate import LATE_FOR_STOP_DETAIL
from ..lifecycle.stop_gate import STOP_DETAIL
from ..lifecycle.stop_gate import STOPPING_RETRY_AFTER_S
from ..lifecycle.stop_gate import StopGate
from ..local_attempts import BASE_PRIORITY
from ..local_attempts import AttemptPlan
from ..messages import AnswerHead
from ..messages import CompleteAnswer
from ..messages import RelayRequest
from ..messages import problem_answer
from ..open_requests import OpenRequest
from ..open_requests import Origin
from ..routes.caller_identity import identify_caller
from ..streams.stream_binding import StreamBinding
from ..suspect import suspect_of_request
from .hop import HOP_HEADER
from .hop import NO_ENDPOINT_DETAIL
from .hop import OUTCOME_HEADER
from .hop import SATURATED_DETAIL
from .hop import VERSION_DETAIL
from .hop import HopOutcome
from .hop import HopRequest
from .hop import decode_hop_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import RegionId
    from primroseferry_transport.curl_loop import CurlLoop

    from ..attempts.outcome import AttemptOutcome
    from ..control.peer_sync import PeerSync
    from ..endpoint_adapter import EndpointAdapter
    from ..ingress.answer_channel import AnswerChannel
    from ..local_attempts import LocalAttempts
    from ..routes.route import Route
    from ..routes.route_table import RouteTable

# A hop request ends long before a gateway has received this many others.
MAX_REMEMBERED_HOP_IDS = 20_000
MAX_REVISION_DIGITS = 19
# Endpoints tried for one hop request while none of them has received it.
MAX_ENDPOINT_ATTEMPTS = 3


class HopServer:
    """Serves hop requests on the endpoints of this region, each request at most once."""

    def __init__(
        self,
        region: RegionId,
        incarnation: IncarnationId,
        loop: CurlLoop,
        adapter: EndpointAdapter,
        get_route_table: Callable[[], RouteTable | None],
        local: LocalAttempts,
        sync: PeerSync,
        stop_gate: StopGate | None = None,
    ) -> None:
        self._region = region
        self._incarnation = incarnation
        self._loop = loop
        self._adapter = adapter
        self._get_route_table = get_route_table
        self._local = local
        self._sync = sync
        self._stop_gate = stop_gate or StopGate()
        self._seen_hop_ids: BoundedMap[str, None] = BoundedMap(MAX_REMEMBERED_HOP_IDS)
        self._lock = threading.Lock()

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one request of a peer gateway: a hop request or a read of the control state.

        Any other request is answered with ``BAD_REQUEST``. A hop request for another incarnation
        and a duplicate are answered with ``LOST``, since an earlier copy may have run.
        """
        header_value = next(
            (line.value for line in request.headers if line.name.lower() == HOP_HEADER.lower()), ""
        )
        if not header_value and request.path == CONTROL_PATH:
            channel.send(self._control_answer(request))
            return
        hop_request = decode_hop_request(header_value)
        if hop_request is None:
            problem = Problem(ErrorKind.BAD_REQUEST, "the request is not from a gateway")
            channel.send(problem_answer(problem))
            return
        if hop_request.to_incarnation != self._incarnation:
            _send_outcome(
                channel,
                HopOutcome.LOST,
                "this gateway has restarted since the request was addressed to it",
            )
            return
        if self._is_duplicate(hop_request):
            _send_outcome(channel, HopOutcome.LOST, "this gateway already received this attempt")
            return
        _HopAttempt(self, request, hop_request, channel).run()

    def _control_answer(self, request: RelayRequest) -> CompleteAnswer:
        query = parse_qs(request.target.partition("?")[2])
        position = []
        for name in ("era", "after", "step"):  # Earlier releases send 'after' only.
            text = query.get(name, ["0"])[0]
            if not text.isdecimal() or len(text) > MAX_REVISION_DIGITS:
                problem = Problem(ErrorKind.BAD_REQUEST, f"expected a number as {name!r}")
                return problem_answer(problem)
            position.append(int(text))
        return self._sync.answer(StorePosition(*position))

    def _is_duplicate(self, hop_request: HopRequest) -> bool:
        with self._lock:
            if hop_request.hop_id in self._seen_hop_ids:
                return True
            self._seen_hop_ids.put(hop_request.hop_id, None)
            return False


class _HopAttempt:
    """One attempt for a peer, on the best endpoint that can be reached."""

    def __init__(
        self,
        server: HopServer,
        request: RelayRequest,
        hop_request: HopRequest,
        channel: AnswerChannel,
    ) -> None:
        self._server = server
        self._hop_request = hop_request
        self._channel = channel
        hop_headers = (HOP_HEADER.lower(), OUTCOME_HEADER.lower())
        headers = tuple(line for line in request.headers if line.name.lower() not in hop_headers)
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
        """Make the attempt and send its outcome to the peer."""
        table = self._server._get_route_table()
        if table is None or self._hop_request.service not in table.services:
            _send_outcome(
                self._channel, HopOutcome.REFUSED, "the service is not known in this region"
            )
            return
        route = table.find(self._request.host.partition(":")[0], self._request.path)
        if not self._identify_caller(table, route):
            _send_outcome(self._channel, HopOutcome.REFUSED, "the API key is not known here")
            return
        if not self._is_permitted_here(table, route):
            _send_outcome(
                self._channel, HopOutcome.REFUSED, "the request is not permitted in this region"
            )
            return
        hop_request, received_s = self._hop_request, self._request.received_s
        route_name = route.name if route is not None else ""
        stop_gate = self._server._stop_gate
        if stop_gate.refuses(route_name, received_s + hop_request.deadline_ms / 1000):
            _send_outcome(
                self._channel, HopOutcome.REFUSED, LATE_FOR_STOP_DETAIL, STOPPING_RETRY_AFTER_S
            )
            return
        open_request = OpenRequest(
            hop_request.request_id, Origin.GATEWAY, route_name, received_s, self._give_up
        )
        with (
            stop_gate.open_requests.serving(open_request),
            self._watch.releasing_answers(),
            watch_disconnect(
                self._server._loop, self._channel.connection, self._watch.note_disconnected
            ),
        ):
            target_ms = route.latency_target_ms if route is not None else 0.0
            outcome = self._attempt(table, target_ms)
            if _is_success(outcome):
                stop_gate.note_duration(route_name, open_request.age_ms)
            self._answer(outcome)

    def _identify_caller(self, table: RouteTable, route: Route | None) -> bool:
        """Take the workspace that the peer found; return ``False`` if the request has none.

        Gateways of earlier releases look up no API key and send it along.
        """
        if table.workspaces is None and not self._hop_request.workspace:
            return True
        metadata = self._server._adapter.read_request(self._request.headers)
        if not self._hop_request.workspace and route is not None and metadata.api_key:
            identified = identify_caller(
                self._request, metadata, route, table, self._server._adapter
            )
            self._request = self._request if identified is None else identified.request
            return identified is not None
        headers = self._server._adapter.without_credentials(self._request.headers)
        workspace = self._hop_request.workspace or None
        self._request = replace(self._request, headers=headers, workspace=workspace)
        return workspace is not None or (route is not None and route.is_public)

    def _is_permitted_here(self, table: RouteTable, route: Route | None) -> bool:
        """Whether the route and the workspace, as far as they are known, permit this region."""
        if route is None:
            return True
        name = self._request.workspace
        known = table.workspaces.find(name) if table.workspaces is not None and name else None
        route = route if known is None else route.for_workspace(known)
        return route.permits(self._server._region)

    def _give_up(self, ends_begun: bool) -> None:
        if ends_begun or self._channel.state is ChannelState.UNANSWERED:
            self._watch.give_up()

    def _attempt(self, table: RouteTable, target_ms: float) -> AttemptOutcome:
        hop_request = self._hop_request
        service = table.services[hop_request.service]
        metadata = self._server._adapter.read_request(self._request.headers)
        suspect = suspect_of_request(
            self._request, hop_request.service, metadata.generation, hop_request.fingerprint
        )
        crash_attribution = self._server._local.crash_attribution
        part_trials = {Fingerprint(key): trial for key, trial in hop_request.part_trials}
        suspect = suspect.with_trials(hop_request.trial, part_trials)
        admittance = crash_attribution.admit(suspect)
        if admittance.wait_s > 0:
            detail = HELD_PART_DETAIL if admittance.held_part else CRASHED_DETAIL
            return NotRun(detail, is_sent=False, retry_after_s=admittance.wait_s)
        binding = _binding(hop_request)
        plan = AttemptPlan(
            self._request,
            hop_request.request_id,
            admittance.suspect,
            hop_request.service,
            metadata.generation,
            self._request.received_s + hop_request.deadline_ms / 1000,
            hop_request.priority,
            hop_request.last_event_id,
            hop_request.is_repeatable,
            target_ms,
            binding,
            _contending(hop_request),
        )
        excluded = set(hop_request.excluded)
        outcome: AttemptOutcome = NotRun(NO_ENDPOINT_DETAIL, is_sent=False)
        attempts = permits_denied = 0
        while attempts < MAX_ENDPOINT_ATTEMPTS:
            options = self._server._local.rank(
                service,
                metadata.generation,
                excluded,
                plan.is_urgent,
                permits_denied,
                binding,
                contending=plan.contending,
            )
            if not options or self._watch.is_disconnected:
                break
            if plan.contending is not None and options[0].choice.is_saturated:
                # The entry gateway knew less of this region's load; another place may be in time.
                self._server._local.note_shortage(service, plan.contending)
                outcome = NotRun(SATURATED_DETAIL, is_sent=False)
                break
            excluded.add(options[0].endpoint.endpoint)
            sink = (
                ChannelSink(self._channel, lambda head: _with_answered_outcome(head, binding))
                if hop_request.is_stream
                else None
            )
            outcome = self._server._local.run(
                options[0], service, plan, sink, self._watch.set_current_attempt
            )
            log_event(
                Event.HOP_ATTEMPTED,
                request_id=hop_request.request_id,
                entry_region=hop_request.entry_region,
                endpoint=options[0].endpoint.endpoint,
                outcome=type(outcome).__name__,
                duration_ms=round((time.monotonic() - self._request.received_s) * 1000),
            )
            if not isinstance(outcome, NotRun) or outcome.is_sent:
                break
            attempts += not outcome.is_permit_denied
            permits_denied += outcome.is_permit_denied
        if isinstance(outcome, NotRun):
            crash_attribution.withdraw_trial(plan.suspect.without_trials_of(suspect))
            send_s = self._server._local.earliest_send_s(service, plan.is_urgent)
            return replace(outcome, retry_after_s=send_s or None)
        return outcome

    def _answer(self, outcome: AttemptOutcome) -> None:
        channel = self._channel
        match outcome:
            case Answered(answer, is_failure):
                kind = HopOutcome.FAILED if is_failure else HopOutcome.ANSWERED
                self._watch.offer_answers(channel.give_up_if_slow)
                channel.send(CompleteAnswer(_with_outcome(answer.head, kind), answer.body))
            case StreamEnded():
                channel.end_stream()
            case StreamBroken():
                channel.abort()
            case NotRun(reason, is_sent, retry_after_s):
                kind = HopOutcome.NOT_RUN if is_sent else HopOutcome.REFUSED
                _send_outcome(channel, kind, reason, retry_after_s)
            case Lost(reason, is_connection_lost):
                _send_outcome(
                    channel, HopOutcome.DIED if is_connection_lost else HopOutcome.LOST, reason
                )
            case CallerLeft() if (
                channel.state is ChannelState.UNANSWERED and self._watch.is_given_up
            ):
                _send_outcome(channel, HopOutcome.LOST, STOP_DETAIL)
            case CallerLeft():
                channel.abort()


def _is_success(outcome: AttemptOutcome) -> bool:
    match outcome:
        case StreamEnded():
            return True
        case Answered(answer):
            return 200 <= answer.head.status < 300
    return False


def _with_outcome(head: AnswerHead, outcome: HopOutcome, detail: str = "") -> AnswerHead:
    value = f"{outcome.value};{detail}" if detail else outcome.value
    return AnswerHead(head.status, head.reason, (*head.headers, Header(OUTCOME_HEADER, value)))


def _with_answered_outcome(head: AnswerHead, binding: StreamBinding | None) -> AnswerHead:
    version = binding.version if binding is not None else None
    detail = "" if version is None else f"{VERSION_DETAIL}{version:x}"
    return _with_outcome(head, HopOutcome.ANSWERED, detail)


def _contending(hop_request: HopRequest) -> ContendingRequest | None:
    if hop_request.budget_ms <= 0:
        return None
    return ContendingRequest(hop_request.priority - BASE_PRIORITY, hop_request.budget_ms)


def _binding(hop_request: HopRequest) -> StreamBinding | None:
    if not hop_request.is_resumable:
        return None
    version = VersionHash(hop_request.version)
    return StreamBinding(None if version == UNKNOWN_VERSION else version)


def _send_outcome(
    channel: AnswerChannel, outcome: HopOutcome, detail: str, retry_after_s: float | None = None
) -> None:
    problem = Problem(ErrorKind.NO_ENDPOINT, detail)
    answer = problem_answer(problem, retry_after_s)
    printable = "".join(character for character in detail if character.isprintable())
    channel.send(CompleteAnswer(_with_outcome(answer.head, outcome, printable), answer.body))
