"""Reading and changing the plans in the key-value service.

``apply`` is a compare-and-swap against the revision that the operator read. Every change carries a
change id that stays in the document's history, so that a write whose answer was lost is settled by
reading. The documents before are kept, a bounded number, so that a conflict can show both changes.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.errors import PrimroseferryError
from primroseferry_core.ids import new_change_id
from primroseferry_core.plan_diff import diff_documents
from primroseferry_core.plan_format import MAX_DOCUMENT_BYTES
from primroseferry_core.plan_format import MAX_HISTORY_CHANGES
from primroseferry_core.plan_format import PLANS_KEY
from primroseferry_core.plan_format import PlanFormatError
from primroseferry_core.plan_format import parse_stored
from primroseferry_core.plan_format import to_stored
from primroseferry_core.plans import EMPTY_DOCUMENT
from primroseferry_core.plans import PlanChange
from primroseferry_platform.key_value import Entry
from primroseferry_platform.key_value import WriteFailure
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_core.ids import ChangeId
    from primroseferry_core.plan_diff import RowChange
    from primroseferry_core.plans import PlanDocument
    from primroseferry_platform.key_value import KeyValueClient

PREVIOUS_KEY_PREFIX = "plans-previous/"
PREVIOUS_KEPT = 32
WRITE_ATTEMPTS = 5
SUMMARY_ROWS = 3


class PlanStoreError(PrimroseferryError):
    """The plans could not be read or written."""


class OutcomeUnknownError(PlanStoreError):
    """Whether a change was accepted could not be found out."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(
            f"the key-value service stopped answering; whether change {change_id} was accepted is "
            "not known, look for it in 'primroseferry plans history' once the service answers"
        )
        self.change_id = change_id


@dataclass(frozen=True, slots=True)
class HeldPlans:
    """The document in the service, with the service's own revision for compare-and-swap."""

    document: PlanDocument
    store_revision: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force from ``document.revision`` on."""

    change_id: ChangeId
    document: PlanDocument
    changes: list[RowChange]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The lists are already as wished; nothing was written."""

    document: PlanDocument


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else changed the lists since they were read; nothing was written.

    ``theirs`` is ``None`` where the document that the operator started from is no longer kept.
    """

    base_revision: int
    current: PlanDocument
    mine: list[RowChange]
    theirs: list[RowChange] | None


ApplyOutcome = Accepted | Unchanged | Conflict


class PlanStore:
    """The plans in the key-value service."""

    def __init__(self, key_value: KeyValueClient) -> None:
        self._key_value = key_value

    def read(self) -> HeldPlans:
        """Return the current plans. Raises :class:`PlanStoreError` where they cannot be read."""
        match self._key_value.get(PLANS_KEY):
            case Ok(None):
                return HeldPlans(EMPTY_DOCUMENT, 0)
            case Ok(Entry(value=value, revision=revision)):
                return HeldPlans(_parse(value), revision)
            case Err(unreachable):
                raise PlanStoreError(
                    f"the key-value service cannot be read: {unreachable.reason}; try again later"
                )
            case _:
                raise AssertionError("a read gives an entry, nothing or a failure")

    def apply(self, wished: PlanDocument, author: str) -> ApplyOutcome:
        """Put ``wished`` in force if its revision is still the current one."""
        held = self.read()
        if held.document.revision != wished.revision:
            return self._conflict(wished, held)
        changes = diff_documents(held.document, wished)
        if not changes:
            return Unchanged(held.document)
        change_id = new_change_id()
        accepted = _next_document(held.document, wished, change_id, author, changes)
        stored = to_stored(accepted)
        if len(stored) > MAX_DOCUMENT_BYTES:
            raise PlanStoreError(
                f"the lists take {len(stored)} bytes when stored, at most {MAX_DOCUMENT_BYTES} fit"
            )
        self._keep_previous(held.document)
        return self._swap(wished, held, accepted, change_id, changes)

    def _swap(
        self,
        wished: PlanDocument,
        held: HeldPlans,
        accepted: PlanDocument,
        change_id: ChangeId,
        changes: list[RowChange],
    ) -> ApplyOutcome:
        """Write until the outcome is certain: a repeated write has the same effect as the first."""
        stored = to_stored(accepted)
        for _ in range(WRITE_ATTEMPTS):
            match self._key_value.put(PLANS_KEY, stored, held.store_revision):
                case Ok(_):
                    return Accepted(change_id, accepted, changes)
                case Err(WriteFailure.NOT_WRITTEN):
                    continue
                case _:
                    settled = self._settle(wished, held, accepted, change_id, changes)
                    if settled is not None:
                        return settled
        raise OutcomeUnknownError(change_id)

    def _settle(
        self,
        wished: PlanDocument,
        held: HeldPlans,
        accepted: PlanDocument,
        change_id: ChangeId,
        changes: list[RowChange],
    ) -> ApplyOutcome | None:
        """Read whether a write took effect; ``None`` while that cannot be told."""
        try:
            now = self.read()
        except PlanStoreError:
            return None
        if now.document.has_change(change_id):
            return Accepted(change_id, accepted, changes)
        if now.store_revision != held.store_revision:
            return self._conflict(wished, now)
        return None

    def _conflict(self, wished: PlanDocument, held: HeldPlans) -> Conflict:
        base = self._read_previous(wished.revision)
        if base is None:
            mine = diff_documents(held.document, wished)
            return Conflict(wished.revision, held.document, mine, None)
        mine = diff_documents(base, wished)
        theirs = diff_documents(base, held.document)
        return Conflict(wished.revision, held.document, mine, theirs)

    def _keep_previous(self, document: PlanDocument) -> None:
        key = f"{PREVIOUS_KEY_PREFIX}{document.revision % PREVIOUS_KEPT}"
        self._key_value.put(key, to_stored(document), expected_revision=None)

    def _read_previous(self, revision: int) -> PlanDocument | None:
        if revision == 0:
            return EMPTY_DOCUMENT
        match self._key_value.get(f"{PREVIOUS_KEY_PREFIX}{revision % PREVIOUS_KEPT}"):
            case Ok(Entry(value=value)):
                document = _parse(value)
                return document if document.revision == revision else None
            case _:
                return None


def _next_document(
    held: PlanDocument,
    wished: PlanDocument,
    change_id: ChangeId,
    author: str,
    changes: list[RowChange],
) -> PlanDocument:
    revision = held.revision + 1
    change = PlanChange(change_id, revision, author, _summarise(changes))
    history = (change, *held.history)[:MAX_HISTORY_CHANGES]
    return replace(wished, revision=revision, history=history)


def _summarise(changes: list[RowChange]) -> str:
    rows = [f"{row.list_name}/{row.row_name} {row.kind.value}" for row in changes[:SUMMARY_ROWS]]
    if len(changes) > SUMMARY_ROWS:
        rows.append(f"and {len(changes) - SUMMARY_ROWS} more")
    return ", ".join(rows)


def _parse(stored: bytes) -> PlanDocument:
    try:
        return parse_stored(stored)
    except (PlanFormatError, zlib.error, json.JSONDecodeError) as error:
        raise PlanStoreError(f"the stored plans fail their checks: {error}") from error
