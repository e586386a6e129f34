from __future__ import annotations

import pytest
from primroseferry_core.errors import ProblemError
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import PlanId
from primroseferry_core.ids import RegionId
from primroseferry_core.plans import Weights
from primroseferry_policy.capacity import CapacityKey
from primroseferry_policy.capacity import PlanCapacity
from primroseferry_policy.capacity import local_share
from primroseferry_policy.load_view import LoadEstimate
from primroseferry_policy.load_view import LoadReport
from primroseferry_policy.load_view import LoadView
from primroseferry_policy.retry_budget import RETRIES_PER_FIRST_ATTEMPT
from primroseferry_policy.retry_budget import RetryBudget
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import Option
from primroseferry_policy.routing import RemoteTarget
from primroseferry_policy.routing import Work
from primroseferry_policy.routing import estimate_option
from primroseferry_policy.routing import rank_options

LOCAL = LocalTarget(EndpointId("near"))
REMOTE = RemoteTarget(RegionId("far"))
WORK = Work(prompt_characters=400, answer_tokens=50)


def option(target: LocalTarget | RemoteTarget, open_requests: int, price: float = 1.0) -> Option:
    load = LoadEstimate(open_requests, slots=8, step_ms=40.0, price=price)
    return estimate_option(target, load, WORK, is_cached=False)


@pytest.mark.parametrize(
    ("weights", "local_open", "local_price", "chosen"),
    [
        (Weights(cost=1, tail_latency=1, share_sent_away=1), 0, 1.0, LOCAL),
        (Weights(cost=0, tail_latency=1, share_sent_away=0), 40, 1.0, REMOTE),
        (Weights(cost=1, tail_latency=0, share_sent_away=0), 0, 5.0, REMOTE),
        (Weights(cost=1, tail_latency=0, share_sent_away=3), 0, 5.0, LOCAL),
    ],
)
def test_weights_decide_between_regions(
    weights: Weights, local_open: int, local_price: float, chosen: LocalTarget | RemoteTarget
) -> None:
    options = [option(LOCAL, local_open, local_price), option(REMOTE, 0)]

    assert rank_options(options, weights, accepted_cost=10.0)[0].target == chosen


def test_price_above_the_accepted_cost_is_rejected() -> None:
    assert rank_options([option(LOCAL, 0, price=11.0)], Weights(), accepted_cost=10.0) == []


def test_request_beyond_the_slots_waits() -> None:
    assert option(LOCAL, 8).first_token_ms > option(LOCAL, 7).first_token_ms


def test_own_requests_correct_a_lagging_report() -> None:
    loads = LoadView()
    engine = EndpointId("engine")
    loads.begin(engine)
    loads.report(engine, LoadReport(running=5, queued=0, slots=8, step_ms=40.0, price=1.0))
    loads.begin(engine)
    loads.begin(engine)
    assert loads.estimate(engine).open_requests == 7
    loads.end(engine)
    loads.end(engine)
    loads.end(engine)
    assert loads.estimate(engine).open_requests == 4


def test_retries_are_a_share_of_first_attempts() -> None:
    budget = RetryBudget(available=0.0)
    for _ in range(100):
        budget.earn()
    spent = 0
    while budget.spend():
        spent += 1

    assert spent <= 100 * RETRIES_PER_FIRST_ATTEMPT


@pytest.mark.parametrize(("total", "members"), [(1, 7), (100, 7), (7, 7), (5, 2)])
def test_local_shares_add_up_to_the_capacity(total: int, members: int) -> None:
    assert sum(local_share(total, member, members) for member in range(members)) == total


def test_request_above_the_limit_is_rejected_until_another_ends() -> None:
    capacity = PlanCapacity()
    key = CapacityKey(PlanId("basic"), "small")
    with capacity.hold(key, 1), pytest.raises(ProblemError), capacity.hold(key, 1):
        pass
    with capacity.hold(key, 1):
        assert capacity.open_requests() == {key: 1}
    assert capacity.open_requests() == {}
