"""The Prometheus metrics of a gateway."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from collections.abc import Sequence

FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0]
ANSWER_BUCKETS_S = [0.05, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0]


class Metrics:
    """Counters, gauges and histograms of one process. All methods are thread-safe."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._lock = threading.Lock()
        self._requests = self._add(
            Counter("primroseferry_requests_total", "Requests by target and outcome.")
        )
        self._attempts = self._add(
            Counter("primroseferry_attempts_total", "Attempts on endpoints by outcome.")
        )
        self._forwards = self._add(
            Counter("primroseferry_forwards_total", "Requests sent to another region.")
        )
        self._resumes = self._add(
            Counter("primroseferry_stream_resumes_total", "Streams resumed on another endpoint.")
        )
        self._open = self._add(Gauge("primroseferry_open_requests", "Requests under way."))
        self._revision = self._add(
            Gauge("primroseferry_plans_revision", "The plan revision in force.")
        )
        self._facts = self._add(Gauge("primroseferry_facts", "Facts held about the fleet."))
        self._first_token = Histogram(
            "primroseferry_first_token_seconds",
            "Time to the first token.",
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self._answer = Histogram(
            "primroseferry_answer_seconds", "Time to the whole answer.", buckets=ANSWER_BUCKETS_S
        )
        self._registry.register(self._first_token)
        self._registry.register(self._answer)

    def _add(self, collector: Counter | Gauge) -> Counter | Gauge:
        self._registry.register(collector)
        return collector

    def count_request(self, target: str, outcome: str) -> None:
        """Count a completed request by its target and outcome."""
        with self._lock:
            self._requests.inc({"target": target, "outcome": outcome})

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt on an endpoint by its outcome."""
        with self._lock:
            self._attempts.inc({"outcome": outcome})

    def count_forward(self, region: str) -> None:
        """Count a request forwarded to ``region``."""
        with self._lock:
            self._forwards.inc({"region": region})

    def count_resume(self) -> None:
        """Count a stream that was resumed on another endpoint."""
        with self._lock:
            self._resumes.inc({})

    def observe_first_token(self, seconds: float) -> None:
        """Record the time from a request to the first token of its answer."""
        with self._lock:
            self._first_token.observe({}, seconds)

    def observe_answer(self, target: str, seconds: float) -> None:
        """Record the time from a request to its complete answer."""
        with self._lock:
            self._answer.observe({"target": target}, seconds)

    def set_state(self, open_requests: int, plans_revision: int, facts: int) -> None:
        """Set the gauges, whose values are read at each scrape."""
        with self._lock:
            self._open.set({}, open_requests)
            self._revision.set({}, plans_revision)
            self._facts.set({}, facts)

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a format that ``accept`` allows, and the response headers."""
        with self._lock:
            content, headers = render(self._registry, accept)
        return content, dict(headers)
