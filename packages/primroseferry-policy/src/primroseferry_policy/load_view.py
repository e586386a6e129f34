"""A gateway's estimate of the load of each endpoint.

Load reports lag, but a gateway knows its own requests at once. To each report it adds its own
requests that started since the report arrived and subtracts those that ended.
"""

from __future__ import annotations

import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_core.ids import EndpointId


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's own report: running and queued requests, slots, step time and price.

    ``step_ms`` is the time between two tokens of a stream, or the time of one call of a service.
    ``price`` is per thousand tokens or per call, in the operators' currency.
    """

    running: int
    queued: int
    slots: int
    step_ms: float
    price: float


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A load report corrected by the gateway's own in-flight requests."""

    open_requests: int
    slots: int
    step_ms: float
    price: float

    @property
    def utilisation(self) -> float:
        """Open requests per slot; above 1, requests wait."""
        return self.open_requests / max(1, self.slots)


UNREPORTED = LoadReport(running=0, queued=0, slots=8, step_ms=30.0, price=1.0)


@dataclass(slots=True)
class _Tracked:
    report: LoadReport
    own_open: int = 0
    own_open_at_report: int = 0


class LoadView:
    """Load estimates of all endpoints that a gateway uses."""

    def __init__(self) -> None:
        self._tracked: dict[EndpointId, _Tracked] = {}
        self._lock = threading.Lock()

    def report(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Store the report of an endpoint."""
        with self._lock:
            tracked = self._tracked.setdefault(endpoint, _Tracked(report))
            tracked.report = report
            tracked.own_open_at_report = tracked.own_open

    def begin(self, endpoint: EndpointId) -> None:
        """Record a request that is sent to the endpoint."""
        with self._lock:
            self._tracked.setdefault(endpoint, _Tracked(UNREPORTED)).own_open += 1

    def end(self, endpoint: EndpointId) -> None:
        """Record the end of a request."""
        with self._lock:
            tracked = self._tracked.get(endpoint)
            if tracked is not None and tracked.own_open > 0:
                tracked.own_open -= 1

    @contextmanager
    def open_request(self, endpoint: EndpointId) -> Iterator[None]:
        """Count a request as open inside the context."""
        self.begin(endpoint)
        try:
            yield
        finally:
            self.end(endpoint)

    def estimate(self, endpoint: EndpointId) -> LoadEstimate:
        """Return the corrected load of an endpoint."""
        with self._lock:
            tracked = self._tracked.get(endpoint, _Tracked(UNREPORTED))
            report = tracked.report
            reported = report.running + report.queued
            corrected = reported + tracked.own_open - tracked.own_open_at_report
            open_requests = max(corrected, tracked.own_open, 0)
            return LoadEstimate(open_requests, report.slots, report.step_ms, report.price)

    def own_open(self, endpoint: EndpointId) -> int:
        """Return the number of this gateway's own requests at the endpoint."""
        with self._lock:
            tracked = self._tracked.get(endpoint)
            return tracked.own_open if tracked is not None else 0

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the load of an endpoint that is no longer listed."""
        with self._lock:
            self._tracked.pop(endpoint, None)
