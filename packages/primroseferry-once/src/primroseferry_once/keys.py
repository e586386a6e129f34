"""Idempotency keys that gateways issue, and the scope of every key."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId

ISSUED_PREFIX = "pf1~"
MAX_KEY_CHARACTERS = 200
_UNIQUE_BYTES = 6
_ISSUED = re.compile(r"^pf1~(?P<incarnation>[0-9a-f]{16})~(?P<instance>[A-Za-z0-9._-]+)~.+$")
_ALLOWED = re.compile(r"^[A-Za-z0-9._~-]+$")


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """A key within its customer: two customers never share one."""

    customer: CustomerId
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class Owner:
    """The one incarnation that dispatches a key, and the instance where it was started."""

    incarnation: IncarnationId
    instance: InstanceId


def issue_prefix(owner: Owner) -> str:
    """Return a fresh prefix under which ``owner`` alone dispatches; callers append a text."""
    unique = secrets.token_hex(_UNIQUE_BYTES)
    return f"{ISSUED_PREFIX}{owner.incarnation}~{owner.instance}~{unique}-"


def parse_key(text: str) -> IdempotencyKey:
    """Check a caller's key. Raises ``BAD_REQUEST`` where it cannot be a key."""
    if len(text) > MAX_KEY_CHARACTERS or not _ALLOWED.match(text):
        raise problem_error(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} letters, digits or . _ ~ -",
        )
    if text.startswith(ISSUED_PREFIX) and not _ISSUED.match(text):
        raise problem_error(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key starts with {ISSUED_PREFIX} but is not an issued prefix and a text",
        )
    return IdempotencyKey(text)


def issued_owner(key: IdempotencyKey) -> Owner | None:
    """Return the owner that an issued key names, or ``None`` for a caller's own key.

    >>> issued_owner(IdempotencyKey("pf1~0123456789abcdef~gateway-1~9f-order-7")).instance
    'gateway-1'
    """
    match = _ISSUED.match(key)
    if match is None:
        return None
    return Owner(IncarnationId(match["incarnation"]), InstanceId(match["instance"]))


def owner_to_text(owner: Owner) -> str:
    """Write an owner as a claim in the key-value service holds it."""
    return f"{owner.incarnation}~{owner.instance}"


def owner_from_text(text: str) -> Owner:
    """Read what :func:`owner_to_text` wrote."""
    incarnation, _, instance = text.partition("~")
    return Owner(IncarnationId(incarnation), InstanceId(instance))
