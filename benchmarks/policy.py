"""Compares the routing policy with baselines, calm and under faults; writes ``docs/POLICY.md``."""

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
from policy_world import CUSTOMERS
from policy_world import PRICES
from policy_world import REGIONS
from policy_world import day_of
from policy_world import later
from policy_world import percentile
from policy_world import start_policy_world
from primroseferry_policy.routing_policy import ROUTING_POLICIES
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import wait_until

if TYPE_CHECKING:
    from policy_world import Customer
    from policy_world import Outcome
    from policy_world import PolicyWorld

PAGE = Path(__file__).parent.parent / "docs" / "POLICY.md"
DAY_S = 5.0
LOAD = 0.7
WORKERS = 5
FAULT_AT_S = 1.2
HEAL_AT_S = 3.5
LATE_REPORTS_MS = 5_000
STORM_RETRIES = 3
STORM_LOAD = 1.4
POISON = "poison"
COST_SCALE = 1.0
FIRST_TOKEN_SCALE_MS = 1_400.0
NOT_DONE_WEIGHT = 10.0


class Scene(Enum):
    """What happens during the day."""

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
    """The measures of one run."""

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
    """One deployment under one policy, over all scenes and seeds."""

    customer: int
    policy: str
    seeds: int
    scenes: tuple[Scene, ...]


@dataclass(frozen=True, slots=True)
class Measured:
    """The rows of one customer, policy and scene."""

    customer: str
    policy: str
    scene: Scene
    rows: list[Row]


def main() -> int:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--customer", type=int, choices=(0, 1))
    parser.add_argument("--policy", choices=tuple(ROUTING_POLICIES))
    parser.add_argument("--scene", choices=[scene.name for scene in Scene])
    parser.add_argument("--quiet-page", action="store_true", help="do not write the page")
    arguments = parser.parse_args()
    customers = range(2) if arguments.customer is None else [arguments.customer]
    policies = [arguments.policy] if arguments.policy else list(ROUTING_POLICIES)
    scenes = (Scene[arguments.scene],) if arguments.scene else tuple(Scene)
    tasks = [
        Task(customer, policy, arguments.seeds, scenes)
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
    world = start_policy_world(customer, task.policy)
    rows: dict[Scene, list[Row]] = {scene: [] for scene in task.scenes}
    try:
        for seed, scene in product(range(task.seeds), task.scenes):
            if scene in (Scene.AT_CAPACITY, Scene.TWICE_CAPACITY) and task.policy != "weighted":
                continue
            rows[scene].append(_run_scene(world, scene, seed))
    finally:
        world.deployment.close()
    return [
        Measured(customer.name, task.policy, scene, rows[scene])
        for scene in task.scenes
        if rows[scene]
    ]


def _run_scene(world: PolicyWorld, scene: Scene, seed: int) -> Row:
    world.restore()
    _wait_known(world)
    load, retries = LOAD, 0
    match scene:
        case Scene.HALF_LOST:
            later(FAULT_AT_S, lambda: _kill_half(world))
        case Scene.COLD_RETURN:
            for name in world.engine_names(REGIONS[1]):
                world.remove_engine(name)
            _wait_known(world)
            later(FAULT_AT_S, lambda: _return_cold(world))
        case Scene.CUT:
            later(FAULT_AT_S, lambda: world.deployment.cut("north", "middle"))
            later(HEAL_AT_S, lambda: world.deployment.cut("north", "middle", "none"))
        case Scene.LATE_REPORTS:
            for process in world.deployment.endpoints.values():
                process.fault(load_lag_ms=LATE_REPORTS_MS)
        case Scene.RETRY_STORM:
            load, retries = STORM_LOAD, STORM_RETRIES
        case Scene.CRASH_REQUEST:
            for process in world.deployment.endpoints.values():
                process.fault(crash_marker=POISON)
            later(FAULT_AT_S, lambda: _send_poison(world, seed))
        case Scene.AT_CAPACITY:
            load = 1.0
        case Scene.TWICE_CAPACITY:
            load = 2.0
    before = world.tokens_sent()
    outcomes = world.replay(day_of(world.customer, load, DAY_S, seed), retries)
    sent = max(0, world.tokens_sent() - before)
    return _measure(world.customer, outcomes, world.serving_regions(), sent)


def _wait_known(world: PolicyWorld) -> None:
    """Wait until each gateway lists exactly the engines that run and has closed circuits."""
    for name, process in world.deployment.gateways.items():
        region = world.deployment.regions[name]
        expected = set(world.engine_names(region))
        wait_until(
            lambda process=process, expected=expected: expected  # type: ignore[misc]
            == {row["endpoint"] for row in gateway_state(process)["endpoints"]},
            f"{name} knows its engines",
        )
    time.sleep(1.5)


def _kill_half(world: PolicyWorld) -> None:
    names = world.engine_names(REGIONS[0])
    for name in names[: len(names) // 2]:
        world.deployment.endpoints[name].kill()


def _return_cold(world: PolicyWorld) -> None:
    for _ in range(world.customer.engines[1]):
        world.add_engine(REGIONS[1])


def _send_poison(world: PolicyWorld, seed: int) -> None:
    arrival = day_of(world.customer, LOAD, DAY_S, seed)[0]
    poisoned = type(arrival)(0.0, 0, arrival.kind, f"{POISON} {seed}")
    world.replay([poisoned])


def _measure(
    customer: Customer, outcomes: list[Outcome], regions: dict[str, str], tokens_sent: int
) -> Row:
    done = [row for row in outcomes if row.is_done]
    in_time = [row for row in outcomes if row.is_in_time]
    homes = [REGIONS[row.arrival.region] for row in done]
    served = [regions.get(row.request_id, home) for row, home in zip(done, homes, strict=True)]
    away = sum(region != home for region, home in zip(served, homes, strict=True))
    prices = [float(PRICES[region]) for region in served]
    first = [row.first_token_ms for row in done]
    whole = [row.answer_ms for row in done]
    delivered = sum(row.arrival.kind.answer_tokens for row in in_time)
    sent_away = away / max(1, len(done))
    cost = float(np.mean(prices)) if prices else 0.0
    done_in_time = len(in_time) / max(1, len(outcomes))
    weights = customer.weights
    total = weights.cost + weights.tail_latency + weights.share_sent_away
    terms = (
        weights.cost * cost / COST_SCALE
        + weights.tail_latency * percentile(first, 95) / FIRST_TOKEN_SCALE_MS
        + weights.share_sent_away * sent_away
    ) / total
    return Row(
        done_in_time=done_in_time,
        cost=cost,
        first_p50_ms=percentile(first, 50),
        first_p95_ms=percentile(first, 95),
        first_p99_ms=percentile(first, 99),
        answer_p50_ms=percentile(whole, 50),
        answer_p95_ms=percentile(whole, 95),
        answer_p99_ms=percentile(whole, 99),
        sent_away=sent_away,
        refused=sum(row.is_refused for row in outcomes) / max(1, len(outcomes)),
        wasted=max(0.0, 1 - delivered / tokens_sent) if tokens_sent else 0.0,
        done_per_s=len(in_time) / DAY_S,
        score=terms + NOT_DONE_WEIGHT * (1 - done_in_time),
    )


def _page(measured: list[Measured], seeds: int, elapsed_s: float) -> str:
    lines = [
        "# The policy, measured",
        "",
        f"Written by `make policy-bench`: {seeds} seeds, {elapsed_s:.0f} s. Each run replays the",
        f"same recorded arrivals (a day shrunk to {DAY_S:.0f} s, open loop, peaks offset between",
        "regions) on 6 gateways in 3 regions with links of 55 ms and small stand-in engines, at",
        f"{LOAD:.0%} of the deployment's capacity unless the scene says otherwise. Medians over",
        "the seeds, with the lowest and highest score.",
        "",
        "The score is lower for better: the plan's weights over the price a thousand tokens, the",
        "p95 to the first token in units of 1.4 s and the share sent away, plus 10 times the share",
        "of requests that were not done in time.",
        "",
    ]
    for customer in dict.fromkeys(row.customer for row in measured):
        lines += [f"## {customer}", ""]
        for scene in dict.fromkeys(row.scene for row in measured):
            rows = [row for row in measured if (row.customer, row.scene) == (customer, scene)]
            if rows:
                lines += [f"### {scene.value}", "", *_table(rows), ""]
    lines += ["## Targets", "", *_targets(measured), ""]
    return "\n".join(lines)


def _table(measured: list[Measured]) -> list[str]:
    head = (
        "| policy | in time | cost | first token p50/p95/p99 ms | whole p50/p95/p99 ms | away "
        "| refused | wasted | score (low to high) |"
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
        mine = {row.scene: _median(row.rows) for row in measured if _is(row, customer, "weighted")}
        for scene, row in mine.items():
            others = [
                entry
                for entry in measured
                if entry.customer == customer
                and entry.scene is scene
                and entry.policy != "weighted"
            ]
            for entry in others:
                other = _median(entry.rows)
                if other.score < row.score:
                    lines.append(
                        f"- {customer}, {scene.value}: behind {entry.policy} by "
                        f"{row.score - other.score:.3f}"
                    )
                if entry.policy == "local-only" and other.done_in_time > row.done_in_time:
                    lines.append(f"- {customer}, {scene.value}: local-only does more in time")
        if Scene.AT_CAPACITY in mine and Scene.TWICE_CAPACITY in mine:
            ratio = mine[Scene.TWICE_CAPACITY].done_per_s / mine[Scene.AT_CAPACITY].done_per_s
            verdict = "met" if ratio >= 0.9 else "not met"
            lines.append(
                f"- {customer}: at twice the capacity {ratio:.0%} of the work at capacity is done "
                f"in time, target 90 %: {verdict}"
            )
    return lines or ["- ahead of every baseline in every row"]


def _is(row: Measured, customer: str, policy: str) -> bool:
    return row.customer == customer and row.policy == policy


def _plot(measured: list[Measured]) -> None:
    """Draw the scores as a picture beside the page."""
    pyplot.switch_backend("Agg")
    customers = list(dict.fromkeys(row.customer for row in measured))
    figure, axes = pyplot.subplots(len(customers), 1, figsize=(11, 4 * len(customers)))
    for axis, customer in zip(np.atleast_1d(axes), customers, strict=True):
        scenes = [scene for scene in Scene if scene.name not in ("AT_CAPACITY", "TWICE_CAPACITY")]
        for index, policy in enumerate(ROUTING_POLICIES):
            rows = {row.scene: row.rows for row in measured if _is(row, customer, policy)}
            heights = [_median(rows[scene]).score if scene in rows else 0.0 for scene in scenes]
            axis.bar(np.arange(len(scenes)) + index * 0.16, heights, 0.16, label=policy)
        axis.set_title(f"{customer}: score, lower is better")
        axis.set_xticks(np.arange(len(scenes)) + 0.32, [scene.name.lower() for scene in scenes])
        axis.legend()
    figure.tight_layout()
    figure.savefig(PAGE.with_suffix(".png"), dpi=80)


if __name__ == "__main__":
    sys.exit(main())
