"""Open requests of each endpoint: this gateway's own, and those that its region reports."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId

    from .prompt import Generation


@dataclass(frozen=True, slots=True)
class OpenWork:
    """Open requests, prompt tokens awaiting prefill, and tokens of engine memory in use."""

    requests: int = 0
    uncached_tokens: int = 0
    memory_tokens: int = 0

    def __add__(self, other: OpenWork) -> OpenWork:
        return OpenWork(
            self.requests + other.requests,
            self.uncached_tokens + other.uncached_tokens,
            self.memory_tokens + other.memory_tokens,
        )

    def without(self, other: OpenWork) -> OpenWork:
        """Return this work less ``other``, with no value below 0."""
        return OpenWork(
            max(0, self.requests - other.requests),
            max(0, self.uncached_tokens - other.uncached_tokens),
            max(0, self.memory_tokens - other.memory_tokens),
        )

    def __neg__(self) -> OpenWork:
        return OpenWork(-self.requests, -self.uncached_tokens, -self.memory_tokens)


NO_WORK = OpenWork()


@dataclass(slots=True)
class OpenRequest:
    """A request that was sent to an endpoint and has not ended."""

    endpoint: EndpointId
    uncached_tokens: int
    memory_tokens: int
    expected_first_ms: float
    started_s: float
    address: str = ""
    is_answering: bool = False


class EndpointLoads:
    """Open work by endpoint."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._own: dict[EndpointId, dict[int, OpenRequest]] = {}
        self._region_work: dict[EndpointId, OpenWork] = {}
        self._own_reported: Mapping[EndpointId, OpenWork] = {}
        self._reported_s = float("-inf")
        # Estimated number of requests that other gateways placed since their last report.
        self.unreported_placements = 0.0
        self._lock = threading.Lock()

    def begin(
        self,
        endpoint: EndpointId,
        generation: Generation,
        uncached_tokens: int,
        expected_first_ms: float,
        address: str = "",
    ) -> OpenRequest:
        """Record a request that is sent to the endpoint at an address."""
        request = OpenRequest(
            endpoint,
            uncached_tokens,
            generation.memory_tokens,
            expected_first_ms,
            self._clock_s(),
            address,
        )
        with self._lock:
            self._own.setdefault(endpoint, {})[id(request)] = request
        return request

    def first_byte(self, request: OpenRequest) -> None:
        """Record that the endpoint has begun to answer, which means that prefill is complete."""
        request.is_answering = True

    def end(self, request: OpenRequest) -> None:
        """Record the end of a request, whatever its outcome."""
        with self._lock:
            own = self._own.get(request.endpoint, {})
            own.pop(id(request), None)
            if not own:
                self._own.pop(request.endpoint, None)

    def set_address(self, endpoint: EndpointId, address: str) -> None:
        """Drop this gateway's requests that were sent to an earlier address of the endpoint.

        Those sent to the same address may have reached the process that listens there now.
        """
        with self._lock:
            own = self._own.get(endpoint, {})
            kept = {key: request for key, request in own.items() if request.address == address}
            if kept:
                self._own[endpoint] = kept
            else:
                self._own.pop(endpoint, None)

    def update_region(
        self,
        region_work: Mapping[EndpointId, OpenWork],
        own_reported: Mapping[EndpointId, OpenWork],
        is_full: bool,
    ) -> None:
        """Store the reported open work of all gateways of the region, this gateway included.

        ``region_work`` holds the changed endpoints, or all endpoints if ``is_full``.
        ``own_reported`` is the part of it that this gateway itself reported.
        """
        with self._lock:
            if is_full:
                self._region_work = dict(region_work)
            else:
                self._region_work.update(region_work)
            self._own_reported = own_reported
            self._reported_s = self._clock_s()

    @property
    def report_age_s(self) -> float:
        """Seconds since the last report of the region's work, infinite before the first."""
        return self._clock_s() - self._reported_s

    def own_work(self) -> dict[EndpointId, OpenWork]:
        """Return this gateway's open work by endpoint, as it is reported to peers."""
        with self._lock:
            return {name: _total_work(requests) for name, requests in self._own.items()}

    def work(self, endpoint: EndpointId) -> OpenWork:
        """Return all known open work of an endpoint."""
        with self._lock:
            own = self._own.get(endpoint)
            others = self._region_work.get(endpoint, NO_WORK).without(
                self._own_reported.get(endpoint, NO_WORK)
            )
            return others + _total_work(own) if own else others

    def overdue_ms(self, endpoint: EndpointId) -> float:
        """Return how far the most overdue first byte is past its expected time, at least 0."""
        now_s = self._clock_s()
        with self._lock:
            waits = [
                (now_s - request.started_s) * 1000 - request.expected_first_ms
                for request in self._own.get(endpoint, {}).values()
                if not request.is_answering
            ]
        return max([0.0, *waits])


def _total_work(requests: Mapping[int, OpenRequest]) -> OpenWork:
    open_requests = requests.values()
    return OpenWork(
        len(requests),
        sum(request.uncached_tokens for request in open_requests if not request.is_answering),
        sum(request.memory_tokens for request in open_requests),
    )
