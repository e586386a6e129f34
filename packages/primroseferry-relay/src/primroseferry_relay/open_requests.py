"""The requests that a gateway is serving, for its callers and for other gateways."""

from __future__ import annotations

import contextlib
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_core.ids import RequestId


class Origin(Enum):
    """Who sent a request to this gateway."""

    CALLER = "caller"
    GATEWAY = "gateway"


@dataclass(frozen=True, slots=True, eq=False)
class OpenRequest:
    """A request that is being served. ``started_s`` is the monotonic time at which it arrived.

    ``route`` is the name of its route, empty if no route matches it. ``give_up`` ends the request
    because the process is about to end; with ``False`` only if its answer has not begun.
    """

    request_id: RequestId
    origin: Origin
    route: str
    started_s: float
    give_up: Callable[[bool], None] = lambda _is_begun_ended: None

    @property
    def age_ms(self) -> int:
        """Whole milliseconds since the request arrived."""
        return round((time.monotonic() - self.started_s) * 1000)


class OpenRequests:
    """Registers requests while they are served; safe to use from any thread."""

    def __init__(self) -> None:
        self._requests: dict[OpenRequest, None] = {}
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def serving(self, request: OpenRequest) -> Iterator[None]:
        """Register a request within the ``with`` block."""
        with self._lock:
            self._requests[request] = None
        try:
            yield
        finally:
            with self._lock:
                del self._requests[request]

    def all(self) -> list[OpenRequest]:
        """Return the open requests, those that were registered first come first."""
        with self._lock:
            return list(self._requests)

    def count(self, origin: Origin) -> int:
        """Return how many requests of an origin are open."""
        return sum(request.origin is origin for request in self.all())

    def give_up(self, ends_begun: bool) -> None:
        """End the requests without an answer, and also those with a begun one if ``ends_begun``."""
        for request in self.all():
            request.give_up(ends_begun)

    def longest_ms(self, route: str) -> int:
        """Return the age of a route's oldest open request in milliseconds, 0 if none is open."""
        return max((request.age_ms for request in self.all() if request.route == route), default=0)
