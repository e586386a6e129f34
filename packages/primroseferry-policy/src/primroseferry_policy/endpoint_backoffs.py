"""Backoff of endpoints that refused a request and stated when to retry."""

from __future__ import annotations

import math
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId

# Longer backoffs are reduced to this, so that the endpoint is tried again.
MAX_BACKOFF_S = 300.0


class EndpointBackoffs:
    """Endpoints that stated a time before which this gateway must not send to them again.

    The backoff protects endpoints that shed load: an immediate retry only adds to the load.

    >>> from primroseferry_core.ids import EndpointId
    >>> backoffs = EndpointBackoffs(lambda: 10.0)
    >>> backoffs.note(EndpointId("e-1"), 1.5)
    >>> backoffs.remaining_s(EndpointId("e-1"))
    1.5
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._until_s: dict[EndpointId, float] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: EndpointId, rest_s: float) -> None:
        """Back off for ``rest_s`` seconds; ignored unless it is finite and positive."""
        if not math.isfinite(rest_s) or rest_s <= 0:
            return
        until_s = self._clock_s() + min(rest_s, MAX_BACKOFF_S)
        with self._lock:
            self._until_s[endpoint] = max(until_s, self._until_s.get(endpoint, 0.0))

    def remaining_s(self, endpoint: EndpointId) -> float:
        """Return the remaining backoff of the endpoint in seconds, 0 if there is none."""
        until_s = self._until_s.get(endpoint)
        if until_s is None:
            return 0.0
        remaining_s = until_s - self._clock_s()
        if remaining_s <= 0:
            with self._lock:
                if self._until_s.get(endpoint) == until_s:
                    del self._until_s[endpoint]
            return 0.0
        return remaining_s

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the backoff of an endpoint whose process is new."""
        with self._lock:
            self._until_s.pop(endpoint, None)
