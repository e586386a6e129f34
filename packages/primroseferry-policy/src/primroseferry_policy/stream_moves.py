"""Which streams leave an endpoint before it is gone, and when.

Handles an endpoint with many running streams that ends at a known time. A stream that is not
expected to end before goes on at another endpoint, which has to process its prompt again. The moves
are spread over the remaining time, so that the other endpoints do not get all prompts at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

# The endpoint's time counts from the moment at which its entry was written. The entry has been on
# its way since, and the attempt takes some milliseconds to end. Chosen, not measured.
MARGIN_S = 0.5
# At most this share of the remaining time is margin, so that short notices leave time to spread.
MAX_MARGIN_SHARE = 0.5
# The pace of a stream is known from this number of events on.
MIN_EVENTS = 2
# What is left of a stream that runs longer than usual, as a share of the usual time.
OVERDUE_SHARE = 0.5
# A stream that cannot move is considered again after this time at the earliest.
MIN_RETRY_S = 0.1

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True)
class RunningStream:
    """The progress of one stream at an endpoint; times are in seconds of one clock.

    ``first_ms`` is the expected time to the first byte, ``first_byte_s`` its time, ``None`` before
    it. ``expected_events`` is the number of events expected of this attempt, 0 if unknown, and
    ``usual_ms`` how long streams of the service usually take from the first byte to their end.
    """

    sent_s: float
    first_ms: float
    first_byte_s: float | None
    events: int
    expected_events: float
    usual_ms: float

    def expected_end_s(self, now_s: float) -> float:
        """Return when the stream is expected to end.

        >>> RunningStream(0.0, 200.0, 0.0, 10, 30.0, 1_000.0).expected_end_s(1.0)
        3.0
        """
        usual_s = self.usual_ms / 1000
        if self.first_byte_s is None:
            return max(now_s, self.sent_s + self.first_ms / 1000) + usual_s
        if self.expected_events and self.events >= MIN_EVENTS:
            left = max(0.0, self.expected_events - self.events)
            return now_s + left * (now_s - self.first_byte_s) / self.events
        return max(self.first_byte_s + usual_s, now_s + usual_s * OVERDUE_SHARE)


class MoveSchedule(Generic[Key]):
    """Chooses when the streams of one endpoint that is about to be gone move.

    Each stream gets a random time between now and ``MARGIN_S`` before the endpoint is gone, and
    moves then if it is still not expected to end before. Gateways therefore need not agree.
    """

    def __init__(self, gone_at_s: float, now_s: float, rng: random.Random | None = None) -> None:
        self.gone_at_s = gone_at_s
        margin_s = min(MARGIN_S, MAX_MARGIN_SHARE * max(0.0, gone_at_s - now_s))
        self._last_s = gone_at_s - margin_s
        self._rng = rng or random.Random()
        self._due_s: dict[Key, float] = {}

    def take_due(self, streams: Mapping[Key, RunningStream], now_s: float) -> list[Key]:
        """Return the streams that are to move now, of all that run on the endpoint.

        A stream that is returned and does not move is returned again at a later time.
        """
        self._forget_ended(streams)
        if now_s >= self.gone_at_s:
            return []
        due = []
        for key, stream in streams.items():
            if key not in self._due_s:
                self._due_s[key] = self._draw_s(now_s)
            if now_s < self._due_s[key]:
                continue
            self._due_s[key] = self._draw_s(now_s + MIN_RETRY_S)
            if stream.expected_end_s(now_s) > self.gone_at_s:
                due.append(key)
        return due

    def _draw_s(self, from_s: float) -> float:
        return self._rng.uniform(from_s, self._last_s) if from_s < self._last_s else from_s

    def _forget_ended(self, running: Iterable[Key]) -> None:
        keys = set(running)
        for key in self._due_s.keys() - keys:
            del self._due_s[key]
