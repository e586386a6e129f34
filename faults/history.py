"""What callers, gateways, endpoints, links and operators recorded during a run.

Times are seconds of the machine's wall clock; every process of a run is on one machine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """What an answer said of the work."""

    ANSWERED = "answered"
    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """A caller got an answer, or none, to one sending of an order under a key."""

    key: str
    sent_s: float
    answered_s: float
    ran: Ran
    status: int
    body: str
    kind: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRan:
    """A service ran an operation."""

    endpoint: str
    region: str
    key: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ChatAnswered:
    """A caller got an answer to a chat: its words, and whether its end mark agrees with them."""

    prompt: str
    expected_words: tuple[str, ...]
    words: tuple[str, ...]
    is_whole: bool
    is_refused: bool
    kind: str = ""


@dataclass(frozen=True, slots=True)
class EndpointStarted:
    """An endpoint began to work on a request."""

    endpoint: str
    region: str
    prompt: str
    at_s: float


@dataclass(frozen=True, slots=True)
class LinkCarried:
    """A word of a request's content crossed a link."""

    from_region: str
    to_region: str
    word: str


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A gateway sent a request to another region."""

    request_id: str
    from_region: str
    to_region: str


@dataclass(frozen=True, slots=True)
class InForce:
    """A gateway put a plan revision in force; ``run`` tells one run of its process from others."""

    gateway: str
    run: int
    revision: int


@dataclass(frozen=True, slots=True)
class PlanReported:
    """An operator was told what came of a change."""

    change_id: str
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class PlansKept:
    """The changes that the stored plans name at the end of the run."""

    change_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint was said to be leaving, by any source."""

    endpoint: str
    at_s: float


Record = (
    OrderAnswered
    | ServiceRan
    | ChatAnswered
    | EndpointStarted
    | LinkCarried
    | Forwarded
    | InForce
    | PlanReported
    | PlansKept
    | EndpointLeft
)


@dataclass(frozen=True, slots=True)
class Permission:
    """The regions that may see words that start with ``marker``."""

    marker: str
    regions: tuple[str, ...]
