"""Attempts through other gateways: chooses the region and the gateway, and sends the request."""

from __future__ import annotations

import random
import secrets
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import RequestId
from primroseferry_core.ids import WorkspaceId
from primroseferry_core.logs import log_event
from primroseferry_policy.contention import remaining_budget_ms
from primroseferry_policy.placement import Candidate
from primroseferry_policy.placement import call_choice
from primroseferry_policy.placement import engine_choice

from ..attempts.outcome import Answered
from ..attempts.outcome import Lost
from ..attempts.outcome import NotRun
from ..attempts.outcome import StreamBroken
from ..attempts.outcome import StreamEnded
from ..endpoints.software_version import UNKNOWN_VERSION
from ..lifecycle.stop_gate import LATE_FOR_STOP_DETAIL
from ..region_choice import LOCAL_ROUND_TRIP_MS
from ..region_choice import ROUND_TRIP_MS
from ..region_choice import STALENESS_MS
from ..region_choice import RegionOption
from ..routes.route import RouteKind
from .hop import NO_ENDPOINT_DETAIL
from .hop import HopRequest
from .hop_call import HopCall

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.contention import PrefillLimits
    from primroseferry_policy.placement import Choice
    from primroseferry_policy.prompt import Generation
    from primroseferry_transport.curl_loop import CurlLoop

    from ..attempts.attempt_call import AttemptCall
    from ..attempts.attempt_call import StreamSink
    from ..attempts.outcome import AttemptOutcome
    from ..contending_request import ContendingRequest
    from ..local_attempts import AttemptPlan
    from ..membership.peer import Peer
    from ..membership.peer import ServiceSummary
    from ..membership.peer_table import PeerTable
    from ..relay_policy import RelayPolicy
    from ..routes.route import Route
    from ..routes.service import Service

# Added to a region's estimate for each open request of this gateway there, divided by the number of
# endpoints there.
OWN_OPEN_REQUEST_MS = 25.0
# A gateway that had no endpoint for a service, or is stopping, is not asked again for this long. It
# may be partitioned from the endpoints, and the news of its stop may be lost.
REFUSAL_S = 2.0
REFUSAL_DETAILS = (NO_ENDPOINT_DETAIL, LATE_FOR_STOP_DETAIL)
MAX_REFUSALS = 4_096
MAX_SERVING_PEERS = 1_024


@dataclass(frozen=True, slots=True)
class _RefusalKey:
    peer: InstanceId
    service: ServiceId


class RegionAttempts:
    """Chooses among the remote regions and makes attempts through their gateways."""

    def __init__(self, loop: CurlLoop, peers: PeerTable, policy: RelayPolicy) -> None:
        self._loop = loop
        self._peers = peers
        self._policy = policy
        self._open_requests: Counter[tuple[RegionId, ServiceId]] = Counter()
        self._lock = threading.Lock()
        self._random = random.Random()
        self._refused_until_s: BoundedMap[_RefusalKey, float] = BoundedMap(MAX_REFUSALS)
        # The gateway of a region that last had an endpoint for a service.
        self._serving: BoundedMap[tuple[RegionId, ServiceId], InstanceId] = BoundedMap(
            MAX_SERVING_PEERS
        )

    def best(
        self,
        service: Service,
        generation: Generation,
        home_regions: frozenset[RegionId],
        excluded: Collection[RegionId],
        excluded_peers: Collection[InstanceId],
        is_urgent: bool,
        serves: Callable[[RegionId], bool] = lambda _region: True,
        contending: ContendingRequest | None = None,
    ) -> RegionOption | None:
        """Return the permitted region with the best score, ``None`` if no region is available.

        An empty ``home_regions`` permits every region. ``serves`` returns whether a region has an
        endpoint that fits the request. Saturated regions come last. ``contending`` is set if the
        service decides by contention.
        """
        options = [
            option
            for region in self._peers.regions()
            if region not in excluded
            and (not home_regions or region in home_regions)
            and serves(region)
            and (summary := self._peers.summary(region, service.name)) is not None
            if (
                option := self._option(
                    region, summary, service, generation, excluded_peers, is_urgent, contending
                )
            )
            is not None
        ]
        return min(
            options,
            key=lambda candidate: (candidate.is_saturated, candidate.is_queued, candidate.score),
            default=None,
        )

    def through_own_region(
        self,
        service: Service,
        summary: ServiceSummary,
        generation: Generation,
        excluded_peers: Collection[InstanceId],
        is_urgent: bool,
    ) -> RegionOption | None:
        """Return another gateway of the own region, which may reach endpoints that this one cannot.

        ``summary`` describes those endpoints.
        """
        return self._option(
            self._peers.own_region, summary, service, generation, excluded_peers, is_urgent
        )

    def run(
        self,
        option: RegionOption,
        plan: AttemptPlan,
        route: Route,
        excluded: tuple[EndpointId, ...],
        sink: StreamSink | None,
        on_start: Callable[[AttemptCall], None],
    ) -> AttemptOutcome:
        """Make one attempt through the option's gateway.

        ``excluded`` are the endpoints that must not be tried. ``on_start`` gets the call, so that
        it can be cancelled.
        """
        hop_request = HopRequest(
            secrets.token_hex(8),
            option.peer.incarnation,
            self._peers.own_region,
            RequestId(plan.request_id),
            plan.service,
            int(plan.remaining_ms),
            plan.priority,
            route.kind is RouteKind.STREAM,
            plan.may_be_repeated,
            plan.last_event_id,
            excluded,
            plan.suspect.fingerprint,
            plan.suspect.trial,
            tuple((part.key, part.trial) for part in plan.suspect.parts if part.trial),
            plan.binding is not None,
            (plan.binding.version if plan.binding is not None else None) or UNKNOWN_VERSION,
            plan.request.workspace or WorkspaceId(""),
            self._hop_budget_ms(option, plan),
        )
        call = HopCall(
            self._loop, option.peer.address.hop, plan.request, hop_request, sink, plan.binding
        )
        key = (option.region, plan.service)
        with self._policy.breakers.attempt(_circuit_id(option.peer)):
            with self._lock:
                self._open_requests[key] += 1
            try:
                on_start(call)
                outcome = call.run()
            finally:
                with self._lock:
                    self._open_requests[key] -= 1
            self._record_outcome(option, plan.service, outcome, call)
        return outcome

    def _hop_budget_ms(self, option: RegionOption, plan: AttemptPlan) -> int:
        """Return the budget that is left at the option's gateway, 0 if there is none."""
        if plan.contending is None:
            return 0
        is_own = option.region == self._peers.own_region
        path_ms = LOCAL_ROUND_TRIP_MS if is_own else ROUND_TRIP_MS
        return max(1, round(remaining_budget_ms(plan.contending.budget_ms, path_ms)))

    def _record_outcome(
        self, option: RegionOption, service: ServiceId, outcome: AttemptOutcome, call: HopCall
    ) -> None:
        with self._lock:
            if isinstance(outcome, NotRun) and outcome.reason in REFUSAL_DETAILS:
                key = _RefusalKey(option.peer.instance, service)
                self._refused_until_s.put(key, time.monotonic() + REFUSAL_S)
            elif isinstance(outcome, Answered | StreamEnded):
                self._serving.put((option.region, service), option.peer.instance)
        circuit = _circuit_id(option.peer)
        match outcome:
            case NotRun(is_sent=False) if not call.is_refused:
                self._policy.breakers.fail(circuit)
            case Lost(is_connection_lost=True) | StreamBroken(is_connection_lost=True) if (
                call.first_byte_s is None
            ):
                self._policy.breakers.fail(circuit)
            case Lost(is_answer_invalid=True):
                self._policy.breakers.fail(circuit)
            case _:
                self._policy.breakers.succeed(circuit)
        if isinstance(outcome, NotRun | Lost | StreamBroken):
            log_event(
                Event.ATTEMPT_FAILED,
                endpoint=option.target,
                reason=outcome.reason,
            )

    def _option(
        self,
        region: RegionId,
        summary: ServiceSummary,
        service: Service,
        generation: Generation,
        excluded_peers: Collection[InstanceId],
        is_urgent: bool,
        contending: ContendingRequest | None = None,
    ) -> RegionOption | None:
        peer = self._choose_peer(region, service.name, excluded_peers)
        if summary.endpoints == 0 or peer is None:
            return None
        own_requests_ms = (
            self._open_requests[region, service.name] / summary.endpoints * OWN_OPEN_REQUEST_MS
        )
        is_own = region == self._peers.own_region
        path_ms = LOCAL_ROUND_TRIP_MS if is_own else ROUND_TRIP_MS + STALENESS_MS
        overhead_ms = own_requests_ms + path_ms
        if contending is not None:
            is_urgent = contending.is_urgent_in(service, region)
        limits = self._policy.prefill_limits(service, region)
        budget_ms = None
        if contending is not None:
            budget_ms = remaining_budget_ms(contending.budget_ms, overhead_ms)
        best = self._estimate(summary, service, generation, is_urgent, limits, budget_ms)
        return RegionOption(
            region,
            peer,
            best.first_ms + overhead_ms,
            best.score + overhead_ms,
            best.is_saturated,
            best.is_queued and self._policy.is_contended(service.name),
        )

    def _choose_peer(
        self, region: RegionId, service: ServiceId, excluded_peers: Collection[InstanceId]
    ) -> Peer | None:
        """Return a gateway at random, after refusals the one that last had an endpoint."""
        now_s = time.monotonic()
        usable = [
            peer
            for peer in self._peers.ready_peers(region)
            if peer.instance not in excluded_peers
            and self._policy.breakers.permits(_circuit_id(peer))
        ]
        peers = [
            peer
            for peer in usable
            if self._refused_until_s.get(_RefusalKey(peer.instance, service), 0.0) <= now_s
        ]
        if not peers:
            return None
        if excluded_peers or len(peers) < len(usable):
            serving = self._serving.get((region, service))
            peers = [peer for peer in peers if peer.instance == serving] or peers
        return self._random.choice(peers)

    def _estimate(
        self,
        summary: ServiceSummary,
        service: Service,
        generation: Generation,
        is_urgent: bool,
        prefill_limits: PrefillLimits,
        budget_ms: float | None,
    ) -> Choice:
        """Return the estimate for the region's best endpoint, by the model for local endpoints."""
        engine = service.engine
        candidate = Candidate(
            EndpointId("best"),
            summary.slots,
            engine.cache_tokens if engine is not None else 0,
            summary.work,
            0,
            summary.pace,
            0.0,
            summary.prefill_tokens_per_s,
            hold_ms=self._policy.slot_times.hold_ms(service.name),
            prefill_limits=prefill_limits,
            budget_ms=budget_ms,
        )
        if engine is not None:
            return engine_choice(candidate, generation, is_urgent)
        return call_choice(candidate, self._policy.pace.call_ms(service.name))


def _circuit_id(peer: Peer) -> EndpointId:
    """Return the key of the circuit breaker for a gateway of another region."""
    return EndpointId(f"gateway/{peer.instance}")
