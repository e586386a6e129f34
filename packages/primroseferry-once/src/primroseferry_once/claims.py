"""Claims on callers' own keys: one create-if-absent write names the owner for good."""

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
    """What came of a create-if-absent write."""

    CREATED = "created"
    PRESENT = "present"
    NOT_KNOWN = "not-known"


@dataclass(frozen=True, slots=True)
class Found:
    """The key has this value."""

    value: bytes


@dataclass(frozen=True, slots=True)
class Absent:
    """The key has no value now; a write whose answer was lost may still arrive."""


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The service gave no answer."""


ReadOutcome = Found | Absent | Unreadable


class ClaimStore(Protocol):
    """What claims need of the key-value service."""

    def create(self, key: str, value: bytes) -> CreateOutcome:
        """Create ``key`` if it is absent."""

    def read(self, key: str) -> ReadOutcome:
        """Read ``key``."""


@dataclass(frozen=True, slots=True)
class ClaimedBy:
    """The key belongs to this incarnation for as long as the claim is kept."""

    owner: Owner


@dataclass(frozen=True, slots=True)
class NotClaimed:
    """The key-value service could not be asked, so nobody here may dispatch the key."""


Claim = ClaimedBy | NotClaimed


def claim_key(store: ClaimStore, scoped_key: ScopedKey, claimant: Owner) -> Claim:
    """Claim a key for ``claimant`` and return who owns it.

    A write whose answer was lost is settled by reading. An absent key after such a write proves
    nothing, because the write may still arrive; it is then written again, and every write of one
    claimant has the same value, so the order in which they arrive does not matter. A service that
    answers neither a write nor a read is given up on at once.
    """
    path = f"{CLAIM_KEY_PREFIX}{quote(scoped_key.customer, safe='')}/{scoped_key.key}"
    for _ in range(CLAIM_ATTEMPTS):
        outcome = store.create(path, owner_to_text(claimant).encode())
        if outcome is CreateOutcome.CREATED:
            log_event(Event.KEY_CLAIMED)
            return ClaimedBy(claimant)
        match store.read(path):
            case Found(value):
                return ClaimedBy(owner_from_text(value.decode()))
            case Unreadable() if outcome is CreateOutcome.NOT_KNOWN:
                break
            case _:
                continue
    log_event(Event.KEY_CLAIM_FAILED)
    return NotClaimed()
