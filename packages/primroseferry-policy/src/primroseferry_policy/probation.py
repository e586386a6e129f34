"""Isolation of suspected requests from one another.

A request that was running on an endpoint when it died may have killed it. It is run again only
where no other suspect of this gateway runs, so that a second death names the one that caused it and
the innocent ones are cleared by their answers.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId


class Probation:
    """Which endpoint runs a suspect."""

    def __init__(self) -> None:
        self._occupied: set[EndpointId] = set()
        self._changed = threading.Condition()

    def enter(self, endpoints: Sequence[EndpointId], timeout_s: float) -> EndpointId | None:
        """Take the first free endpoint, waiting for one; ``None`` if none became free in time."""
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
        """Free an endpoint for the next suspect."""
        with self._changed:
            self._occupied.discard(endpoint)
            self._changed.notify_all()
