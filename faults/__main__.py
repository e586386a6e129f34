"""Runs the fault matrix on real processes, checks the histories and writes ``docs/FAULTS.md``.

python -m faults [--seed 1] [--only PART OF A ROW OR COLUMN] [--pairs 10] [--fixed]
"""

from __future__ import annotations

import argparse
import random
import sys
import time
import traceback
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from .cells import Cell
from .cells import CellRun
from .cells import Fault
from .cells import Step
from .checker import check_history
from .not_run import reason_not_run
from .testbed import PERMISSIONS
from .testbed import start_testbed
from .testbed import wait_settled

if TYPE_CHECKING:
    from collections.abc import Sequence

PAGE_PATH = Path(__file__).parent.parent / "docs" / "FAULTS.md"
DEPLOYMENTS = 3
FIXED_SCHEDULES = 14
DEFAULT_PAIRS = 20
TIME_LIMIT_S = 14 * 60.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """One fault, or two faults in the order of their injection, at one step."""

    faults: tuple[Fault, ...]
    step: Step

    @property
    def name(self) -> str:
        """The row names of the faults and the column name of the step."""
        return f"{' + '.join(fault.value for fault in self.faults)} @ {self.step.value}"


@dataclass(frozen=True, slots=True)
class Result:
    """The verdict on one schedule: ``pass``, ``fail`` or ``not run``, with the reason."""

    schedule: Schedule
    verdict: str
    reason: str
    seconds: float


def main() -> int:
    """Run the matrix and return the exit status: 1 if a schedule failed, else 0."""
    arguments = _arguments()
    schedules = _schedules(arguments)
    print(f"seed {arguments.seed}, {len(schedules)} schedules, {DEPLOYMENTS} deployments")
    began_s = time.monotonic()
    parts = [schedules[index::DEPLOYMENTS] for index in range(DEPLOYMENTS)]
    with ThreadPoolExecutor(DEPLOYMENTS) as pool:
        results = [
            row
            for part in pool.map(lambda part: _run_schedules(part, began_s), parts)
            for row in part
        ]
    elapsed_s = time.monotonic() - began_s
    failed = [row for row in results if row.verdict == "fail"]
    counts = {name: sum(row.verdict == name for row in results) for name in ("pass", "fail")}
    skipped = len(results) - counts["pass"] - counts["fail"]
    if not (arguments.fixed or arguments.only):
        PAGE_PATH.write_text(_page(arguments.seed, results, elapsed_s))
    for row in failed:
        print(f"FAIL {row.schedule.name}: {row.reason}")
    print(f"{counts['pass']} passed, {counts['fail']} failed, {skipped} skipped")
    print(f"{elapsed_s:.0f} s")
    return 1 if failed else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m faults", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="run cells whose name contains this")
    parser.add_argument("--pairs", type=int, default=DEFAULT_PAIRS, help="number of fault pairs")
    parser.add_argument("--fixed", action="store_true", help="run only the schedules of CI")
    return parser.parse_args()


def _schedules(arguments: argparse.Namespace) -> list[Schedule]:
    """Return every fault at every step, then pairs of faults at one step.

    The seed determines the order and the pairs.
    """
    rng = random.Random(arguments.seed)
    singles = [Schedule((fault,), step) for fault in Fault for step in Step]
    rng.shuffle(singles)
    if arguments.only:
        return [row for row in singles if arguments.only in row.name]
    if arguments.fixed:
        runnable = [row for row in singles if not reason_not_run(Cell(row.faults[0], row.step))]
        return runnable[:FIXED_SCHEDULES]
    pairs: list[Schedule] = []
    while len(pairs) < arguments.pairs:
        step = rng.choice(list(Step))
        first, second = rng.sample(list(Fault), 2)
        if not any(reason_not_run(Cell(fault, step)) for fault in (first, second)):
            pairs.append(Schedule((first, second), step))
    return singles + pairs


def _run_schedules(schedules: Sequence[Schedule], began_s: float) -> list[Result]:
    """Run schedules in sequence on one deployment, and replace it after each failure."""
    results = []
    testbed = start_testbed()
    try:
        for schedule in schedules:
            reason = reason_not_run(Cell(schedule.faults[0], schedule.step))
            if time.monotonic() - began_s > TIME_LIMIT_S:
                reason = "the run reached its time limit"
            if reason:
                results.append(Result(schedule, "not run", reason, 0.0))
                continue
            result = _run_schedule(testbed, schedule)
            results.append(result)
            print(f"{result.verdict:>5} {result.seconds:5.1f} s  {schedule.name}", flush=True)
            if result.verdict == "fail":
                testbed.deployment.close()
                testbed = start_testbed()
    finally:
        testbed.deployment.close()
    return results


def _run_schedule(testbed: Testbed, schedule: Schedule) -> Result:
    began_s = time.monotonic()
    cell = CellRun(testbed, schedule.faults, schedule.step)
    reason = ""
    try:
        cell.run()
        cell.replace_unavailable_endpoints()
        wait_settled(testbed)
        violations = check_history(testbed.collect(), PERMISSIONS)
        reason = "; ".join(f"{row.rule.value}: {row.detail}" for row in violations)
    except Exception as error:
        where = traceback.extract_tb(error.__traceback__)[-1].name
        reason = f"{type(error).__name__} in {where}: {error}"
    verdict = "fail" if reason else "pass"
    return Result(schedule, verdict, reason, time.monotonic() - began_s)


def _page(seed: int, results: Sequence[Result], elapsed_s: float) -> str:
    singles = {
        (row.schedule.faults[0], row.schedule.step): row
        for row in results
        if len(row.schedule.faults) == 1
    }
    steps = list(Step)
    lines = [
        "# The fault matrix",
        "",
        f"Written by `make faults` with seed {seed}; {elapsed_s:.0f} s. Each cell injects its",
        "fault at exactly that step on real processes (6 gateways in 3 regions, links, platform,",
        "endpoints), heals it, lets the callers retry, and checks the recorded histories.",
        "",
        "| fault | " + " | ".join(str(number) for number in range(1, len(steps) + 1)) + " |",
        "| --- |" + " --- |" * len(steps),
    ]
    for fault in Fault:
        cells = [singles[fault, step].verdict for step in steps]
        lines.append(f"| {fault.value} | " + " | ".join(cells) + " |")
    lines += ["", "Columns:", ""]
    lines += [f"{number}. {step.value}" for number, step in enumerate(steps, start=1)]
    lines += ["", "Pairs of faults at one step:", "", "| pair | verdict |", "| --- | --- |"]
    pairs = [row for row in results if len(row.schedule.faults) > 1]
    lines += [f"| {row.schedule.name} | {row.verdict} |" for row in pairs]
    lines += ["", "Not passed, with the reason:", ""]
    others = [row for row in results if row.verdict != "pass"]
    lines += [f"- {row.schedule.name}: {row.verdict}, {row.reason}" for row in others] or ["- none"]
    return "\n".join(lines) + "\n"


if TYPE_CHECKING:
    from .testbed import Testbed

if __name__ == "__main__":
    sys.exit(main())
