from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
from primroseferry_core.errors import ProblemError
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_once.claims import ClaimAbsent
from primroseferry_once.claims import ClaimedBy
from primroseferry_once.claims import ClaimFound
from primroseferry_once.claims import ClaimUnreadable
from primroseferry_once.claims import CreateOutcome
from primroseferry_once.claims import NotClaimed
from primroseferry_once.claims import ReadOutcome
from primroseferry_once.claims import claim_key
from primroseferry_once.keys import Owner
from primroseferry_once.keys import ScopedKey
from primroseferry_once.keys import issue_prefix
from primroseferry_once.keys import issued_owner
from primroseferry_once.keys import parse_key
from primroseferry_once.table import KeyReused
from primroseferry_once.table import KnownOperation
from primroseferry_once.table import NewOperation
from primroseferry_once.table import OnceRecord
from primroseferry_once.table import OnceState
from primroseferry_once.table import OnceTable
from primroseferry_once.table import StoredAnswer
from primroseferry_once.table import TableHandedOver
from primroseferry_once.table import TableSealed

FINGERPRINT = Fingerprint("print")


def scoped(number: int) -> ScopedKey:
    return ScopedKey(CustomerId("shop"), IdempotencyKey(f"key-{number}"))


class OnceMachine(RuleBasedStateMachine):
    """A chain of gateways that hand over to each other, and a service that counts runs per key.

    The rules inject faults: attempts that are proven not to have been sent, attempts whose answer
    is lost whether or not they ran, dispatchers that pause for any time, and hand-overs at any
    moment.
    """

    @initialize()
    def start(self) -> None:
        self.tables = [OnceTable(IncarnationId("i0"), retention_s=1e9)]
        self.runs: dict[ScopedKey, int] = {}
        self.in_flight: list[tuple[OnceTable, OnceRecord]] = []

    @property
    def newest(self) -> OnceTable:
        return self.tables[-1]

    @rule(number=integers(0, 5), behind=integers(0, 3))
    def request(self, number: int, behind: int) -> None:
        """A caller's request reaches the newest owner or an earlier one."""
        table = self.tables[max(0, len(self.tables) - 1 - behind)]
        match table.begin(scoped(number), FINGERPRINT):
            case NewOperation(record):
                self.in_flight.append((table, record))
            case TableSealed():
                assert table is self.newest
                assert scoped(number) not in self.runs
            case KnownOperation() | TableHandedOver():
                pass
            case KeyReused():
                raise AssertionError("the same request has the same fingerprint")

    @rule(
        index=integers(0, 20), outcome=sampled_from(["answered", "not sent", "lost", "ran, lost"])
    )
    def attempt(self, index: int, outcome: str) -> None:
        if not self.in_flight:
            return
        table, record = self.in_flight.pop(index % len(self.in_flight))
        if not table.dispatch(record):
            return
        key = record.scoped_key
        if outcome == "not sent":
            table.mark_not_sent(record)
            table.abandon(record)
            return
        if outcome != "lost":
            self.runs[key] = self.runs.get(key, 0) + 1
        if outcome == "answered":
            table.finish(record, StoredAnswer(201, "", b"first"))
        else:
            table.mark_unknown(record)

    @rule()
    def seal(self) -> None:
        """The newest gateway starts its graceful shutdown."""
        self.newest.seal()

    @rule()
    def hand_over(self) -> None:
        """The newest gateway hands over its table, with operations in any state."""
        if len(self.tables) > 6:
            return
        old = self.newest
        successor = OnceTable(IncarnationId(f"i{len(self.tables)}"), retention_s=1e9)
        successor.adopt([_copied(record) for record in old.hand_over()])
        assert successor.adopt_incarnations(old.owned_incarnations())
        self.tables.append(successor)

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(count == 1 for count in self.runs.values())

    @invariant()
    def newest_owner_has_a_record_of_every_run(self) -> None:
        for key in self.runs:
            assert self.newest.find(key) is not None


def _copied(record: OnceRecord) -> OnceRecord:
    copy = OnceRecord(record.scoped_key, record.fingerprint, record.state, record.began_s)
    copy.answer = record.answer
    return copy


OnceMachine.TestCase.settings = settings(max_examples=150, derandomize=True, deadline=None)
test_once_table_never_runs_a_key_twice = OnceMachine.TestCase


def test_key_reused_with_other_content_is_rejected() -> None:
    table = OnceTable(IncarnationId("i"), retention_s=60)
    table.begin(scoped(1), FINGERPRINT)

    assert isinstance(table.begin(scoped(1), Fingerprint("other")), KeyReused)


def test_only_settled_records_are_removed_after_the_retention() -> None:
    now = [0.0]
    table = OnceTable(IncarnationId("i"), retention_s=100, clock_s=lambda: now[0])
    done, open_record = table.begin(scoped(1), FINGERPRINT), table.begin(scoped(2), FINGERPRINT)
    assert isinstance(done, NewOperation)
    assert isinstance(open_record, NewOperation)
    table.dispatch(done.record)
    table.finish(done.record, StoredAnswer(201, "", b""))
    now[0] = 101.0
    table.begin(scoped(3), FINGERPRINT)

    assert table.find(scoped(1)) is None
    assert table.find(scoped(2)) is not None


def test_dispatched_record_is_handed_over_as_unknown() -> None:
    table = OnceTable(IncarnationId("i"), retention_s=60)
    begun = table.begin(scoped(1), FINGERPRINT)
    assert isinstance(begun, NewOperation)
    table.dispatch(begun.record)

    assert [record.state for record in table.hand_over()] == [OnceState.UNKNOWN]
    assert not table.dispatch(begun.record)


class LossyStore:
    """A key-value service that may lose the answer to a write, delay a write or not answer."""

    def __init__(self, faults: list[str]) -> None:
        self.values: dict[str, bytes] = {}
        self.late: list[tuple[str, bytes]] = []
        self.reads = 0
        self._faults = faults

    def create(self, key: str, value: bytes) -> CreateOutcome:
        fault = self._faults.pop(0) if self._faults else ""
        if fault == "down":
            return CreateOutcome.NOT_KNOWN
        if fault == "late":
            self.late.append((key, value))
            return CreateOutcome.NOT_KNOWN
        if key in self.values:
            return CreateOutcome.PRESENT
        self.values[key] = value
        return CreateOutcome.NOT_KNOWN if fault == "answer lost" else CreateOutcome.CREATED

    def read(self, key: str) -> ReadOutcome:
        self.reads += 1
        fault = self._faults.pop(0) if self._faults else ""
        if fault == "down":
            return ClaimUnreadable()
        return ClaimFound(self.values[key]) if key in self.values else ClaimAbsent()


OWNER = Owner(IncarnationId("0" * 16), InstanceId("gateway-1"))
OTHER_OWNER = Owner(IncarnationId("1" * 16), InstanceId("gateway-2"))


@pytest.mark.parametrize("faults", [[], ["answer lost"], ["late", ""], ["down", "", ""]])
def test_claim_with_a_lost_answer_is_resolved_by_a_read(faults: list[str]) -> None:
    store = LossyStore(faults)

    assert claim_key(store, scoped(1), OWNER) == ClaimedBy(OWNER)
    assert claim_key(store, scoped(1), OTHER_OWNER) == ClaimedBy(OWNER)


def test_key_is_not_claimed_while_the_service_is_down() -> None:
    store = LossyStore(["down"] * 10)

    assert claim_key(store, scoped(1), OWNER) == NotClaimed()
    assert store.reads == 1


def test_issued_key_names_its_owner() -> None:
    key = parse_key(issue_prefix(OWNER) + "order-7")

    assert issued_owner(key) == OWNER
    assert issued_owner(IdempotencyKey("order-7")) is None


@pytest.mark.parametrize("text", ["", "a b", "é", "x" * 201, "pf1~short", "pf1~zz~a~b", "a/b"])
def test_malformed_key_is_rejected(text: str) -> None:
    with pytest.raises(ProblemError):
        parse_key(text)
