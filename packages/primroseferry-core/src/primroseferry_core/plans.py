"""Data types of the operators' two lists: each customer's plan, and what each plan may use."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ids import ChangeId
    from .ids import CustomerId
    from .ids import ModelId
    from .ids import PlanId
    from .ids import RegionId
    from .ids import ServiceId


class Urgency(Enum):
    """Priority of a plan's requests over those of other plans."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class Execution(Enum):
    """Whether an operation of a service may be executed more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"


@dataclass(frozen=True, slots=True)
class Weights:
    """How much each measure counts when a plan's request is routed; only the ratios matter."""

    cost: float = 1.0
    tail_latency: float = 1.0
    share_sent_away: float = 1.0


@dataclass(frozen=True, slots=True)
class ModelUse:
    """One model that a plan may use, with its fleet-wide limit of in-flight requests.

    ``version`` is the version that the model's engines should load; where it is empty, each engine
    decides. All plans that name a version of a model must name the same one.
    """

    model: ModelId
    max_open_requests: int
    version: str = ""


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a plain service, such as ``POST /orders``.

    ``lookup_path`` is an idempotent look-up that reports whether the operation ran; ``{key}`` in it
    is replaced by the idempotency key. It is empty where the service has no look-up.
    """

    method: str
    path: str
    execution: Execution
    lookup_path: str = ""


@dataclass(frozen=True, slots=True)
class ServiceUse:
    """One plain service that a plan may use, with its operations.

    ``max_open_requests`` is the fleet-wide limit of in-flight requests.
    """

    service: ServiceId
    max_open_requests: int
    operations: tuple[Operation, ...]

    def find_operation(self, method: str, path: str) -> Operation | None:
        """Return the operation with this method whose path is the longest prefix of ``path``."""
        best: Operation | None = None
        for operation in self.operations:
            if operation.method != method or not _is_path_prefix(operation.path, path):
                continue
            if best is None or len(operation.path) > len(best.path):
                best = operation
        return best


def _is_path_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


@dataclass(frozen=True, slots=True)
class CustomerPlan:
    """One row of the first list: which plan a customer has."""

    customer: CustomerId
    plan: PlanId


@dataclass(frozen=True, slots=True)
class PlanUse:
    """One row of the second list: what a plan may use.

    ``accepted_cost`` is the highest price an endpoint may have, in the operators' currency for a
    thousand tokens (models) or a call (services). Only ``regions`` may receive any content of the
    plan's requests.
    """

    plan: PlanId
    regions: tuple[RegionId, ...]
    urgency: Urgency
    accepted_cost: float
    weights: Weights = Weights()
    models: tuple[ModelUse, ...] = ()
    services: tuple[ServiceUse, ...] = ()

    def find_model(self, model: ModelId) -> ModelUse | None:
        """Return the plan's entry for ``model``, or ``None`` where the plan may not use it."""
        return next((use for use in self.models if use.model == model), None)

    def find_service(self, service: ServiceId) -> ServiceUse | None:
        """Return the plan's entry for ``service``, or ``None`` where the plan may not use it."""
        return next((use for use in self.services if use.service == service), None)


@dataclass(frozen=True, slots=True)
class PlanChange:
    """One accepted change in the document's bounded history."""

    change_id: ChangeId
    revision: int
    author: str
    summary: str


@dataclass(frozen=True, slots=True)
class PlanDocument:
    """Both lists at one revision, with the most recent changes, newest first."""

    revision: int
    customers: tuple[CustomerPlan, ...]
    plans: tuple[PlanUse, ...]
    history: tuple[PlanChange, ...] = ()
    _plan_by_customer: dict[CustomerId, PlanUse] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the plans by customer: every request looks one up."""
        plan_by_id = {use.plan: use for use in self.plans}
        for row in self.customers:
            if row.plan in plan_by_id:
                self._plan_by_customer[row.customer] = plan_by_id[row.plan]

    def plan_of(self, customer: CustomerId) -> PlanUse | None:
        """Return what the customer's plan may use, or ``None`` for a customer without a plan."""
        return self._plan_by_customer.get(customer)

    def desired_versions(self) -> dict[ModelId, str]:
        """Return the version that engines should load, for each model that has one."""
        uses = [use for plan in self.plans for use in plan.models]
        return {use.model: use.version for use in uses if use.version}

    def has_change(self, change_id: ChangeId) -> bool:
        """Return whether the document's history contains the change; old changes are removed."""
        return any(change.change_id == change_id for change in self.history)


EMPTY_DOCUMENT = PlanDocument(revision=0, customers=(), plans=())
