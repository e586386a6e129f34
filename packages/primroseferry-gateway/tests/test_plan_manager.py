from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.strategies import integers
from primroseferry_core.plan_format import to_stored
from primroseferry_core.plans import EMPTY_DOCUMENT
from primroseferry_gateway.plan_manager import PlanManager

if TYPE_CHECKING:
    from collections.abc import Callable


def stored(revision: int) -> bytes:
    return to_stored(replace(EMPTY_DOCUMENT, revision=revision))


def manager(on_install: Callable[[], None] = lambda: None) -> PlanManager:
    return PlanManager(None, None, None, None, on_install)  # type: ignore[arg-type]


class PlansMachine(RuleBasedStateMachine):
    """Plans arrive from the service and from peers: late, repeated, reordered or corrupted."""

    @initialize()
    def start(self) -> None:
        self.manager = manager()
        self.highest_seen = -1
        self.last_in_force = 0

    @rule(revision=integers(0, 40))
    def install(self, revision: int) -> None:
        self.manager.install(stored(revision), "test")
        self.highest_seen = max(self.highest_seen, revision)

    @rule(cut=integers(0, 20))
    def install_corrupted(self, cut: int) -> None:
        assert not self.manager.install(stored(99)[:cut], "test")
        assert self.manager.rejected

    @invariant()
    def revision_never_decreases(self) -> None:
        assert self.manager.held_revision() >= self.last_in_force
        self.last_in_force = self.manager.held_revision()

    @invariant()
    def highest_revision_is_in_force(self) -> None:
        assert self.manager.held_revision() == max(self.highest_seen, 0)


PlansMachine.TestCase.settings = settings(max_examples=60, derandomize=True, deadline=None)
test_revision_never_decreases = PlansMachine.TestCase


def test_invalid_plans_leave_the_last_valid_revision_in_force() -> None:
    plans = manager()
    plans.install(stored(3), "test")
    plans.install(b"broken", "test")

    assert plans.held_revision() == 3
    assert "expected compressed JSON" in plans.rejected


@pytest.mark.parametrize(("revision", "calls"), [(2, 1), (1, 0), (0, 0)])
def test_only_newer_plans_are_announced(revision: int, calls: int) -> None:
    announced: list[int] = []
    plans = manager(lambda: announced.append(1))
    plans.install(stored(1), "test")
    announced.clear()
    plans.install(stored(revision), "test")

    assert len(announced) == calls
