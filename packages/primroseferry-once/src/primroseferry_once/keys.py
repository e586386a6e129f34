"""Idempotency keys: issued prefixes, validation, owners and the scope of a key."""

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
_ISSUED = re.compile(r"pf1~(?P<incarnation>[0-9a-f]{16})~(?P<instance>[A-Za-z0-9._-]+)~.+")
_ALLOWED = re.compile(r"[A-Za-z0-9._~-]+")


@dataclass(frozen=True, slots=True)
class ScopedKey:
    """A key within the scope of its customer: equal keys of two customers are different."""

    customer: CustomerId
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class Owner:
    """The only incarnation that dispatches a key, and the instance on which it started."""

    incarnation: IncarnationId
    instance: InstanceId


def issue_prefix(owner: Owner) -> str:
    """Return a new prefix for keys that only ``owner`` dispatches.

    Callers append a text of at least one character.
    """
    unique = secrets.token_hex(_UNIQUE_BYTES)
    return f"{ISSUED_PREFIX}{owner.incarnation}~{owner.instance}~{unique}-"


def parse_key(text: str) -> IdempotencyKey:
    """Validate a caller's key. Raises ``BAD_REQUEST`` if it is malformed."""
    if len(text) > MAX_KEY_CHARACTERS or not _ALLOWED.fullmatch(text):
        raise problem_error(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key must have 1 to {MAX_KEY_CHARACTERS} letters, digits or . _ ~ -",
        )
    if text.startswith(ISSUED_PREFIX) and not _ISSUED.fullmatch(text):
        raise problem_error(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key starts with {ISSUED_PREFIX} but is not an issued prefix plus a text",
        )
    return IdempotencyKey(text)


def issued_owner(key: IdempotencyKey) -> Owner | None:
    """Return the owner that an issued key names, or ``None`` for a key that was not issued.

    >>> issued_owner(IdempotencyKey("pf1~0123456789abcdef~gateway-1~9f-order-7")).instance
    'gateway-1'
    """
    match = _ISSUED.fullmatch(key)
    if match is None:
        return None
    return Owner(IncarnationId(match["incarnation"]), InstanceId(match["instance"]))


def owner_to_text(owner: Owner) -> str:
    """Return the value of a claim in the key-value service that names ``owner``."""
    return f"{owner.incarnation}~{owner.instance}"


def owner_from_text(text: str) -> Owner:
    """Parse the output of :func:`owner_to_text`."""
    incarnation, _, instance = text.partition("~")
    return Owner(IncarnationId(incarnation), InstanceId(instance))
