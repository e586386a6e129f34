"""The open requests of each endpoint: a gateway's own, and those of its region."""

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

    def without(self, other: OpenWork) -> OpenWork:
        """Return what is left of this work, never below nothing."""
        return OpenWork(
            max(0, self.requests - other.requests),
            max(0, self.unread_tokens - other.unread_tokens),
            max(0, self.held_tokens - other.held_tokens),
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
        self._told: dict[EndpointId, OpenWork] = {}
        self._own_share: Mapping[EndpointId, OpenWork] = {}
        # Requests that other gateways have probably placed since they were last heard of.
        self.unseen_placements = 0.0
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

    def hear_region(
        self,
        told: Mapping[EndpointId, OpenWork],
        own_share: Mapping[EndpointId, OpenWork],
        is_full: bool,
    ) -> None:
        """Take in what all gateways of the region have open, this one's share included.

        ``told`` holds what changed, or everything where ``is_full``. ``own_share`` is what of it
        this gateway had told itself.
        """
        with self._lock:
            if is_full:
                self._told = dict(told)
            else:
                self._told.update(told)
            self._own_share = own_share

    def own_work(self) -> dict[EndpointId, OpenWork]:
        """Return this gateway's open work, as it tells it to its peers."""
        with self._lock:
            return {name: _sum(requests) for name, requests in self._own.items()}

    def work(self, endpoint: EndpointId) -> OpenWork:
        """Return all open work that is known of an endpoint."""
        with self._lock:
            own = self._own.get(endpoint)
            others = self._told.get(endpoint, NO_WORK).without(
                self._own_share.get(endpoint, NO_WORK)
            )
            return others + _sum(own) if own else others

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
