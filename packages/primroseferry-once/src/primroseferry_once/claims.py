"""Claims on keys that no gateway issued: one create-if-absent write sets the permanent owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol
from urllib.parse import quote

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .keys import Owner
from .keys import owner_from_text
from .keys import owner_to_text

if TYPE_CHECKING:
    from .keys import ScopedKey

CLAIM_ATTEMPTS = 3
CLAIM_KEY_PREFIX = "claims/"


class CreateOutcome(Enum):
    """The outcome of a create-if-absent write."""

    CREATED = "created"
    PRESENT = "present"
    NOT_KNOWN = "not-known"


@dataclass(frozen=True, slots=True)
class ClaimFound:
    """The key has this value."""

    value: bytes


@dataclass(frozen=True, slots=True)
class ClaimAbsent:
    """The key has no value yet; a write that timed out may still arrive."""


@dataclass(frozen=True, slots=True)
class ClaimUnreadable:
    """The service did not answer the read."""


ReadOutcome = ClaimFound | ClaimAbsent | ClaimUnreadable


class ClaimStore(Protocol):
    """The operations of the key-value service that claims use."""

    def create(self, key: str, value: bytes) -> CreateOutcome:
        """Create ``key`` if it is absent."""

    def read(self, key: str) -> ReadOutcome:
        """Return the value of ``key``, or whether it is absent or cannot be read."""


@dataclass(frozen=True, slots=True)
class ClaimedBy:
    """The key belongs to ``owner`` for as long as the claim is stored."""

    owner: Owner


@dataclass(frozen=True, slots=True)
class NotClaimed:
    """The owner of the key cannot be determined, so this gateway must not dispatch it."""


ClaimResult = ClaimedBy | NotClaimed


def claim_key(store: ClaimStore, scoped_key: ScopedKey, claimant: Owner) -> ClaimResult:
    """Claim a key for ``claimant`` and return its owner.

    If the answer to a write is lost, a read shows whether the write was applied. If the key is
    still absent, the write may yet arrive, so it is sent again. All writes of one claimant have the
    same value, so their order does not matter. If the service answers neither a write nor the read
    after it, there is no further attempt.
    """
    path = f"{CLAIM_KEY_PREFIX}{quote(scoped_key.customer, safe='')}/{scoped_key.key}"
    for _ in range(CLAIM_ATTEMPTS):
        outcome = store.create(path, owner_to_text(claimant).encode())
        if outcome is CreateOutcome.CREATED:
            log_event(Event.KEY_CLAIMED)
            return ClaimedBy(claimant)
        match store.read(path):
            case ClaimFound(value):
                return ClaimedBy(owner_from_text(value.decode()))
            case ClaimUnreadable() if outcome is CreateOutcome.NOT_KNOWN:
                break
            case _:
                continue
    log_event(Event.KEY_CLAIM_FAILED)
    return NotClaimed()
