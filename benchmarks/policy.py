"""Compares routing policies with and without faults, and writes ``docs/POLICY.md``."""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from dataclasses import dataclass
from enum import Enum
from itertools import product
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np
from matplotlib import pyplot
from policy_testbed import CUSTOMERS
from policy_testbed import PRICES
from policy_testbed import REGIONS
from policy_testbed import arrivals_of_day
from policy_testbed import percentile
from policy_testbed import run_after
from policy_testbed import start_policy_testbed
from primroseferry_policy.routing_policy import ROUTING_POLICIES
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import wait_until

if TYPE_CHECKING:
    from policy_testbed import Customer
    from policy_testbed import Outcome
    from policy_testbed import PolicyTestbed

PAGE = Path(__file__).parent.parent / "docs" / "POLICY.md"
DAY_S = 5.0
LOAD = 0.7
WORKERS = 5
FAULT_AT_S = 1.2
HEAL_AT_S = 3.5
LOAD_REPORT_LAG_MS = 5_000
RETRY_STORM_RETRIES = 3
RETRY_STORM_LOAD = 1.4
CRASH_MARKER = "poison"
COST_SCALE = 1.0
FIRST_TOKEN_SCALE_MS = 1_400.0
NOT_DONE_WEIGHT = 10.0


class Scenario(Enum):
    """The fault or load during a day of arrivals."""

    CALM = "calm"
    HALF_LOST = "a region loses half its engines"
    COLD_RETURN = "a region returns cold"
    CUT = "cut between two regions"
    LATE_REPORTS = "load reports 5 s late"
    RETRY_STORM = "retry storm at 1.4 times the capacity"
    CRASH_REQUEST = "crash request"
    AT_CAPACITY = "at capacity"
    TWICE_CAPACITY = "at twice the capacity"


@dataclass(frozen=True, slots=True)
class Row:
    """The measurements of one run; shares are between 0 and 1."""

    done_in_time: float
    cost: float
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    answer_p50_ms: float
    answer_p95_ms: float
    answer_p99_ms: float
    sent_away: float
    refused: float
    wasted: float
    done_per_s: float
    score: float


@dataclass(frozen=True, slots=True)
class Task:
    """The runs of one customer and policy, over all scenarios and seeds."""

    customer: int
    policy: str
    seeds: int
    scenarios: tuple[Scenario, ...]


@dataclass(frozen=True, slots=True)
class Measured:
    """The measurements of one customer, policy and scenario, one for each seed."""

    customer: str
    policy: str
    scenario: Scenario
    rows: list[Row]


def main() -> int:
    """Run the comparison and write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--customer", type=int, choices=(0, 1))
    parser.add_argument("--policy", choices=tuple(ROUTING_POLICIES))
    parser.add_argument("--scene", choices=[scenario.name for scenario in Scenario])
    parser.add_argument("--quiet-page", action="store_true", help="do not write the page")
    arguments = parser.parse_args()
    customers = range(2) if arguments.customer is None else [arguments.customer]
    policies = [arguments.policy] if arguments.policy else list(ROUTING_POLICIES)
    scenarios = (Scenario[arguments.scene],) if arguments.scene else tuple(Scenario)
    tasks = [
        Task(customer, policy, arguments.seeds, scenarios)
        for customer, policy in product(customers, policies)
    ]
    began_s = time.monotonic()
    with ProcessPoolExecutor(WORKERS) as pool:
        measured = [row for rows in pool.map(_run_task, tasks) for row in rows]
    page = _page(measured, arguments.seeds, time.monotonic() - began_s)
    print(page)
    if not arguments.quiet_page:
        PAGE.write_text(page)
        _plot(measured)
    return 0


def _run_task(task: Task) -> list[Measured]:
    customer = CUSTOMERS[task.customer]
    testbed = start_policy_testbed(customer, task.policy)
    rows: dict[Scenario, list[Row]] = {scenario: [] for scenario in task.scenarios}
    try:
        for seed, scenario in product(range(task.seeds), task.scenarios):
            if (
                scenario in (Scenario.AT_CAPACITY, Scenario.TWICE_CAPACITY)
                and task.policy != "weighted"
            ):
                continue
            rows[scenario].append(_run_scenario(testbed, scenario, seed))
    finally:
        testbed.deployment.close()
    return [
        Measured(customer.name, task.policy, scenario, rows[scenario])
        for scenario in task.scenarios
        if rows[scenario]
    ]


def _run_scenario(testbed: PolicyTestbed, scenario: Scenario, seed: int) -> Row:
    testbed.restore()
    _wait_for_engines(testbed)
    load, retries = LOAD, 0
    match scenario:
        case Scenario.HALF_LOST:
            run_after(FAULT_AT_S, lambda: _kill_half(testbed))
        case Scenario.COLD_RETURN:
            for name in testbed.engine_names(REGIONS[1]):
                testbed.remove_engine(name)
            _wait_for_engines(testbed)
            run_after(FAULT_AT_S, lambda: _return_cold(testbed))
        case Scenario.CUT:
            run_after(FAULT_AT_S, lambda: testbed.deployment.cut("north", "middle"))
            run_after(HEAL_AT_S, lambda: testbed.deployment.cut("north", "middle", "none"))
        case Scenario.LATE_REPORTS:
            for process in testbed.deployment.endpoints.values():
                process.fault(load_lag_ms=LOAD_REPORT_LAG_MS)
        case Scenario.RETRY_STORM:
            load, retries = RETRY_STORM_LOAD, RETRY_STORM_RETRIES
        case Scenario.CRASH_REQUEST:
            for process in testbed.deployment.endpoints.values():
                process.fault(crash_marker=CRASH_MARKER)
            run_after(FAULT_AT_S, lambda: _send_crash_request(testbed, seed))
        case Scenario.AT_CAPACITY:
            load = 1.0
        case Scenario.TWICE_CAPACITY:
            load = 2.0
    before = testbed.tokens_sent()
    outcomes = testbed.replay(arrivals_of_day(testbed.customer, load, DAY_S, seed), retries)
    sent = max(0, testbed.tokens_sent() - before)
    return _measure(testbed.customer, outcomes, testbed.serving_regions(), sent)


def _wait_for_engines(testbed: PolicyTestbed) -> None:
    """Wait until gateways list exactly their region's engines, then let open circuits close."""
    for name, process in testbed.deployment.gateways.items():
        region = testbed.deployment.regions[name]
        expected = set(testbed.engine_names(region))
        wait_until(
            lambda process=process, expected=expected: expected  # type: ignore[misc]
            == {row["endpoint"] for row in gateway_state(process)["endpoints"]},
            f"{name} to list its engines",
        )
    time.sleep(1.5)


def _kill_half(testbed: PolicyTestbed) -> None:
    names = testbed.engine_names(REGIONS[0])
    for name in names[: len(names) // 2]:
        testbed.deployment.endpoints[name].kill()


def _return_cold(testbed: PolicyTestbed) -> None:
    for _ in range(testbed.customer.engines[1]):
        testbed.add_engine(REGIONS[1])


def _send_crash_request(testbed: PolicyTestbed, seed: int) -> None:
    arrival = arrivals_of_day(testbed.customer, LOAD, DAY_S, seed)[0]
    crash_arrival = type(arrival)(0.0, 0, arrival.kind, f"{CRASH_MARKER} {seed}")
    testbed.replay([crash_arrival])


def _measure(
    customer: Customer, outcomes: list[Outcome], regions: dict[str, str], tokens_sent: int
) -> Row:
    done = [row for row in outcomes if row.is_done]
    in_time = [row for row in outcomes if row.is_in_time]
    home_regions = [REGIONS[row.arrival.region] for row in done]
    served_regions = [
        regions.get(row.request_id, home) for row, home in zip(done, home_regions, strict=True)
    ]
    remote_count = sum(
        region != home for region, home in zip(served_regions, home_regions, strict=True)
    )
    prices = [float(PRICES[region]) for region in served_regions]
    first_token_times = [row.first_token_ms for row in done]
    answer_times = [row.answer_ms for row in done]
    delivered = sum(row.arrival.kind.answer_tokens for row in in_time)
    sent_away = remote_count / max(1, len(done))
    cost = float(np.mean(prices)) if prices else 0.0
    done_in_time = len(in_time) / max(1, len(outcomes))
    weights = customer.weights
    total = weights.cost + weights.tail_latency + weights.share_sent_away
    terms = (
        weights.cost * cost / COST_SCALE
        + weights.tail_latency * percentile(first_token_times, 95) / FIRST_TOKEN_SCALE_MS
        + weights.share_sent_away * sent_away
    ) / total
    return Row(
        done_in_time=done_in_time,
        cost=cost,
        first_p50_ms=percentile(first_token_times, 50),
        first_p95_ms=percentile(first_token_times, 95),
        first_p99_ms=percentile(first_token_times, 99),
        answer_p50_ms=percentile(answer_times, 50),
        answer_p95_ms=percentile(answer_times, 95),
        answer_p99_ms=percentile(answer_times, 99),
        sent_away=sent_away,
        refused=sum(row.is_refused for row in outcomes) / max(1, len(outcomes)),
        wasted=max(0.0, 1 - delivered / tokens_sent) if tokens_sent else 0.0,
        done_per_s=len(in_time) / DAY_S,
        score=terms + NOT_DONE_WEIGHT * (1 - done_in_time),
    )


def _page(measured: list[Measured], seeds: int, elapsed_s: float) -> str:
    lines = [
        "# Measurements of the routing policy",
        "",
        f"Written by `make policy-bench`: {seeds} seeds, {elapsed_s:.0f} s. Each run replays the",
        f"same arrivals (a day compressed to {DAY_S:.0f} s, open loop, peaks offset between",
        "regions) on 6 gateways in 3 regions with links of 55 ms and small stand-in engines, at",
        f"{LOAD:.0%} of the deployment's capacity unless the scenario differs. Medians over",
        "the seeds, with the lowest and highest score.",
        "",
        "A lower score is better: the plan's weighted mean of the price per thousand tokens, the",
        "p95 to the first token in units of 1.4 s and the share sent away, plus 10 times the share",
        "of requests that were not completed in time.",
        "",
    ]
    for customer in dict.fromkeys(row.customer for row in measured):
        lines += [f"## {customer}", ""]
        for scenario in dict.fromkeys(row.scenario for row in measured):
            rows = [row for row in measured if (row.customer, row.scenario) == (customer, scenario)]
            if rows:
                lines += [f"### {scenario.value}", "", *_table(rows), ""]
    lines += ["## Targets", "", *_targets(measured), ""]
    return "\n".join(lines)


def _table(measured: list[Measured]) -> list[str]:
    head = (
        "| policy | in time | cost | first token p50/p95/p99 ms | complete p50/p95/p99 ms "
        "| sent away | refused | wasted | score (low to high) |"
    )
    lines = [head, "| --- |" + " --- |" * 8]
    for entry in measured:
        row = _median(entry.rows)
        scores = [each.score for each in entry.rows]
        lines.append(
            f"| {entry.policy} | {row.done_in_time:.1%} | {row.cost:.2f} "
            f"| {row.first_p50_ms:.0f}/{row.first_p95_ms:.0f}/{row.first_p99_ms:.0f} "
            f"| {row.answer_p50_ms:.0f}/{row.answer_p95_ms:.0f}/{row.answer_p99_ms:.0f} "
            f"| {row.sent_away:.1%} | {row.refused:.1%} | {row.wasted:.1%} "
            f"| {row.score:.3f} ({min(scores):.3f} to {max(scores):.3f}) |"
        )
    return lines


def _median(rows: list[Row]) -> Row:
    names = list(asdict(rows[0]))
    return Row(**{name: float(np.median([getattr(row, name) for row in rows])) for name in names})


def _targets(measured: list[Measured]) -> list[str]:
    lines = []
    for customer in dict.fromkeys(row.customer for row in measured):
        mine = {
            row.scenario: _median(row.rows)
            for row in measured
            if _matches(row, customer, "weighted")
        }
        for scenario, row in mine.items():
            others = [
                entry
                for entry in measured
                if entry.customer == customer
                and entry.scenario is scenario
                and entry.policy != "weighted"
            ]
            for entry in others:
                other = _median(entry.rows)
                if other.score < row.score:
                    lines.append(
                        f"- {customer}, {scenario.value}: behind {entry.policy} by "
                        f"{row.score - other.score:.3f}"
                    )
                if entry.policy == "local-only" and other.done_in_time > row.done_in_time:
                    lines.append(
                        f"- {customer}, {scenario.value}: local-only completes more in time"
                    )
        if Scenario.AT_CAPACITY in mine and Scenario.TWICE_CAPACITY in mine:
            ratio = mine[Scenario.TWICE_CAPACITY].done_per_s / mine[Scenario.AT_CAPACITY].done_per_s
            verdict = "met" if ratio >= 0.9 else "not met"
            lines.append(
                f"- {customer}: at twice the capacity, {ratio:.0%} as many requests complete "
                f"in time as at capacity, target 90 %: {verdict}"
            )
    return lines or ["- better than every baseline in every row"]


def _matches(row: Measured, customer: str, policy: str) -> bool:
    return row.customer == customer and row.policy == policy


def _plot(measured: list[Measured]) -> None:
    """Plot the scores into an image next to the page."""
    pyplot.switch_backend("Agg")
    customers = list(dict.fromkeys(row.customer for row in measured))
    figure, axes = pyplot.subplots(len(customers), 1, figsize=(11, 4 * len(customers)))
    for axis, customer in zip(np.atleast_1d(axes), customers, strict=True):
        scenarios = [
            scenario
            for scenario in Scenario
            if scenario.name not in ("AT_CAPACITY", "TWICE_CAPACITY")
        ]
        for index, policy in enumerate(ROUTING_POLICIES):
            rows = {row.scenario: row.rows for row in measured if _matches(row, customer, policy)}
            heights = [
                _median(rows[scenario]).score if scenario in rows else 0.0 for scenario in scenarios
            ]
            axis.bar(np.arange(len(scenarios)) + index * 0.16, heights, 0.16, label=policy)
        axis.set_title(f"{customer}: score, lower is better")
        axis.set_xticks(
            np.arange(len(scenarios)) + 0.32, [scenario.name.lower() for scenario in scenarios]
        )
        axis.legend()
    figure.tight_layout()
    figure.savefig(PAGE.with_suffix(".png"), dpi=80)


if __name__ == "__main__":
    sys.exit(main())
