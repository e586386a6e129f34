"""Isolation of suspected requests from one another.

A request that was running on an endpoint when it crashed may have caused the crash. It runs again
only on an endpoint without another suspect of this gateway, so that a second crash identifies its
cause and the answers of innocent requests clear them.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId


class SuspectIsolation:
    """The endpoints that run a suspected request, one request each."""

    def __init__(self) -> None:
        self._occupied: set[EndpointId] = set()
        self._changed = threading.Condition()

    def enter(self, endpoints: Sequence[EndpointId], timeout_s: float) -> EndpointId | None:
        """Reserve the first free endpoint; ``None`` if none becomes free within ``timeout_s``."""
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while True:
                for endpoint in endpoints:
                    if endpoint not in self._occupied:
                        self._occupied.add(endpoint)
                        return endpoint
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0 or not endpoints:
                    return None
                self._changed.wait(remaining_s)

    def leave(self, endpoint: EndpointId) -> None:
        """Release an endpoint for the next suspected request."""
        with self._changed:
            self._occupied.discard(endpoint)
            self._changed.notify_all()
