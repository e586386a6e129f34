from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING

import primroseferry_core.vital_thread as vital_thread
from primroseferry_core.logs import LOGGER_NAME
from primroseferry_core.vital_thread import VitalThread

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest


def wait_until(condition: Callable[[], bool]) -> None:
    waiting = threading.Event()
    for _ in range(500):
        if condition():
            return
        waiting.wait(0.01)
    raise AssertionError("the condition did not become true within 5 s")


def test_work_that_fails_runs_again_and_leaves_a_log_line(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(logging.getLogger(LOGGER_NAME), "propagate", True)
    runs: list[int] = []
    done = threading.Event()

    def work() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("injected")
        done.set()

    VitalThread("worker", work).start()

    assert done.wait(5)
    assert [vars(record)["task"] for record in caplog.records] == ["worker", "worker"]


def test_failure_of_the_log_does_not_end_the_thread(monkeypatch: pytest.MonkeyPatch) -> None:
    runs: list[int] = []
    done = threading.Event()

    def fail_to_log(*_arguments: object, **_fields: object) -> None:
        raise ValueError("injected")

    def work() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError("injected")
        done.set()

    monkeypatch.setattr(vital_thread, "log_event", fail_to_log)
    VitalThread("worker", work).start()

    assert done.wait(5)


def test_thread_is_failing_until_its_work_has_recovered() -> None:
    runs: list[int] = []
    may_end = threading.Event()

    def work() -> None:
        runs.append(1)
        if len(runs) == 2:
            raise KeyError("injected")
        may_end.wait(5)
        may_end.clear()

    def work_twice() -> None:
        work()
        work()

    thread = VitalThread("worker", work_twice)
    assert thread.is_failing
    thread.start()
    assert not thread.is_failing
    may_end.set()
    wait_until(lambda: thread.is_failing)
    wait_until(lambda: not thread.is_failing)
    assert len(runs) == 3
    for _ in range(2):
        may_end.set()
        wait_until(lambda: not may_end.is_set())
    wait_until(lambda: thread.is_failing)
