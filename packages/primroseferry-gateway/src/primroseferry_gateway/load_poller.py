"""Polls the load of endpoints, publishes it in the region and its sum to other regions.

Two gateways of a region poll each endpoint. A report is published only if it differs enough from
the last one that either of them published, or to refresh that one before it expires. The second
poller refreshes ``SECOND_POLLER_DELAY_S`` later, so that only one of the two repeats a report.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.checked_json import JsonObject
from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.logs import log_event
from primroseferry_peers.proto.peer_pb2 import ENDPOINT_LEAVING
from primroseferry_peers.proto.peer_pb2 import ENDPOINT_LOAD
from primroseferry_peers.proto.peer_pb2 import REGION_LOAD
from primroseferry_peers.proto.peer_pb2 import Fact
from primroseferry_peers.proto.peer_pb2 import LoadFact
from primroseferry_policy.load_view import LoadReport
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_peers.exchanger import Exchanger
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore
    from primroseferry_policy.breaker import Breakers
    from primroseferry_policy.load_view import LoadView
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import HttpResult

    from .fleet import Endpoint
    from .fleet import FleetView

POLLERS_PER_ENDPOINT = 2
POLL_TIMEOUT_MS = 1_000
LOAD_TTL_MS = 45_000
REFRESH_S = 20.0
SECOND_POLLER_DELAY_S = 3.0
SIGNIFICANT_SHARE_OF_SLOTS = 0.1
REGION_LOAD_S = 1.0
REGION_LOAD_TTL_MS = 12_000
REGION_REFRESH_S = 4.0
LEAVING_TTL_MS = 30_000


class LoadPoller:
    """Polls the endpoints that are assigned to this gateway by rendezvous hashing."""

    def __init__(
        self,
        identity: SelfIdentity,
        loop: CurlLoop,
        fleet: FleetView,
        facts: FactStore,
        exchanger: Exchanger,
        loads: LoadView,
        breakers: Breakers,
        poll_ms: int,
    ) -> None:
        self._identity = identity
        self._loop = loop
        self._fleet = fleet
        self._facts = facts
        self._exchanger = exchanger
        self._loads = loads
        self._breakers = breakers
        self._poll_s = poll_ms / 1000
        self._known: set[EndpointId] = set()
        self._next_summary_s = 0.0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start polling on a background thread."""
        threading.Thread(target=self._run, name="load-poller", daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._poll_s):
            endpoints = self._fleet.region_endpoints()
            self._update_known(endpoints)
            self._poll([endpoint for endpoint in endpoints if self._rank(endpoint) is not None])
            if time.monotonic() >= self._next_summary_s:
                self._next_summary_s = time.monotonic() + REGION_LOAD_S
                self._publish_region_loads(endpoints)

    def _update_known(self, endpoints: list[Endpoint]) -> None:
        """Drop endpoints that are no longer listed, and ramp up new ones, whose caches are cold."""
        listed = {endpoint.endpoint for endpoint in endpoints}
        if self._known:
            for endpoint in listed - self._known:
                self._breakers.start_ramp(endpoint)
        for endpoint in self._known - listed:
            self._loads.forget(endpoint)
            self._breakers.forget(endpoint)
        self._known = listed

    def _rank(self, endpoint: Endpoint) -> int | None:
        """Return this gateway's rank among the pollers of an endpoint, ``None`` if not a poller."""
        live = [str(row.instance) for row in self._fleet.live_gateways(self._identity.region)]
        if self._identity.instance not in live:
            live.append(self._identity.instance)
        pollers = rendezvous_order(f"load/{endpoint.endpoint}", live)[:POLLERS_PER_ENDPOINT]
        me = str(self._identity.instance)
        return pollers.index(me) if me in pollers else None

    def _poll(self, endpoints: list[Endpoint]) -> None:
        calls = [
            HttpCall("GET", f"http://{endpoint.address}/v1/load", timeout_ms=POLL_TIMEOUT_MS)
            for endpoint in endpoints
        ]
        pending = [self._loop.submit(call) for call in calls]
        for endpoint, call in zip(endpoints, pending, strict=True):
            self._take_report(endpoint, call.future.result())

    def _take_report(self, endpoint: Endpoint, answer: HttpResult) -> None:
        match answer:
            case Ok(HttpReply(status=200, body=body)):
                report = _parse_report(endpoint.endpoint, body)
            case Err(failure):
                log_event(Event.LOAD_POLL_FAILED, endpoint=endpoint.endpoint, reason=failure.reason)
                if failure.stage is FailureStage.NOT_SENT:
                    self._breakers.fail(endpoint.endpoint)
                return
            case _:
                return
        if report is None:
            return
        if report.is_leaving:
            self._publish_leaving(endpoint)
        load = report.load
        if self._must_publish(endpoint, load):
            self._publish(ENDPOINT_LOAD, endpoint.endpoint, load, LOAD_TTL_MS, fleet_wide=False)
        else:
            self._loads.report(endpoint.endpoint, load_report(load))

    def _must_publish(self, endpoint: Endpoint, load: LoadFact) -> bool:
        """Whether the last published load of the endpoint is missing, outdated or expires soon."""
        refresh_after_s = REFRESH_S + (self._rank(endpoint) or 0) * SECOND_POLLER_DELAY_S
        age_ms = LOAD_TTL_MS - self._facts.remaining_ttl_ms(ENDPOINT_LOAD, endpoint.endpoint)
        known = self._facts.find(ENDPOINT_LOAD, endpoint.endpoint)
        return known is None or age_ms > refresh_after_s * 1000 or _differs(known.load, load)

    def _must_publish_region_load(self, subject: str, load: LoadFact) -> bool:
        """Whether the last published sum is missing, outdated or expires soon."""
        age_ms = REGION_LOAD_TTL_MS - self._facts.remaining_ttl_ms(REGION_LOAD, subject)
        known = self._facts.find(REGION_LOAD, subject)
        return known is None or age_ms > REGION_REFRESH_S * 1000 or _differs(known.load, load)

    def _publish(
        self, kind: int, subject: str, load: LoadFact, ttl_ms: int, fleet_wide: bool
    ) -> None:
        fact = Fact(
            kind=kind,  # type: ignore[arg-type]
            subject=subject,
            region=self._identity.region,
            fleet_wide=fleet_wide,
            version=time.time_ns() // 1_000_000,
            ttl_ms=ttl_ms,
            load=load,
        )
        self._facts.accept([fact])

    def _publish_leaving(self, endpoint: Endpoint) -> None:
        is_newly_leaving = not self._fleet.is_leaving(endpoint.endpoint)
        fact = Fact(
            kind=ENDPOINT_LEAVING,
            subject=endpoint.endpoint,
            region=self._identity.region,
            version=time.time_ns() // 1_000_000,
            ttl_ms=LEAVING_TTL_MS,
        )
        self._facts.accept([fact])
        if is_newly_leaving:
            log_event(Event.ENDPOINT_LEAVING, endpoint=endpoint.endpoint, source="load report")
            self._exchanger.push_soon()

    def _publish_region_loads(self, endpoints: list[Endpoint]) -> None:
        if not self._fleet.has_region_role("region-load", 1):
            return
        for serves in sorted({endpoint.serves for endpoint in endpoints}):
            usable = [
                endpoint.endpoint
                for endpoint in endpoints
                if endpoint.serves == serves
                and not self._fleet.is_leaving(endpoint.endpoint)
                and self._breakers.permits(endpoint.endpoint)
            ]
            estimates = [self._loads.estimate(endpoint) for endpoint in usable]
            total = LoadFact(
                running=sum(estimate.open_requests for estimate in estimates),
                slots=sum(estimate.slots for estimate in estimates),
                step_ms=_mean([estimate.step_ms for estimate in estimates]),
                price=min((estimate.price for estimate in estimates), default=0.0),
            )
            subject = f"{self._identity.region}/{serves}"
            if self._must_publish_region_load(subject, total):
                self._publish(REGION_LOAD, subject, total, REGION_LOAD_TTL_MS, fleet_wide=True)


@dataclass(frozen=True, slots=True)
class _EndpointReport:
    load: LoadFact
    is_leaving: bool


def _parse_report(endpoint: EndpointId, body: bytes) -> _EndpointReport | None:
    """Return an endpoint's load report, ``None`` if it is not usable."""
    try:
        report = JsonObject.parse(body)
        load = LoadFact(
            running=report.integer("running"),
            queued=report.integer("queued"),
            slots=report.integer("slots"),
            step_ms=report.number("step_ms"),
            price=report.number("price"),
        )
    except ValueError as error:
        log_event(Event.ENDPOINT_ANSWER_MALFORMED, endpoint=endpoint, reason=str(error))
        return None
    return _EndpointReport(load, report.flag("leaving"))


def load_report(load: LoadFact) -> LoadReport:
    """Convert a load fact to a report for the load view."""
    return LoadReport(load.running, load.queued, load.slots, load.step_ms, load.price)


def _differs(known: LoadFact, load: LoadFact) -> bool:
    """Whether two loads differ enough to matter for routing."""
    if (load.slots, load.step_ms, load.price) != (known.slots, known.step_ms, known.price):
        return True
    change = abs(load.running + load.queued - known.running - known.queued)
    return change > load.slots * SIGNIFICANT_SHARE_OF_SLOTS


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0
