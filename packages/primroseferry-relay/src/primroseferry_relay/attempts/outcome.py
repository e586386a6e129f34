"""What became of one attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages import WholeAnswer


@dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint answered whole. ``is_failure``: it failed, and another one may do better."""

    answer: WholeAnswer
    is_failure: bool


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The stream was passed on to its end."""

    events: int


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The stream broke off after whole events were passed on, the last with ``last_event_id``.

    ``is_death``: the connection broke while the endpoint had the request.
    """

    reason: str
    last_event_id: str
    events: int
    is_death: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """It is proved that the request did not run in this attempt.

    ``is_sent`` tells whether the endpoint saw it. ``retry_after_s`` is when the far side expects to
    have room.
    """

    reason: str
    is_sent: bool
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Lost:
    """Nothing of an answer was passed on, and the request may have run.

    ``is_death``: the connection broke while the endpoint had the request.
    """

    reason: str
    is_death: bool = False


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection."""


AttemptOutcome = Answered | StreamEnded | StreamBroken | NotRun | Lost | CallerLeft
