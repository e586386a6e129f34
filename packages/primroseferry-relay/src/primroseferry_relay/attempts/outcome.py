"""The possible outcomes of one attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages import CompleteAnswer


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer was received.

    ``is_failure``: the answer reports a failure, and another endpoint may succeed. ``is_framed``:
    the answer had a length or chunks; otherwise it ended with its connection, which is also what a
    crash of the endpoint looks like.
    """

    answer: CompleteAnswer
    is_failure: bool
    is_framed: bool = True


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """The stream was forwarded to its end.

    ``events`` is the number of forwarded events, ``is_framed`` as in ``Answered``.
    """

    events: int
    is_framed: bool = True


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The stream broke off after its head was forwarded.

    ``events`` complete events were forwarded; ``last_event_id`` is the last id among them, empty
    for none. ``is_connection_lost``: the connection broke while the endpoint had the request.
    ``exceeds_memory``: this process stopped the stream, which tells nothing of the endpoint.
    """

    reason: str
    last_event_id: str
    events: int
    is_connection_lost: bool = False
    exceeds_memory: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably did not run in this attempt.

    ``is_sent``: the endpoint received the request. ``retry_after_s`` is the time in s after which
    the remote gateway expects to have capacity, ``None`` if it gave none. ``is_permit_denied``: the
    endpoint's request limit was used up.
    """

    reason: str
    is_sent: bool
    retry_after_s: float | None = None
    is_permit_denied: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """No part of an answer was forwarded, and the request may have run.

    ``is_connection_lost``: the connection broke while the endpoint had the request.
    ``is_answer_invalid``: the endpoint sent something that is not HTTP, so it had not crashed.
    ``exceeds_memory``: this process stopped the answer, which tells nothing of the endpoint.
    """

    reason: str
    is_connection_lost: bool = False
    is_answer_invalid: bool = False
    exceeds_memory: bool = False


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller disconnected, or the sink stopped the attempt."""


@dataclass(frozen=True, slots=True)
class Moved:
    """This gateway ended the attempt so that the stream goes on at another endpoint.

    ``events`` and ``last_event_id`` have the same meaning as in ``StreamBroken``.
    """

    reason: str
    last_event_id: str
    events: int


AttemptOutcome = Answered | StreamEnded | StreamBroken | NotRun | Lost | CallerLeft | Moved
