"""Observes one attempt on an endpoint, to learn the endpoint's capacity."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_policy.endpoint_profile import StreamSpeed

from .attempts.event_splitter import count_events
from .attempts.outcome import NotRun

if TYPE_CHECKING:
    from .attempts.outcome import AttemptOutcome
    from .endpoints.endpoint import Endpoint
    from .relay_policy import RelayPolicy


class CapacityObserver:
    """Passes the times of one attempt to the profiles while the endpoint's run stays the same.

    ``expected_ms`` is the time to the first event that is expected of a usual endpoint. A stream is
    observed as it arrives; its end would be seconds too late to notice that an endpoint is slow.
    """

    def __init__(
        self, policy: RelayPolicy, endpoint: Endpoint, expected_ms: float, times_forgotten: int
    ) -> None:
        self._policy = policy
        self._endpoint = endpoint
        self._expected_ms = expected_ms
        self._times_forgotten = times_forgotten
        self._sent_s = time.monotonic()
        self._is_first_noted = False
        self._speed = StreamSpeed(policy.profiles, endpoint.service, endpoint.endpoint)

    def note_first(self, at_s: float) -> None:
        """Record the time of the first event, or of the answer to a call; only once."""
        if self._is_first_noted or not self._is_same_run:
            return
        self._is_first_noted = True
        observed_ms = (at_s - self._sent_s) * 1000
        self._policy.profiles.observe_first(
            self._endpoint.service, self._endpoint.endpoint, self._expected_ms, observed_ms
        )

    def note_events(self, data: bytes) -> None:
        """Record complete events of a stream that arrived just now."""
        if self._is_same_run:
            self._speed.note_events(count_events(data))

    def end(self, first_byte_s: float | None, outcome: AttemptOutcome) -> None:
        """Record the end. An attempt without an answer counts if it took longer than expected."""
        now_s = time.monotonic()
        if first_byte_s is not None:
            self.note_first(first_byte_s)
        elif not isinstance(outcome, NotRun) and (now_s - self._sent_s) * 1000 > self._expected_ms:
            self.note_first(now_s)
        if self._is_same_run:
            # Placement does not use the room yet; operators see it.
            name = self._endpoint.endpoint
            open_requests = self._policy.loads.work(name).requests
            self._policy.profiles.room(name, self._endpoint.slots, open_requests)

    @property
    def _is_same_run(self) -> bool:
        return self._policy.times_forgotten(self._endpoint.endpoint) == self._times_forgotten
