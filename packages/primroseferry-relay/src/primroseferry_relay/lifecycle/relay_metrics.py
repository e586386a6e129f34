"""The relay's metrics.

Counts and times are collected in small built-in structures. The metrics library takes more memory
than the rest of an idle gateway, so it is loaded only for the first request to the metrics page, or
once ``MAX_PENDING_TIMES`` times are waiting for it.
"""

from __future__ import annotations

import threading
from collections import Counter
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from aioprometheus.collectors import Registry
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_profile import LearnedCapacity
    from primroseferry_policy.urgent_demand import EnginePlace

    from ..control.counted_store import StoreCallLabels
    from ..crash_attribution import Verdict
    from ..decision import DecisionRecord
    from ..ingress.client_drops import DropReason
    from ..membership.quota_issuer import UnitFlow
    from ..membership.quota_leases import QuotaOutcome
    from ..membership.request_permits import PermitOutcome
    from ..streams.resumptions import OriginSource
    from ..streams.stream_moves import MoveOutcome

DURATION_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0, 16.0]
# How many request times are buffered before they are passed to the library.
MAX_PENDING_TIMES = 5_000
UNKNOWN_SERVICE = "none"
# How many endpoints, services and regions the page names with what was learned of each.
MAX_CAPACITIES = 64
# The labels of one value of a collector, and the value.
_Sample = tuple[dict[str, str], float]


@dataclass(frozen=True, slots=True)
class RequestLabels:
    """Labels of a counted request."""

    service: str
    outcome: str


@dataclass(frozen=True, slots=True)
class RelayGauges:
    """Values that are read from the gateway for each scrape."""

    open_connections: int
    route_revision: int
    endpoints: int
    live_gateways: int
    store_age_ms: float
    log_lines_dropped: int
    collected_members: int
    store_calls: Mapping[StoreCallLabels, int]
    crash_verdicts: Mapping[Verdict, int]
    quarantined: int
    held_parts: int
    request_limits: Mapping[str, float]
    permits: Mapping[PermitOutcome, int]
    resumptions: Mapping[OriginSource, int]
    unreachable_endpoints: int
    is_partitioned: bool
    quota_outcomes: Mapping[QuotaOutcome, int]
    quota_flows: Mapping[UnitFlow, int]
    client_drops: Mapping[DropReason, int]
    capacities: Mapping[EndpointId, LearnedCapacity]
    stream_moves: Mapping[MoveOutcome, int]
    yield_factors: Mapping[EnginePlace, float]
    event_ms: Mapping[ServiceId, float]


class RelayMetrics:
    """Counters, gauges and histograms of one gateway; safe to use from any thread."""

    def __init__(self) -> None:
        self._requests: Counter[RequestLabels] = Counter()
        self._attempts: Counter[str] = Counter()
        self._times: list[tuple[str, float]] = []
        self._histogram: _Histogram | None = None
        self._lock = threading.Lock()

    def count(self, record: DecisionRecord) -> None:
        """Count a finished request and its attempts, and record its duration."""
        service = record.service or UNKNOWN_SERVICE
        with self._lock:
            self._requests[RequestLabels(service, record.outcome)] += 1
            self._attempts[service] += len(record.attempts)
            self._times.append((service, record.elapsed_ms / 1000))
            if len(self._times) >= MAX_PENDING_TIMES:
                self._flush_times()

    def render(self, gauges: RelayGauges, accept: Sequence[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics page and its headers, in a format that ``accept`` allows."""
        from aioprometheus.renderer import render

        with self._lock:
            self._flush_times()
            content, headers = render(self._registry(gauges), accept)
        return content, dict(headers)

    def _flush_times(self) -> None:
        if self._histogram is None:
            self._histogram = _Histogram()
        for service, duration_s in self._times:
            self._histogram.observe(service, duration_s)
        self._times.clear()

    def _registry(self, gauges: RelayGauges) -> Registry:
        from aioprometheus.collectors import Counter as CounterCollector
        from aioprometheus.collectors import Gauge
        from aioprometheus.collectors import Registry

        # Without a registry of its own, each collector joins the library's global one, which
        # rejects the same name at the next scrape.
        registry = Registry()
        for name, text, samples in self._counters(gauges):
            counter = CounterCollector(f"primroseferry_{name}", text, registry=registry)
            for labels, count in samples:
                counter.set(dict(labels), count)
        for name, text, value in (
            ("open_connections", "Callers' connections.", gauges.open_connections),
            ("route_revision", "The revision of the routes in force.", gauges.route_revision),
            ("endpoints", "Endpoints listed.", gauges.endpoints),
            ("live_gateways", "Gateways that live, with this one.", gauges.live_gateways),
            ("store_age_seconds", "Since the store last answered.", gauges.store_age_ms / 1000),
            ("collected_members", "Gateways that tell this one.", gauges.collected_members),
            ("quarantined_requests", "Requests that are given no endpoint.", gauges.quarantined),
            ("held_prompt_parts", "Parts of prompts that crash endpoints.", gauges.held_parts),
            (
                "unreachable_endpoints",
                "Endpoints that left a ping unanswered.",
                gauges.unreachable_endpoints,
            ),
            (
                "is_partitioned",
                "Whether no endpoint of the region is reachable.",
                int(gauges.is_partitioned),
            ),
            ("log_lines_dropped", "Log lines dropped lately.", gauges.log_lines_dropped),
        ):
            gauge = Gauge(f"primroseferry_{name}", text, registry=registry)
            gauge.set({}, value)
        limits = Gauge(
            "primroseferry_endpoint_request_limit",
            "Requests per second that an endpoint takes from all gateways.",
            registry=registry,
        )
        for endpoint, limit_per_s in gauges.request_limits.items():
            limits.set({"endpoint": endpoint}, limit_per_s)
        slowdowns = Gauge(
            "primroseferry_endpoint_slowdown",
            "Learned ratio of an endpoint's times to the expected ones.",
            registry=registry,
        )
        rooms = Gauge(
            "primroseferry_endpoint_room",
            "Learned share of an endpoint's slots that are used while its requests stay on time.",
            registry=registry,
        )
        for name, capacity in islice(gauges.capacities.items(), MAX_CAPACITIES):
            slowdowns.set({"endpoint": name}, capacity.slowdown)
            rooms.set({"endpoint": name}, capacity.room_share)
        yields = Gauge(
            "primroseferry_less_urgent_yield",
            "Part of their limits that less urgent requests use, since urgent ones lack engines.",
            registry=registry,
        )
        for place, factor in islice(gauges.yield_factors.items(), MAX_CAPACITIES):
            yields.set({"service": place.service, "region": place.region}, factor)
        pauses = Gauge(
            "primroseferry_event_seconds",
            "Learned time between events of a service's streams beside prefill.",
            registry=registry,
        )
        for service, event_ms in islice(gauges.event_ms.items(), MAX_CAPACITIES):
            pauses.set({"service": service}, event_ms / 1000)
        if self._histogram is not None:
            registry.register(self._histogram.collector)
        return registry

    def _counters(self, gauges: RelayGauges) -> list[tuple[str, str, list[_Sample]]]:
        """Return name, help text and samples of each counter."""
        requests: list[_Sample] = [
            ({"service": labels.service, "outcome": labels.outcome}, count)
            for labels, count in self._requests.items()
        ]
        attempts: list[_Sample] = [
            ({"service": service}, count) for service, count in self._attempts.items()
        ]
        store_calls: list[_Sample] = [
            ({"call": call.call, "outcome": call.outcome}, count)
            for call, count in gauges.store_calls.items()
        ]
        verdicts: list[_Sample] = [
            ({"verdict": verdict.value}, count) for verdict, count in gauges.crash_verdicts.items()
        ]
        permits: list[_Sample] = [
            ({"outcome": outcome.value}, count) for outcome, count in gauges.permits.items()
        ]
        return [
            ("requests_total", "Requests by outcome.", requests),
            ("attempts_total", "Attempts on endpoints.", attempts),
            ("store_calls_total", "Calls on the store.", store_calls),
            ("lost_attempts_total", "Losses by verdict.", verdicts),
            (
                "stream_resumptions_total",
                "Streams that callers took up, by how their software version became known.",
                [({"source": source.value}, count) for source, count in gauges.resumptions.items()],
            ),
            (
                "stream_moves_total",
                "Streams that were due to leave an endpoint before it is gone.",
                [({"outcome": name.value}, count) for name, count in gauges.stream_moves.items()],
            ),
            ("permits_total", "Permits for endpoints with a request limit.", permits),
            (
                "quota_requests_total",
                "Requests of workspaces with a quota.",
                [({"outcome": name.value}, count) for name, count in gauges.quota_outcomes.items()],
            ),
            (
                "quota_units_total",
                "Units of quotas that this gateway handled as an issuer.",
                [({"flow": flow.value}, count) for flow, count in gauges.quota_flows.items()],
            ),
            (
                "clients_dropped_total",
                "Clients closed or refused to protect the process.",
                [({"reason": drop.value}, count) for drop, count in gauges.client_drops.items()],
            ),
        ]


class _Histogram:
    """The metrics library's histogram of request durations."""

    def __init__(self) -> None:
        from aioprometheus.collectors import Histogram
        from aioprometheus.collectors import Registry

        self.collector = Histogram(
            "primroseferry_request_seconds",
            "Time from a request's head to the end of its answer.",
            registry=Registry(),
            buckets=DURATION_BUCKETS_S,
        )

    def observe(self, service: str, duration_s: float) -> None:
        """Record one request duration in seconds."""
        self.collector.observe({"service": service}, duration_s)
