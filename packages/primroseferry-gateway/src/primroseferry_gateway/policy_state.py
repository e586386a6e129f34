"""The routing and admission state of one gateway."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from primroseferry_policy.admission import AnswerLengths
from primroseferry_policy.breaker import Breakers
from primroseferry_policy.capacity import PlanCapacity
from primroseferry_policy.load_view import LoadView
from primroseferry_policy.probation import SuspectIsolation
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.retry_budget import RetryBudget


@dataclass(frozen=True, slots=True)
class PolicyState:
    """Load estimates, failure records, and the capacity and retries in use."""

    loads: LoadView = field(default_factory=LoadView)
    breakers: Breakers = field(default_factory=Breakers)
    budget: RetryBudget = field(default_factory=RetryBudget)
    capacity: PlanCapacity = field(default_factory=PlanCapacity)
    quarantine: Quarantine = field(default_factory=Quarantine)
    probation: SuspectIsolation = field(default_factory=SuspectIsolation)
    answer_lengths: AnswerLengths = field(default_factory=AnswerLengths)
