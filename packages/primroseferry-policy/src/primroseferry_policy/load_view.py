"""What a gateway believes about the load of each endpoint.

Load reports lag. A gateway knows its own requests at once, so it adds to each report those of its
own that it started since the report came in, less those that ended.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's own report: open and waiting requests, slots, step time and price.

    ``step_ms`` is the time between two tokens of a stream, or the time of one call of a service;
    ``price`` is for a thousand tokens or for a call, in the operators' currency.
    """

    running: int
    queued: int
    slots: int
    step_ms: float
    price: float


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A report corrected by the gateway's own work in flight."""

    open_requests: int
    slots: int
    step_ms: float
    price: float

    @property
    def utilisation(self) -> float:
        """Open requests for each slot; above 1 requests wait."""
        return self.open_requests / max(1, self.slots)


UNREPORTED = LoadReport(running=0, queued=0, slots=8, step_ms=30.0, price=1.0)


@dataclass(slots=True)
class _Tracked:
    report: LoadReport
    own_open: int = 0
    own_open_at_report: int = 0


class LoadView:
    """The estimates of every endpoint that a gateway uses."""

    def __init__(self) -> None:
        self._tracked: dict[EndpointId, _Tracked] = {}
        self._lock = threading.Lock()

    def report(self, endpoint: EndpointId, report: LoadReport) -> None:
        """Take in a report."""
        with self._lock:
            tracked = self._tracked.setdefault(endpoint, _Tracked(report))
            tracked.report = report
            tracked.own_open_at_report = tracked.own_open

    def begin(self, endpoint: EndpointId) -> None:
        """Note a request sent to the endpoint."""
        with self._lock:
            self._tracked.setdefault(endpoint, _Tracked(UNREPORTED)).own_open += 1

    def end(self, endpoint: EndpointId) -> None:
        """Note the end of a request."""
        with self._lock:
            tracked = self._tracked.get(endpoint)
            if tracked is not None and tracked.own_open > 0:
                tracked.own_open -= 1

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
        """Return how many of the gateway's own requests the endpoint has."""
        with self._lock:
            tracked = self._tracked.get(endpoint)
            return tracked.own_open if tracked is not None else 0

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what is known of an endpoint that is no longer listed."""
        with self._lock:
            self._tracked.pop(endpoint, None)
