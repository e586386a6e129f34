"""Reads and changes the plans in the key-value service.

``apply`` is a compare-and-swap against the revision that the operator read. Every change has an id
that stays in the document's history, so that reading the document shows whether a write whose
answer was lost took effect. The last ``MAX_PREVIOUS_DOCUMENTS`` documents are kept, so that a
conflict can show both changes.
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
MAX_PREVIOUS_DOCUMENTS = 32
MAX_WRITE_ATTEMPTS = 5
MAX_SUMMARY_ROWS = 3


class PlanStoreError(PrimroseferryError):
    """The plans could not be read or written."""


class OutcomeUnknownError(PlanStoreError):
    """It cannot be determined whether a change was accepted."""

    def __init__(self, change_id: ChangeId) -> None:
        super().__init__(
            f"the key-value service stopped answering; whether change {change_id} was accepted is "
            "not known, look for it in 'primroseferry plans history' once the service answers"
        )
        self.change_id = change_id


@dataclass(frozen=True, slots=True)
class StoredPlans:
    """The stored document, with the key's revision for compare-and-swap."""

    document: PlanDocument
    store_revision: int


@dataclass(frozen=True, slots=True)
class PlansAccepted:
    """The change takes effect with ``document.revision``."""

    change_id: ChangeId
    document: PlanDocument
    changes: list[RowChange]


@dataclass(frozen=True, slots=True)
class PlansUnchanged:
    """The desired lists equal the current ones; nothing was written."""

    document: PlanDocument


@dataclass(frozen=True, slots=True)
class PlansConflict:
    """Another change was made since the operator read the lists; nothing was written.

    ``mine`` and ``theirs`` are relative to the document that the operator read. Where that one is
    no longer kept, ``theirs`` is ``None`` and ``mine`` is relative to the current document.
    """

    base_revision: int
    current: PlanDocument
    mine: list[RowChange]
    theirs: list[RowChange] | None


ApplyOutcome = PlansAccepted | PlansUnchanged | PlansConflict


class PlanStore:
    """Reads and applies the plans in the key-value service."""

    def __init__(self, key_value: KeyValueClient) -> None:
        self._key_value = key_value

    def read(self) -> StoredPlans:
        """Return the current plans. Raises :class:`PlanStoreError` if they cannot be read."""
        match self._key_value.get(PLANS_KEY):
            case Ok(None):
                return StoredPlans(EMPTY_DOCUMENT, 0)
            case Ok(Entry(value=value, revision=revision)):
                return StoredPlans(_parse(value), revision)
            case Err(unreachable):
                raise PlanStoreError(
                    f"the key-value service cannot be read: {unreachable.reason}; try again later"
                )
            case _:
                raise AssertionError("a read returns an entry, None or a failure")

    def apply(self, desired: PlanDocument, author: str) -> ApplyOutcome:
        """Store ``desired`` if its revision is still the current one.

        Raises :class:`PlanStoreError`, or :class:`OutcomeUnknownError` if the service stops
        answering and the outcome cannot be determined.
        """
        current = self.read()
        if current.document.revision != desired.revision:
            return self._conflict(desired, current)
        changes = diff_documents(current.document, desired)
        if not changes:
            return PlansUnchanged(current.document)
        change_id = new_change_id()
        accepted = _next_document(current.document, desired, change_id, author, changes)
        stored = to_stored(accepted)
        if len(stored) > MAX_DOCUMENT_BYTES:
            raise PlanStoreError(
                f"the lists take {len(stored)} bytes when stored, at most {MAX_DOCUMENT_BYTES} fit"
            )
        self._save_previous(current.document)
        return self._compare_and_swap(desired, current, accepted, change_id, changes)

    def _compare_and_swap(
        self,
        desired: PlanDocument,
        current: StoredPlans,
        accepted: PlanDocument,
        change_id: ChangeId,
        changes: list[RowChange],
    ) -> ApplyOutcome:
        """Write until the outcome is known; at most one of the writes can take effect."""
        stored = to_stored(accepted)
        for _ in range(MAX_WRITE_ATTEMPTS):
            match self._key_value.put(PLANS_KEY, stored, current.store_revision):
                case Ok(_):
                    return PlansAccepted(change_id, accepted, changes)
                case Err(WriteFailure.NOT_WRITTEN):
                    continue
                case _:
                    outcome = self._read_outcome(desired, current, accepted, change_id, changes)
                    if outcome is not None:
                        return outcome
        raise OutcomeUnknownError(change_id)

    def _read_outcome(
        self,
        desired: PlanDocument,
        current: StoredPlans,
        accepted: PlanDocument,
        change_id: ChangeId,
        changes: list[RowChange],
    ) -> ApplyOutcome | None:
        """Read whether a write took effect; ``None`` if it did not or that is unknown."""
        try:
            latest = self.read()
        except PlanStoreError:
            return None
        if latest.document.has_change(change_id):
            return PlansAccepted(change_id, accepted, changes)
        if latest.store_revision != current.store_revision:
            return self._conflict(desired, latest)
        return None

    def _conflict(self, desired: PlanDocument, current: StoredPlans) -> PlansConflict:
        base = self._read_previous(desired.revision)
        if base is None:
            mine = diff_documents(current.document, desired)
            return PlansConflict(desired.revision, current.document, mine, None)
        mine = diff_documents(base, desired)
        theirs = diff_documents(base, current.document)
        return PlansConflict(desired.revision, current.document, mine, theirs)

    def _save_previous(self, document: PlanDocument) -> None:
        key = f"{PREVIOUS_KEY_PREFIX}{document.revision % MAX_PREVIOUS_DOCUMENTS}"
        self._key_value.put(key, to_stored(document), expected_revision=None)

    def _read_previous(self, revision: int) -> PlanDocument | None:
        if revision == 0:
            return EMPTY_DOCUMENT
        match self._key_value.get(f"{PREVIOUS_KEY_PREFIX}{revision % MAX_PREVIOUS_DOCUMENTS}"):
            case Ok(Entry(value=value)):
                document = _parse(value)
                return document if document.revision == revision else None
            case _:
                return None


def _next_document(
    current: PlanDocument,
    desired: PlanDocument,
    change_id: ChangeId,
    author: str,
    changes: list[RowChange],
) -> PlanDocument:
    revision = current.revision + 1
    change = PlanChange(change_id, revision, author, _summarise(changes))
    history = (change, *current.history)[:MAX_HISTORY_CHANGES]
    return replace(desired, revision=revision, history=history)


def _summarise(changes: list[RowChange]) -> str:
    rows = [
        f"{row.list_name}/{row.row_name} {row.kind.value}" for row in changes[:MAX_SUMMARY_ROWS]
    ]
    if len(changes) > MAX_SUMMARY_ROWS:
        rows.append(f"and {len(changes) - MAX_SUMMARY_ROWS} more")
    return ", ".join(rows)


def _parse(stored: bytes) -> PlanDocument:
    try:
        return parse_stored(stored)
    except (PlanFormatError, zlib.error, json.JSONDecodeError) as error:
        raise PlanStoreError(f"the stored plans are invalid: {error}") from error
