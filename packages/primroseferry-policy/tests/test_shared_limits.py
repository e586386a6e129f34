"""Limits that many gateways keep together, played by a clock of the test's own."""

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
from primroseferry_policy.reading_load import ReadingLoad
from primroseferry_policy.shared_budget import ColdGate
from primroseferry_policy.shared_budget import SharedRetryBudget

SERVICE = ServiceId("orders")
ENDPOINT = EndpointId("e-1")


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.mark.parametrize("gateways", [1, 6, 84])
def test_repeats_of_all_gateways_stay_within_the_shared_budget(gateways: int) -> None:
    """Every request fails: in no window may retries pass a fifth of the requests and the slack."""
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
        owed = sum(end_s - 10.0 < at <= end_s for at in requests)
        assert in_window <= 0.2 * owed + 52


def test_budget_of_a_quiet_service_is_its_share_of_the_slack() -> None:
    budget = SharedRetryBudget(10.0, 0.2, 52.0, Clock())
    assert sum(budget.spend(SERVICE, 6) for _ in range(52)) == 5


def test_changed_limits_are_kept_from_then_on() -> None:
    budget = SharedRetryBudget(10.0, 0.2, 0.0, Clock())
    assert not budget.spend(SERVICE, 1)
    budget.set_limits(10.0, 0.2, 100.0)
    assert budget.spend(SERVICE, 1)


def test_two_senders_to_a_cold_endpoint_stay_below_its_bound() -> None:
    """While views differ two gateways may both think that they are the sender."""
    clock = Clock()
    gates = [ColdGate(clock), ColdGate(clock)]
    sent: list[float] = []
    for _ in range(500):
        clock.now_s += 0.01
        sent += [clock.now_s for gate in gates if gate.take(ENDPOINT, 2.8)]
    worst = max(sum(start_s <= at < start_s + 1.0 for at in sent) for start_s in sent)
    assert worst <= 2.8 * 1.5 + 3


def test_region_work_counts_without_this_gateways_own_share() -> None:
    loads = EndpointLoads()
    told = {ENDPOINT: OpenWork(3, 1_000, 1_200)}
    loads.hear_region(told, {ENDPOINT: OpenWork(1, 100, 200)}, is_full=True)
    assert loads.work(ENDPOINT) == OpenWork(2, 900, 1_000)
    loads.begin(ENDPOINT, Generation((), 900, 100), 400, expected_first_ms=80)
    assert loads.work(ENDPOINT) == OpenWork(3, 1_300, 2_000)


def test_share_that_the_region_does_not_count_yet_makes_no_negative_work() -> None:
    loads = EndpointLoads()
    loads.hear_region({ENDPOINT: OpenWork(1, 5, 5)}, {ENDPOINT: OpenWork(2, 9, 9)}, is_full=True)
    assert loads.work(ENDPOINT) == OpenWork()


def test_whole_word_of_the_region_replaces_and_news_only_change() -> None:
    loads = EndpointLoads()
    other = EndpointId("e-2")
    loads.hear_region({ENDPOINT: OpenWork(1), other: OpenWork(2)}, {}, is_full=True)
    loads.hear_region({other: OpenWork(4)}, {}, is_full=False)
    assert (loads.work(ENDPOINT), loads.work(other)) == (OpenWork(1), OpenWork(4))
    loads.hear_region({other: OpenWork(5)}, {}, is_full=True)
    assert (loads.work(ENDPOINT), loads.work(other)) == (OpenWork(), OpenWork(5))


def test_reading_of_the_region_is_joined_with_what_was_given_since() -> None:
    clock = Clock()
    reading = ReadingLoad(clock)
    reading.note(ENDPOINT, 1_000)
    clock.now_s += 0.5
    reading.hear_region({ENDPOINT: 9_000}, is_full=True)
    assert reading.tokens_per_s(ENDPOINT) == 9_000
    clock.now_s += 0.1
    reading.note(ENDPOINT, 500)
    assert reading.tokens_per_s(ENDPOINT) == 9_500
    clock.now_s += 0.9
    # What the region told a second ago tells nothing of the last second.
    clock.now_s += 0.2
    assert reading.tokens_per_s(ENDPOINT) == 0


def test_own_request_counts_as_unread_until_its_first_byte() -> None:
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


def test_pace_is_learned_bounded_and_forgotten() -> None:
    clock = Clock()
    pace = Pace(clock)
    for _ in range(50):
        pace.observe(ENDPOINT, 100, 900)
    assert pace.ratio(ENDPOINT) == MAX_STORED_RATIO
    clock.now_s += 30
    assert pace.ratio(ENDPOINT) < 1.1


def test_parts_are_cached_only_after_all_parts_before_them() -> None:
    cache = PartCache()
    first, second = PromptPart(PartId("a"), 100), PromptPart(PartId("b"), 50)
    cache.note_read(ENDPOINT, [second])
    assert cache.held_tokens(ENDPOINT, [first, second]).tokens == 0
    cache.note_read(ENDPOINT, [first])
    assert cache.held_tokens(ENDPOINT, [first, second]).tokens == 150


def test_least_recently_read_parts_are_given_up() -> None:
    cache = PartCache()
    parts = [PromptPart(PartId(f"p{number}"), 100) for number in range(20)]
    for part in parts:
        cache.note_read(ENDPOINT, [part], cache_tokens=1_000)
    kept = [part for part in parts if cache.held_tokens(ENDPOINT, [part]).tokens]
    assert kept == parts[-int(1_000 * CACHE_MEMORY_SHARE / 100) :]


def test_reading_load_covers_the_last_second() -> None:
    clock = Clock()
    reading = ReadingLoad(clock)
    reading.note(ENDPOINT, 9_000)
    clock.now_s += 0.6
    reading.note(ENDPOINT, 1_000)
    assert reading.tokens_per_s(ENDPOINT) == 10_000
    clock.now_s += 0.6
    assert reading.tokens_per_s(ENDPOINT) == 1_000


def repeats_of_fleet_that_fails(
    budgets: list[SharedRetryBudget], clock: Clock, seconds: float, seen: list[int]
) -> list[float]:
    """Let each request fail and each gateway believe ``seen`` gateways to live."""
    source = random.Random(3)
    retries = []
    until_s = clock.now_s + seconds
    while clock.now_s < until_s:
        clock.now_s += source.expovariate(16.0)
        number = source.randrange(len(budgets))
        budgets[number].note_request(SERVICE)
        retries += [clock.now_s for _ in range(3) if budgets[number].spend(SERVICE, seen[number])]
    return retries


def test_gateways_that_cannot_see_each_other_stay_within_the_shared_budget() -> None:
    clock = Clock()
    budgets = [SharedRetryBudget(10.0, 0.2, 52.0, clock) for _ in range(6)]
    repeats_of_fleet_that_fails(budgets, clock, 15.0, [6] * 6)
    clock.now_s += 20.0
    retries = repeats_of_fleet_that_fails(budgets, clock, 10.0, [1] * 6)
    assert len(retries) <= 0.2 * 160 + 52


def test_fleet_that_restarts_stays_within_the_shared_budget() -> None:
    clock = Clock()
    retries = []
    for _ in range(3):
        budgets = [
            SharedRetryBudget(10.0, 0.2, 52.0, clock, replaces_another=True) for _ in range(6)
        ]
        retries += repeats_of_fleet_that_fails(budgets, clock, 1.0, [1] * 6)
        retries += repeats_of_fleet_that_fails(budgets, clock, 2.0, [6] * 6)
    assert len(retries) <= 0.2 * 16 * 9 + 52


def test_gateway_that_never_repeated_before_a_cut_still_knows_its_share() -> None:
    clock = Clock()
    budget = SharedRetryBudget(10.0, 0.2, 52.0, clock)
    budget.note_request(SERVICE, live_gateways=6)
    clock.now_s += 60.0
    assert sum(budget.spend(SERVICE, 1) for _ in range(52)) == 5
