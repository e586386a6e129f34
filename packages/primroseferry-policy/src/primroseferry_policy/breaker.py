"""Circuit breakers for endpoints, with half-open trials and a load ramp after recovery.

A failed endpoint gets one trial request after a wait that doubles with each failed trial. After a
successful trial its share of new work grows gradually, because its cache is cold.
"""

from __future__ import annotations

import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_core.ids import EndpointId

FAILURES_TO_OPEN = 2
FIRST_WAIT_S = 0.5
MAX_WAIT_S = 15.0
RAMP_S = 5.0
MIN_RAMP_SHARE = 0.2


class BreakerState(Enum):
    """Whether an endpoint gets work: all, none, or only the trial that is in flight."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True)
class _Circuit:
    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    wait_s: float = FIRST_WAIT_S
    retry_at_s: float = 0.0
    ramp_start_s: float | None = None


class Breakers:
    """The circuit breakers of all endpoints that one gateway uses."""

    def __init__(
        self,
        clock_s: Callable[[], float] = time.monotonic,
        failures_to_open: int = FAILURES_TO_OPEN,
    ) -> None:
        self._failures_to_open = failures_to_open
        self._circuits: dict[EndpointId, _Circuit] = {}
        self._clock_s = clock_s
        self._lock = threading.Lock()

    def permits(self, endpoint: EndpointId) -> bool:
        """Whether the endpoint may be selected now."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is None or circuit.state is BreakerState.CLOSED:
                return True
            return circuit.state is BreakerState.OPEN and self._clock_s() >= circuit.retry_at_s

    def begin(self, endpoint: EndpointId) -> None:
        """Record an attempt; on an open circuit it is the trial, and no other is permitted yet."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is not None and circuit.state is BreakerState.OPEN:
                circuit.state = BreakerState.HALF_OPEN

    @contextmanager
    def attempt(self, endpoint: EndpointId) -> Iterator[None]:
        """Record an attempt whose result is recorded inside; an exception ends it without one."""
        self.begin(endpoint)
        try:
            yield
        except BaseException:
            self.release(endpoint)
            raise

    def succeed(self, endpoint: EndpointId) -> None:
        """Close the circuit and start the load ramp if the circuit was not closed."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is None:
                return
            if circuit.state is not BreakerState.CLOSED:
                log_event(Event.CIRCUIT_CLOSED, endpoint=endpoint)
                circuit.ramp_start_s = self._clock_s()
            circuit.state = BreakerState.CLOSED
            circuit.failures = 0
            circuit.wait_s = FIRST_WAIT_S

    def release(self, endpoint: EndpointId) -> None:
        """End a trial without a result, such as one whose caller disconnected."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is not None and circuit.state is BreakerState.HALF_OPEN:
                circuit.state = BreakerState.OPEN

    def fail(self, endpoint: EndpointId, is_certain: bool = False) -> None:
        """Record a failure and open the circuit at the threshold or after a failed trial.

        ``is_certain`` opens it at once: nothing listens on the address, or nothing responds.
        """
        with self._lock:
            circuit = self._circuits.setdefault(endpoint, _Circuit())
            circuit.failures += 1
            is_trial = circuit.state is BreakerState.HALF_OPEN
            reaches_threshold = is_certain or circuit.failures >= self._failures_to_open
            if not is_trial and not reaches_threshold:
                return
            if circuit.state is BreakerState.CLOSED:
                log_event(Event.CIRCUIT_OPENED, endpoint=endpoint)
            elif is_trial:
                circuit.wait_s = min(MAX_WAIT_S, circuit.wait_s * 2)
            circuit.state = BreakerState.OPEN
            circuit.retry_at_s = self._clock_s() + circuit.wait_s

    def permit_trial_now(self, endpoint: EndpointId) -> None:
        """Permit the next trial at once, because a message from the other side has arrived."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is not None and circuit.state is BreakerState.OPEN:
                circuit.retry_at_s = min(circuit.retry_at_s, self._clock_s())

    def ramp_share(self, endpoint: EndpointId) -> float:
        """Return the share of its capacity that a returning endpoint gets, 0 to 1."""
        with self._lock:
            circuit = self._circuits.get(endpoint)
            if circuit is None or circuit.ramp_start_s is None:
                return 1.0
            progress = (self._clock_s() - circuit.ramp_start_s) / RAMP_S
            return max(MIN_RAMP_SHARE, min(1.0, progress))

    def start_ramp(self, endpoint: EndpointId) -> None:
        """Start the load ramp of a new or returning endpoint."""
        with self._lock:
            self._circuits.setdefault(endpoint, _Circuit()).ramp_start_s = self._clock_s()

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the state of an endpoint that is no longer listed."""
        with self._lock:
            self._circuits.pop(endpoint, None)

    def states(self) -> dict[EndpointId, BreakerState]:
        """Return the circuit state of every endpoint that ever failed or started a ramp."""
        with self._lock:
            return {endpoint: circuit.state for endpoint, circuit in self._circuits.items()}
