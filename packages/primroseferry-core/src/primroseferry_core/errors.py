"""The closed list of error kinds and the HTTP answer that a caller gets for each."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum


class ExecutionStatus(Enum):
    """Whether a request was executed. ``NO`` is used only where that is proven."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every reason for which a request can fail."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    REQUEST_TOO_SLOW = "request-too-slow"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_OPERATION = "unknown-operation"
    NO_PLAN = "no-plan"
    NOT_PERMITTED = "not-permitted"
    REGION_NOT_PERMITTED = "region-not-permitted"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_NOT_CLAIMED = "key-not-claimed"
    OVER_CAPACITY = "over-capacity"
    QUOTA_EXCEEDED = "quota-exceeded"
    WOULD_BE_LATE = "would-be-late"
    NO_ENDPOINT = "no-endpoint"
    RETRY_BUDGET_SPENT = "retry-budget-spent"
    REGION_LOOP = "region-loop"
    REQUEST_QUARANTINED = "request-quarantined"
    GATEWAY_NOT_READY = "gateway-not-ready"
    GATEWAY_DRAINING = "gateway-draining"
    GATEWAY_BUSY = "gateway-busy"
    DEADLINE_PASSED = "deadline-passed"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_REFUSED = "endpoint-refused"
    ANSWER_INCOMPLETE = "answer-incomplete"
    OUTCOME_UNKNOWN = "outcome-unknown"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer that a caller gets for one error kind.

    ``status`` is the HTTP status code, ``ran`` says whether the request was executed, ``title`` is
    a short sentence that is fixed for the kind, and ``retry_after_s`` is the default number of
    seconds after which the caller may retry, or ``None`` where a retry cannot succeed.
    """

    status: int
    ran: ExecutionStatus
    title: str
    retry_after_s: int | None


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, ExecutionStatus.NO, "The request is malformed", None),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, ExecutionStatus.NO, "The body is too large", None),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(
        431, ExecutionStatus.NO, "The request head is too large", None
    ),
    ErrorKind.REQUEST_TOO_SLOW: ErrorAnswer(
        408, ExecutionStatus.NO, "The request arrived too slowly", 1
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(
        401, ExecutionStatus.NO, "The client is not known", None
    ),
    ErrorKind.UNKNOWN_PATH: ErrorAnswer(404, ExecutionStatus.NO, "There is no such resource", None),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, ExecutionStatus.NO, "No plan names this model", None),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(
        404, ExecutionStatus.NO, "No plan names this service", None
    ),
    ErrorKind.UNKNOWN_OPERATION: ErrorAnswer(
        404, ExecutionStatus.NO, "The service declares no such operation", None
    ),
    ErrorKind.NO_PLAN: ErrorAnswer(403, ExecutionStatus.NO, "The customer has no plan", None),
    ErrorKind.NOT_PERMITTED: ErrorAnswer(
        403, ExecutionStatus.NO, "The plan does not permit this", None
    ),
    ErrorKind.REGION_NOT_PERMITTED: ErrorAnswer(
        403, ExecutionStatus.NO, "The plan does not permit this region", None
    ),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(
        400, ExecutionStatus.NO, "The operation needs an Idempotency-Key", None
    ),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, ExecutionStatus.NO, "The idempotency key belongs to a different request", None
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(
        409, ExecutionStatus.UNKNOWN, "A request with this idempotency key is still running", 1
    ),
    ErrorKind.KEY_NOT_CLAIMED: ErrorAnswer(
        503, ExecutionStatus.UNKNOWN, "The idempotency key could not be claimed", 5
    ),
    ErrorKind.OVER_CAPACITY: ErrorAnswer(
        429, ExecutionStatus.NO, "The plan's capacity is in use", 1
    ),
    ErrorKind.QUOTA_EXCEEDED: ErrorAnswer(
        429, ExecutionStatus.NO, "The workspace's quota is used up", 1
    ),
    ErrorKind.WOULD_BE_LATE: ErrorAnswer(
        503, ExecutionStatus.NO, "The answer could not be ready in the time allowed", 2
    ),
    ErrorKind.NO_ENDPOINT: ErrorAnswer(
        503, ExecutionStatus.NO, "No permitted endpoint is available", 2
    ),
    ErrorKind.RETRY_BUDGET_SPENT: ErrorAnswer(
        503, ExecutionStatus.UNKNOWN, "The attempt failed and the retry budget is spent", 2
    ),
    ErrorKind.REGION_LOOP: ErrorAnswer(
        508, ExecutionStatus.NO, "The request has already been sent to another region", None
    ),
    ErrorKind.REQUEST_QUARANTINED: ErrorAnswer(
        422, ExecutionStatus.UNKNOWN, "Endpoints that ran this request crashed", 600
    ),
    ErrorKind.GATEWAY_NOT_READY: ErrorAnswer(503, ExecutionStatus.NO, "The gateway is starting", 1),
    ErrorKind.GATEWAY_DRAINING: ErrorAnswer(503, ExecutionStatus.NO, "The gateway is stopping", 1),
    ErrorKind.GATEWAY_BUSY: ErrorAnswer(503, ExecutionStatus.NO, "The gateway has no free slot", 1),
    ErrorKind.DEADLINE_PASSED: ErrorAnswer(
        504, ExecutionStatus.UNKNOWN, "The answer was not ready in the time allowed", 2
    ),
    ErrorKind.ENDPOINT_FAILED: ErrorAnswer(502, ExecutionStatus.UNKNOWN, "The endpoint failed", 1),
    ErrorKind.ENDPOINT_REFUSED: ErrorAnswer(
        502, ExecutionStatus.UNKNOWN, "The endpoint refused the request", None
    ),
    ErrorKind.ANSWER_INCOMPLETE: ErrorAnswer(
        502, ExecutionStatus.YES, "The answer broke off and could not be resumed", 1
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        504, ExecutionStatus.UNKNOWN, "Whether the operation ran cannot be proved", 5
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, ExecutionStatus.UNKNOWN, "The gateway failed", 1),
}


@dataclass(frozen=True, slots=True)
class Problem:
    """One failure of one request: its kind, a sentence for the caller, and when to retry.

    ``detail`` says what is wrong and what to do next. ``retry_after_s`` overrides the kind's
    default. ``is_ran_unknown`` replaces the kind's ``ran: no`` by ``unknown``: when a gateway
    refuses a request whose idempotency key may have been dispatched before, the refusal does not
    prove that the operation did not run.

    >>> Problem(ErrorKind.NO_ENDPOINT, "no engine for model small in dakar").ran
    <ExecutionStatus.NO: 'no'>
    """

    kind: ErrorKind
    detail: str
    retry_after_s: int | None = None
    is_ran_unknown: bool = False

    @property
    def answer(self) -> ErrorAnswer:
        """The answer for this kind, from :data:`ERROR_ANSWERS`."""
        return ERROR_ANSWERS[self.kind]

    @property
    def ran(self) -> ExecutionStatus:
        """Whether the request was executed, as the caller sees it."""
        return ExecutionStatus.UNKNOWN if self.is_ran_unknown else self.answer.ran

    @property
    def effective_retry_after_s(self) -> int | None:
        """Seconds after which the caller may retry, or ``None`` where a retry cannot succeed."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.answer.retry_after_s

    def with_execution_unknown(self) -> Problem:
        """Return a copy that says ``unknown`` instead of the kind's own ``ran``."""
        return replace(self, is_ran_unknown=True)


class PrimroseferryError(Exception):
    """Base class of all exceptions that primroseferry defines."""


class ProblemError(PrimroseferryError):
    """Carries a :class:`Problem` to the code that answers the caller."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.kind.value}: {problem.detail}")
        self.problem = problem


def problem_error(kind: ErrorKind, detail: str, retry_after_s: int | None = None) -> ProblemError:
    """Return the exception for a problem of this kind."""
    return ProblemError(Problem(kind, detail, retry_after_s))
