"""Finds endpoints that take requests of this gateway and answer none of them.

A request that waits much longer than expected, or ends unanswered, tells little by itself: its work
may be long or its deadline short. It puts the endpoint under suspicion only if the endpoint has
answered nothing since the request was sent. A ping then tells slow endpoints from silent ones.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .endpoint import Endpoint
    from .endpoint import EndpointRun

# A wait puts an endpoint under suspicion once it is this many times as long as expected.
SUSPICIOUS_WAIT_RATIO = 4.0
MIN_SUSPICIOUS_WAIT_S = 0.4


@dataclass(frozen=True, slots=True, eq=False)
class UnansweredRequest:
    """A request that was sent to an endpoint which has answered nothing since."""

    endpoint: Endpoint
    sent_s: float
    expected_s: float

    @property
    def suspicious_s(self) -> float:
        """The time from which the wait for an answer is suspicious."""
        wait_s = max(MIN_SUSPICIOUS_WAIT_S, self.expected_s * SUSPICIOUS_WAIT_RATIO)
        return self.sent_s + wait_s


class UnansweredRequests:
    """The requests of one gateway to endpoints that have answered nothing since."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._open: dict[EndpointRun, set[UnansweredRequest]] = {}
        self._suspects: dict[EndpointRun, Endpoint] = {}
        self._pinged: set[EndpointRun] = set()
        self._lock = threading.Lock()

    def begin(self, endpoint: Endpoint, expected_ms: float) -> UnansweredRequest:
        """Record a request that is about to be sent."""
        request = UnansweredRequest(endpoint, self._clock_s(), expected_ms / 1000)
        with self._lock:
            self._open.setdefault(endpoint.run, set()).add(request)
        return request

    def end(self, request: UnansweredRequest) -> None:
        """Record the end of a request, whatever its outcome.

        One that ended before its answer was expected is no evidence.
        """
        run = request.endpoint.run
        with self._lock:
            requests = self._open.get(run, set())
            if request not in requests:
                return
            requests.discard(request)
            if not requests:
                del self._open[run]
            if self._clock_s() - request.sent_s >= request.expected_s:
                self._suspects[run] = request.endpoint

    def note_answer(self, run: EndpointRun) -> None:
        """Record that an endpoint began to answer a request."""
        with self._lock:
            self._clear(run)
            self._pinged.discard(run)

    def suspects(self) -> list[Endpoint]:
        """Return the endpoints under suspicion."""
        now_s = self._clock_s()
        with self._lock:
            suspects = dict(self._suspects)
            for run, requests in self._open.items():
                overdue = (request for request in requests if now_s >= request.suspicious_s)
                request = next(overdue, None)
                if request is not None:
                    suspects[run] = request.endpoint
        return list(suspects.values())

    def begin_ping(self, run: EndpointRun) -> None:
        """Record a ping, which decides about the requests that are unanswered now."""
        with self._lock:
            self._clear(run)
            self._pinged.add(run)

    def end_ping(self, run: EndpointRun) -> bool:
        """Return whether the endpoint has answered no request since the ping was sent."""
        with self._lock:
            is_silent = run in self._pinged
            self._pinged.discard(run)
            return is_silent

    def _clear(self, run: EndpointRun) -> None:
        self._open.pop(run, None)
        self._suspects.pop(run, None)
