"""Moves running streams from endpoints that are gone soon to other endpoints."""

from __future__ import annotations

import contextlib
import threading
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.stream_moves import MoveSchedule
from primroseferry_policy.stream_moves import RunningStream

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from ..attempts.attempt_call import AttemptCall
    from ..endpoints.catalog import EndpointCatalog
    from ..endpoints.endpoint import EndpointRun

MOVE_REASON = "the endpoint will be gone before the stream ends"


class MoveOutcome(Enum):
    """What became of a stream that was due to move; the values are labels of a metric."""

    MOVED = "moved"
    ENDED_FIRST = "ended-first"
    NO_ENDPOINT = "no-endpoint"
    NO_BUDGET = "no-budget"
    NOT_ALLOWED = "not-allowed"


class MovableStream:
    """One attempt of a stream that may go on at another endpoint.

    ``first_ms``, ``usual_ms`` and ``expected_events`` are those of ``RunningStream``. ``reserve``
    takes what the next attempt costs, and returns ``None``, or why it may not be made.
    """

    def __init__(
        self,
        request_id: str,
        run: EndpointRun,
        first_ms: float,
        usual_ms: float,
        expected_events: float,
        reserve: Callable[[], MoveOutcome | None],
    ) -> None:
        self.request_id = request_id
        self.run = run
        self._first_ms = first_ms
        self._usual_ms = usual_ms
        self._expected_events = expected_events
        self._reserve = reserve
        self._sent_s = time.monotonic()
        self._call: AttemptCall | None = None
        self._is_over = False
        self._lock = threading.Lock()
        self.is_moving = False

    def start(self, call: AttemptCall) -> None:
        """Record the call of the attempt, before it runs."""
        self._call = call

    def progress(self) -> RunningStream:
        """Return what is known of the stream's end."""
        first_byte_s = self._call.first_byte_s if self._call is not None else None
        events = self._call.event_count if self._call is not None else 0
        return RunningStream(
            self._sent_s,
            self._first_ms,
            first_byte_s,
            events,
            self._expected_events,
            self._usual_ms,
        )

    def move(self) -> MoveOutcome | None:
        """Cancel the attempt if the stream can go on elsewhere; ``None`` if it is over already."""
        with self._lock:
            call = self._call
            if self._is_over or self.is_moving or call is None:
                return None
            if not call.can_go_on_elsewhere:
                return MoveOutcome.NOT_ALLOWED
            refusal = self._reserve()
            if refusal is not None:
                return refusal
            self.is_moving = True
            call.move(MOVE_REASON)
            return MoveOutcome.MOVED

    def end(self) -> None:
        """Record that the attempt is over: it cannot be moved from now on."""
        with self._lock:
            self._is_over = True


class StreamMoves:
    """Registers streams while they may move, and moves those that are due."""

    def __init__(
        self, catalog: EndpointCatalog, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._catalog = catalog
        self._clock_s = clock_s
        self._streams: dict[EndpointRun, dict[MovableStream, None]] = {}
        self._schedules: dict[EndpointRun, MoveSchedule[MovableStream]] = {}
        self._outcomes: Counter[MoveOutcome] = Counter()
        self._lock = threading.Lock()

    def outcomes(self) -> Mapping[MoveOutcome, int]:
        """Return how often a stream that was due to move had each outcome."""
        with self._lock:
            return dict(self._outcomes)

    @contextlib.contextmanager
    def running(self, stream: MovableStream) -> Iterator[None]:
        """Register a stream within the ``with`` block."""
        with self._lock:
            self._streams.setdefault(stream.run, {})[stream] = None
        try:
            yield
        finally:
            stream.end()
            with self._lock:
                streams = self._streams[stream.run]
                del streams[stream]
                if not streams:
                    del self._streams[stream.run]

    def note_end(self, has_moved: bool) -> None:
        """Record whether a stream whose attempt was cancelled moves, or had ended by then."""
        with self._lock:
            self._outcomes[MoveOutcome.MOVED if has_moved else MoveOutcome.ENDED_FIRST] += 1

    def tick(self) -> None:
        """Move the streams that are due; never blocks."""
        with self._lock:
            running = {run: list(streams) for run, streams in self._streams.items()}
        for run in self._schedules.keys() - running.keys():
            del self._schedules[run]
        for run, streams in running.items():
            gone_at_s = self._catalog.gone_at_s(run)
            if gone_at_s is None:
                self._schedules.pop(run, None)
                continue
            self._move_due(run, streams, gone_at_s)

    def _move_due(self, run: EndpointRun, streams: list[MovableStream], gone_at_s: float) -> None:
        now_s = self._clock_s()
        schedule = self._schedules.get(run)
        if schedule is None or schedule.gone_at_s != gone_at_s:
            schedule = self._schedules[run] = MoveSchedule(gone_at_s, now_s)
        for stream in schedule.take_due({one: one.progress() for one in streams}, now_s):
            outcome = stream.move()
            if outcome is None:
                continue
            if outcome is not MoveOutcome.MOVED:
                with self._lock:
                    self._outcomes[outcome] += 1
            else:
                log_event(
                    Event.STREAM_MOVED,
                    request_id=stream.request_id,
                    endpoint=run.endpoint,
                    gone_in_ms=round((gone_at_s - now_s) * 1000),
                )
