"""Records that callers, gateways, endpoints, links and operators make during a run.

Times are seconds of the wall clock. All processes of a run share one machine and its clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ExecutionStatus(Enum):
    """What an answer says about the execution of the operation.

    ``NO``, ``YES`` and ``UNKNOWN`` have the values that problem answers use.
    """

    ANSWERED = "answered"
    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """The result of one attempt to send an order under a key; the caller may get no answer."""

    key: str
    sent_s: float
    answered_s: float
    ran: ExecutionStatus
    status: int
    body: str
    kind: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRan:
    """A service executed an operation."""

    endpoint: str
    region: str
    key: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ChatAnswered:
    """The result of a chat; the caller may get no answer.

    ``is_complete`` is true if the end mark arrived and agrees with the words.
    """

    prompt: str
    expected_words: tuple[str, ...]
    words: tuple[str, ...]
    is_complete: bool
    is_refused: bool
    kind: str = ""


@dataclass(frozen=True, slots=True)
class EndpointStarted:
    """An endpoint started to process a request."""

    endpoint: str
    region: str
    prompt: str
    at_s: float


@dataclass(frozen=True, slots=True)
class LinkCarried:
    """A marked word of a request's content crossed a link between two regions."""

    from_region: str
    to_region: str
    word: str


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A gateway forwarded a request to another region."""

    request_id: str
    from_region: str
    to_region: str


@dataclass(frozen=True, slots=True)
class RevisionInForce:
    """A gateway put a plan revision in force; ``run`` counts the restarts of its process."""

    gateway: str
    run: int
    revision: int


@dataclass(frozen=True, slots=True)
class PlanReported:
    """The outcome of a plan change, as reported to the operator."""

    change_id: str
    is_accepted: bool


@dataclass(frozen=True, slots=True)
class PlansStored:
    """The ids in the change history of the stored plans at the end of the run."""

    change_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointLeft:
    """A source reported an endpoint as leaving."""

    endpoint: str
    at_s: float


Record = (
    OrderAnswered
    | ServiceRan
    | ChatAnswered
    | EndpointStarted
    | LinkCarried
    | Forwarded
    | RevisionInForce
    | PlanReported
    | PlansStored
    | EndpointLeft
)


@dataclass(frozen=True, slots=True)
class Permission:
    """The regions that may process content whose words start with ``marker``."""

    marker: str
    regions: tuple[str, ...]
