"""Recent routing decisions of a gateway, shown by ``primroseferry state explain``."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget

if TYPE_CHECKING:
    from primroseferry_core.ids import RequestId
    from primroseferry_policy.routing import Option
    from primroseferry_policy.routing import Target

MAX_TRACES = 2_000


@dataclass(frozen=True, slots=True)
class OptionSummary:
    """One option with the values that it was ranked by, times in milliseconds."""

    target: str
    score: float
    wait_ms: float
    first_token_ms: float
    total_ms: float
    price: float
    is_cached: bool


@dataclass(frozen=True, slots=True)
class TraceStep:
    """One event of a request, ``at_ms`` milliseconds after its entry."""

    at_ms: float
    what: str
    detail: str
    options: tuple[OptionSummary, ...] = ()


@dataclass(slots=True)
class DecisionTrace:
    """The decisions of a gateway about one request, in order.

    ``began_s`` is on this process's monotonic clock.
    """

    request_id: RequestId
    target: str
    began_s: float
    steps: list[TraceStep] = field(default_factory=list)

    def note(self, what: str, detail: str = "", options: tuple[Option, ...] = ()) -> None:
        """Append a step with the options that were considered."""
        at_ms = round((time.monotonic() - self.began_s) * 1000, 2)
        summaries = tuple(_summarize(option) for option in options)
        self.steps.append(TraceStep(at_ms, what, detail, summaries))


class DecisionLog:
    """The traces of the newest ``MAX_TRACES`` requests; safe on any thread."""

    def __init__(self) -> None:
        self._traces: BoundedMap[RequestId, DecisionTrace] = BoundedMap(MAX_TRACES)
        self._lock = threading.Lock()

    def open(self, request_id: RequestId, target: str) -> DecisionTrace:
        """Start the trace of a request and drop the oldest trace if there are too many."""
        trace = DecisionTrace(request_id, target, time.monotonic())
        with self._lock:
            self._traces.put(request_id, trace)
        return trace

    def find(self, request_id: RequestId) -> DecisionTrace | None:
        """Return the trace of a request, or ``None`` if it was dropped or never existed."""
        with self._lock:
            return self._traces.get(request_id)

    def __len__(self) -> int:
        return len(self._traces)


def describe_target(target: Target) -> str:
    """Return a readable name of a target."""
    match target:
        case LocalTarget(endpoint):
            return f"endpoint {endpoint}"
        case RemoteTarget(region):
            return f"region {region}"


def _summarize(option: Option) -> OptionSummary:
    return OptionSummary(
        target=describe_target(option.target),
        score=round(option.score, 4),
        wait_ms=round(option.wait_ms, 1),
        first_token_ms=round(option.first_token_ms, 1),
        total_ms=round(option.total_ms, 1),
        price=option.price,
        is_cached=option.is_cached,
    )
