"""Limits that many gateways share, with a simulated clock."""

from __future__ import annotations

import random

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.endpoint_loads import EndpointLoads
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.pace import MAX_STORED_RATIO
from primroseferry_policy.pace import Pace
from primroseferry_policy.part_cache import CACHE_MEMORY_SHARE
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_policy.reading_load import PrefillLoad
from primroseferry_policy.shared_budget import MAX_COLD_ENDPOINTS
from primroseferry_policy.shared_budget import ColdEndpointLimiter
from primroseferry_policy.shared_budget import SharedRetryBudget

SERVICE = ServiceId("orders")
ENDPOINT = EndpointId("e-1")


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.mark.parametrize("gateways", [1, 6, 84])
def test_retries_of_all_gateways_stay_within_the_shared_budget(gateways: int) -> None:
    """Every request fails; the limit for a window is a fifth of its requests plus a slack of 52."""
    clock = Clock()
    budgets = [SharedRetryBudget(10.0, 0.2, 52.0, clock) for _ in range(gateways)]
    random_source = random.Random(gateways)
    requests: list[float] = []
    retries: list[float] = []
    for _ in range(4_000):
        clock.now_s += random_source.expovariate(100.0)
        budget = random_source.choice(budgets)
        budget.note_request(SERVICE)
        requests.append(clock.now_s)
        if budget.spend(SERVICE, gateways):
            retries.append(clock.now_s)
    for end_s in retries:
        in_window = sum(end_s - 10.0 < at <= end_s for at in retries)
        earned = sum(end_s - 10.0 < at <= end_s for at in requests)
        assert in_window <= 0.2 * earned + 52


def test_retry_that_was_not_sent_is_returned_to_the_budget() -> None:
    budget = SharedRetryBudget(10.0, 0.0, 10.0, Clock())
    for _ in range(50):
        assert budget.spend(SERVICE, 1)
        budget.refund(SERVICE)
    assert sum(budget.spend(SERVICE, 1) for _ in range(50)) == 6
    budget.refund(ServiceId("idle"))


def test_budget_of_an_idle_service_is_the_local_share_of_the_slack() -> None:
    budget = SharedRetryBudget(10.0, 0.2, 52.0, Clock())
    assert sum(budget.spend(SERVICE, 6) for _ in range(52)) == 5


def test_changed_limits_apply_at_once() -> None:
    budget = SharedRetryBudget(10.0, 0.2, 0.0, Clock())
    assert not budget.spend(SERVICE, 1)
    budget.set_limits(10.0, 0.2, 100.0)
    assert budget.spend(SERVICE, 1)


def test_two_senders_to_a_cold_endpoint_stay_within_its_rate() -> None:
    """While their views differ, two gateways may both consider themselves the only sender."""
    clock = Clock()
    limiters = [ColdEndpointLimiter(clock), ColdEndpointLimiter(clock)]
    sent: list[float] = []
    for _ in range(500):
        clock.now_s += 0.01
        sent += [clock.now_s for limiter in limiters if limiter.take(ENDPOINT, 2.8)]
    max_per_s = max(sum(start_s <= at < start_s + 1.0 for at in sent) for start_s in sent)
    assert max_per_s <= 2.8 * 1.5 + 3


def test_limiter_does_not_keep_every_endpoint_that_was_ever_cold() -> None:
    clock = Clock()
    limiter = ColdEndpointLimiter(clock)
    for number in range(2 * MAX_COLD_ENDPOINTS):
        clock.now_s += 0.01
        assert limiter.take(EndpointId(f"e-{number}"), 2.8)
    assert limiter.size <= MAX_COLD_ENDPOINTS
    assert not limiter.may_send(EndpointId(f"e-{2 * MAX_COLD_ENDPOINTS - 1}"))


def test_reported_region_work_excludes_own_requests() -> None:
    loads = EndpointLoads()
    region_work = {ENDPOINT: OpenWork(3, 1_000, 1_200)}
    loads.update_region(region_work, {ENDPOINT: OpenWork(1, 100, 200)}, is_full=True)
    assert loads.work(ENDPOINT) == OpenWork(2, 900, 1_000)
    loads.begin(ENDPOINT, Generation((), 900, 100), 400, expected_first_ms=80)
    assert loads.work(ENDPOINT) == OpenWork(3, 1_300, 2_000)


def test_own_report_above_the_region_report_gives_no_negative_work() -> None:
    loads = EndpointLoads()
    loads.update_region({ENDPOINT: OpenWork(1, 5, 5)}, {ENDPOINT: OpenWork(2, 9, 9)}, is_full=True)
    assert loads.work(ENDPOINT) == OpenWork()


def test_full_region_report_replaces_and_partial_one_updates() -> None:
    loads = EndpointLoads()
    other = EndpointId("e-2")
    loads.update_region({ENDPOINT: OpenWork(1), other: OpenWork(2)}, {}, is_full=True)
    loads.update_region({other: OpenWork(4)}, {}, is_full=False)
    assert (loads.work(ENDPOINT), loads.work(other)) == (OpenWork(1), OpenWork(4))
    loads.update_region({other: OpenWork(5)}, {}, is_full=True)
    assert (loads.work(ENDPOINT), loads.work(other)) == (OpenWork(), OpenWork(5))


def test_prefill_load_adds_own_tokens_to_the_region_report() -> None:
    clock = Clock()
    prefill_load = PrefillLoad(clock)
    prefill_load.note(ENDPOINT, 1_000)
    clock.now_s += 0.5
    prefill_load.update_region({ENDPOINT: 9_000}, is_full=True)
    assert prefill_load.tokens_per_s(ENDPOINT) == 9_000
    clock.now_s += 0.1
    prefill_load.note(ENDPOINT, 500)
    assert prefill_load.tokens_per_s(ENDPOINT) == 9_500
    clock.now_s += 0.9
    # A region report that is older than one second does not cover the last second.
    clock.now_s += 0.2
    assert prefill_load.tokens_per_s(ENDPOINT) == 0


def test_own_request_counts_uncached_tokens_until_its_first_byte() -> None:
    clock = Clock()
    loads = EndpointLoads(clock)
    request = loads.begin(ENDPOINT, Generation((), 900, 100), 400, expected_first_ms=80)
    assert loads.work(ENDPOINT) == OpenWork(1, 400, 1_000)
    clock.now_s += 0.5
    assert loads.overdue_ms(ENDPOINT) == pytest.approx(420)
    loads.first_byte(request)
    assert loads.work(ENDPOINT) == OpenWork(1, 0, 1_000)
    assert loads.overdue_ms(ENDPOINT) == 0
    loads.end(request)
    assert loads.own_work() == {}


def test_pace_is_learned_and_bounded_and_decays() -> None:
    clock = Clock()
    pace = Pace(clock)
    for _ in range(50):
        pace.observe(ENDPOINT, 100, 900)
    assert pace.ratio(ENDPOINT) == MAX_STORED_RATIO
    clock.now_s += 30
    assert pace.ratio(ENDPOINT) < 1.1


def test_cached_part_counts_only_after_all_preceding_parts() -> None:
    cache = PartCache()
    first, second = PromptPart(PartId("a"), 100), PromptPart(PartId("b"), 50)
    cache.record_prefill(ENDPOINT, [second])
    assert cache.cached_tokens(ENDPOINT, [first, second]).tokens == 0
    cache.record_prefill(ENDPOINT, [first])
    assert cache.cached_tokens(ENDPOINT, [first, second]).tokens == 150


def test_least_recently_used_parts_are_evicted() -> None:
    cache = PartCache()
    parts = [PromptPart(PartId(f"p{index}"), 100) for index in range(20)]
    for part in parts:
        cache.record_prefill(ENDPOINT, [part], cache_tokens=1_000)
    kept = [part for part in parts if cache.cached_tokens(ENDPOINT, [part]).tokens]
    assert kept == parts[-int(1_000 * CACHE_MEMORY_SHARE / 100) :]


def test_prefill_load_covers_the_last_second() -> None:
    clock = Clock()
    prefill_load = PrefillLoad(clock)
    prefill_load.note(ENDPOINT, 9_000)
    clock.now_s += 0.6
    prefill_load.note(ENDPOINT, 1_000)
    assert prefill_load.tokens_per_s(ENDPOINT) == 10_000
    clock.now_s += 0.6
    assert prefill_load.tokens_per_s(ENDPOINT) == 1_000


def retries_of_failing_fleet(
    budgets: list[SharedRetryBudget], clock: Clock, seconds: float, live_gateways: list[int]
) -> list[float]:
    """Return the times of retries while every request fails.

    Each gateway assumes that its entry of ``live_gateways`` is the number of live gateways.
    """
    source = random.Random(3)
    retries = []
    until_s = clock.now_s + seconds
    while clock.now_s < until_s:
        clock.now_s += source.expovariate(16.0)
        index = source.randrange(len(budgets))
        budgets[index].note_request(SERVICE)
        retries += [
            clock.now_s for _ in range(3) if budgets[index].spend(SERVICE, live_gateways[index])
        ]
    return retries


def test_partitioned_gateways_stay_within_the_shared_budget() -> None:
    clock = Clock()
    budgets = [SharedRetryBudget(10.0, 0.2, 52.0, clock) for _ in range(6)]
    retries_of_failing_fleet(budgets, clock, 15.0, [6] * 6)
    clock.now_s += 20.0
    retries = retries_of_failing_fleet(budgets, clock, 10.0, [1] * 6)
    assert len(retries) <= 0.2 * 160 + 52


def test_restarting_fleet_stays_within_the_shared_budget() -> None:
    clock = Clock()
    retries = []
    for _ in range(3):
        budgets = [SharedRetryBudget(10.0, 0.2, 52.0, clock, is_replacement=True) for _ in range(6)]
        retries += retries_of_failing_fleet(budgets, clock, 1.0, [1] * 6)
        retries += retries_of_failing_fleet(budgets, clock, 2.0, [6] * 6)
    assert len(retries) <= 0.2 * 16 * 9 + 52


def test_gateway_without_earlier_retries_keeps_its_share_in_a_partition() -> None:
    clock = Clock()
    budget = SharedRetryBudget(10.0, 0.2, 52.0, clock)
    budget.note_request(SERVICE, live_gateways=6)
    clock.now_s += 60.0
    assert sum(budget.spend(SERVICE, 1) for _ in range(52)) == 5
