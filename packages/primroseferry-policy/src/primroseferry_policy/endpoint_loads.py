"""The open requests of each endpoint: a gateway's own, and those its peers tell."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import InstanceId

    from .prompt import Generation


@dataclass(frozen=True, slots=True)
class OpenWork:
    """Open requests, prompt tokens not read yet, and tokens of engine memory taken."""

    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0

    def __add__(self, other: OpenWork) -> OpenWork:
        return OpenWork(
            self.requests + other.requests,
            self.unread_tokens + other.unread_tokens,
            self.held_tokens + other.held_tokens,
        )

    def __neg__(self) -> OpenWork:
        return OpenWork(-self.requests, -self.unread_tokens, -self.held_tokens)


NO_WORK = OpenWork()


@dataclass(slots=True)
class OpenRequest:
    """One request that an endpoint was given and has not finished."""

    endpoint: EndpointId
    unread_tokens: int
    held_tokens: int
    expected_first_ms: float
    started_s: float
    is_answering: bool = False


class EndpointLoads:
    """Open work by endpoint."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._own: dict[EndpointId, dict[int, OpenRequest]] = {}
        self._peers: dict[InstanceId, Mapping[EndpointId, OpenWork]] = {}
        self._notes: dict[InstanceId, dict[EndpointId, OpenWork]] = {}
        # The sum over all peers, kept up to date so that a look-up does not grow with the fleet.
        self._peers_total: dict[EndpointId, OpenWork] = {}
        self._lock = threading.Lock()

    def begin(
        self,
        endpoint: EndpointId,
        generation: Generation,
        unread_tokens: int,
        expected_first_ms: float,
    ) -> OpenRequest:
        """Note a request that is given to the endpoint."""
        request = OpenRequest(
            endpoint, unread_tokens, generation.held_tokens, expected_first_ms, self._clock_s()
        )
        with self._lock:
            self._own.setdefault(endpoint, {})[id(request)] = request
        return request

    def first_byte(self, request: OpenRequest) -> None:
        """Note that the endpoint has begun to answer, so that the prompt is read."""
        request.is_answering = True

    def end(self, request: OpenRequest) -> None:
        """Note the end of a request, whatever it was."""
        with self._lock:
            own = self._own.get(request.endpoint, {})
            own.pop(id(request), None)
            if not own:
                self._own.pop(request.endpoint, None)

    def hear_peer(self, instance: InstanceId, loads: Mapping[EndpointId, OpenWork]) -> None:
        """Take in all open work of another gateway; it holds what was noted singly before."""
        with self._lock:
            self._drop_peer(instance)
            self._peers[instance] = loads
            for endpoint, work in loads.items():
                self._add_to_total(endpoint, work)

    def hear_begin(self, instance: InstanceId, endpoint: EndpointId, work: OpenWork) -> None:
        """Take in one request that another gateway just gave to an endpoint."""
        with self._lock:
            notes = self._notes.setdefault(instance, {})
            notes[endpoint] = notes.get(endpoint, NO_WORK) + work
            self._add_to_total(endpoint, work)

    def forget_peer(self, instance: InstanceId) -> None:
        """Drop what a gateway told that is gone."""
        with self._lock:
            self._drop_peer(instance)

    def own_work(self) -> dict[EndpointId, OpenWork]:
        """Return this gateway's open work, as it tells it to its peers."""
        with self._lock:
            return {name: _sum(requests) for name, requests in self._own.items()}

    def work(self, endpoint: EndpointId) -> OpenWork:
        """Return all open work that is known of an endpoint."""
        with self._lock:
            own = self._own.get(endpoint)
            total = self._peers_total.get(endpoint, NO_WORK)
            return total + _sum(own) if own else total

    def _drop_peer(self, instance: InstanceId) -> None:
        for loads in (self._peers.pop(instance, None), self._notes.pop(instance, None)):
            for endpoint, work in (loads or {}).items():
                self._add_to_total(endpoint, -work)

    def _add_to_total(self, endpoint: EndpointId, work: OpenWork) -> None:
        total = self._peers_total.get(endpoint, NO_WORK) + work
        if total == NO_WORK:
            self._peers_total.pop(endpoint, None)
        else:
            self._peers_total[endpoint] = total

    def overdue_ms(self, endpoint: EndpointId) -> float:
        """Return by how much the endpoint's worst open request misses its expected first byte."""
        now_s = self._clock_s()
        with self._lock:
            waits = [
                (now_s - request.started_s) * 1000 - request.expected_first_ms
                for request in self._own.get(endpoint, {}).values()
                if not request.is_answering
            ]
        return max([0.0, *waits])


def _sum(requests: Mapping[int, OpenRequest]) -> OpenWork:
    open_requests = requests.values()
    return OpenWork(
        len(requests),
        sum(request.unread_tokens for request in open_requests if not request.is_answering),
        sum(request.held_tokens for request in open_requests),
    )
