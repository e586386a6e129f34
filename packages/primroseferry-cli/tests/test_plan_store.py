from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_cli.plan_store import OutcomeUnknownError
from primroseferry_cli.plan_store import PlansAccepted
from primroseferry_cli.plan_store import PlansConflict
from primroseferry_cli.plan_store import PlanStore
from primroseferry_cli.plan_store import PlansUnchanged
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import PlanId
from primroseferry_core.ids import RegionId
from primroseferry_core.plans import CustomerPlan
from primroseferry_core.plans import PlanUse
from primroseferry_core.plans import Urgency
from primroseferry_platform.key_value import Entry
from primroseferry_platform.key_value import Unreachable
from primroseferry_platform.key_value import WriteFailure
from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from primroseferry_core.plans import PlanDocument


class FaultyKeyValue:
    """An in-memory compare-and-swap store that takes its write faults from a list."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.faults: list[str] = []
        self.is_readable = True
        self.on_fault = lambda: None

    def get(self, key: str) -> Result[Entry | None, Unreachable]:
        if not self.is_readable:
            return Err(Unreachable("down"))
        return Ok(self.entries.get(key))

    def put(
        self, key: str, value: bytes, expected_revision: int | None
    ) -> Result[int, WriteFailure]:
        fault = self.faults.pop(0) if key == "plans" and self.faults else ""
        if fault == "lost before":
            self.on_fault()
            return Err(WriteFailure.UNKNOWN)
        current = self.entries[key].revision if key in self.entries else 0
        if expected_revision is not None and expected_revision != current:
            return Err(WriteFailure.CONFLICT)
        self.entries[key] = Entry(value, current + 1)
        if fault == "lost after":
            self.on_fault()
            return Err(WriteFailure.UNKNOWN)
        return Ok(current + 1)


@pytest.fixture
def key_value() -> FaultyKeyValue:
    return FaultyKeyValue()


@pytest.fixture
def store(key_value: FaultyKeyValue) -> PlanStore:
    return PlanStore(key_value)  # type: ignore[arg-type]


def with_customer(document: PlanDocument, name: str) -> PlanDocument:
    plan = PlanUse(PlanId("basic"), (RegionId("dakar"),), Urgency.NORMAL, 1.0)
    row = CustomerPlan(CustomerId(name), PlanId("basic"))
    return replace(document, customers=(*document.customers, row), plans=(plan,))


def test_change_is_accepted_under_the_next_revision(store: PlanStore) -> None:
    outcome = store.apply(with_customer(store.read().document, "shop"), "ada")

    assert isinstance(outcome, PlansAccepted)
    assert store.read().document.revision == 1
    assert store.read().document.history[0].summary == "customers/shop added, plans/basic added"


def test_conflicting_change_shows_both_changes_and_writes_nothing(store: PlanStore) -> None:
    base = store.read().document
    store.apply(with_customer(base, "shop"), "ada")

    outcome = store.apply(with_customer(base, "kiosk"), "ben")

    assert isinstance(outcome, PlansConflict)
    assert outcome.theirs is not None
    assert [row.row_name for row in outcome.mine] == ["kiosk", "basic"]
    assert [row.row_name for row in outcome.theirs] == ["shop", "basic"]
    assert [row.customer for row in store.read().document.customers] == ["shop"]


@pytest.mark.parametrize("faults", [["lost after"], ["lost before"], ["lost before"] * 3])
def test_write_with_a_lost_answer_is_reported_as_accepted(
    store: PlanStore, key_value: FaultyKeyValue, faults: list[str]
) -> None:
    key_value.faults = faults

    outcome = store.apply(with_customer(store.read().document, "shop"), "ada")

    assert isinstance(outcome, PlansAccepted)
    assert store.read().document.has_change(outcome.change_id)
    assert store.read().document.revision == 1


def test_lost_write_followed_by_another_change_is_a_conflict(
    store: PlanStore, key_value: FaultyKeyValue
) -> None:
    base = store.read().document
    key_value.faults = ["lost before"]
    key_value.on_fault = lambda: store.apply(with_customer(base, "kiosk"), "ben")  # type: ignore[assignment,return-value]

    outcome = store.apply(with_customer(base, "shop"), "ada")

    assert isinstance(outcome, PlansConflict)
    assert [row.customer for row in store.read().document.customers] == ["kiosk"]


def test_undeterminable_outcome_is_reported_as_unknown(
    store: PlanStore, key_value: FaultyKeyValue
) -> None:
    desired = with_customer(store.read().document, "shop")
    key_value.faults = ["lost before"] * 10

    def make_unreadable() -> None:
        key_value.is_readable = False

    key_value.on_fault = make_unreadable  # type: ignore[assignment]

    with pytest.raises(OutcomeUnknownError) as caught:
        store.apply(desired, "ada")

    assert caught.value.change_id in str(caught.value)


def test_unchanged_lists_are_not_written(store: PlanStore, key_value: FaultyKeyValue) -> None:
    store.apply(with_customer(store.read().document, "shop"), "ada")
    before = dict(key_value.entries)

    assert isinstance(store.apply(store.read().document, "ada"), PlansUnchanged)
    assert key_value.entries == before
