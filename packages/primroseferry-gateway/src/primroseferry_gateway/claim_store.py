"""Claims kept in the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_platform.key_value import Entry
from primroseferry_platform.key_value import WriteFailure
from result import Err
from result import Ok

if TYPE_CHECKING:
    from primroseferry_platform.key_value import KeyValueClient


class KeyValueClaims:
    """Creates and reads claims."""

    def __init__(self, key_value: KeyValueClient) -> None:
        self._key_value = key_value

    def create(self, key: str, value: bytes) -> bool | None:
        """Create ``key`` if absent: ``True`` created, ``False`` present, ``None`` not known."""
        match self._key_value.put(key, value, expected_revision=0):
            case Ok(_):
                return True
            case Err(WriteFailure.CONFLICT):
                return False
            case _:
                return None

    def read(self, key: str) -> bytes | None:
        """Return the value, or ``None`` where it is absent or cannot be read."""
        match self._key_value.get(key):
            case Ok(Entry(value=value)):
                return value
            case _:
                return None
