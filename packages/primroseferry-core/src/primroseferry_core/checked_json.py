"""JSON objects from other processes, whose fields may be missing or of any type."""

from __future__ import annotations

import json
import math
from typing import Any

MAX_INT = 2**63 - 1


class MalformedJsonError(ValueError):
    """The text is no JSON object, or a field is missing or has another type."""


class JsonObject:
    """A JSON object whose fields are checked when they are read.

    >>> JsonObject.parse(b'{"revision": 7}').integer("revision")
    7
    >>> JsonObject.parse(b'{"revision": "7"}').integer("revision")
    Traceback (most recent call last):
    primroseferry_core.checked_json.MalformedJsonError: expected an integer as 'revision'
    """

    def __init__(self, value: object) -> None:
        if not isinstance(value, dict):
            raise MalformedJsonError("expected a JSON object")
        self._fields: dict[str, Any] = value

    @classmethod
    def parse(cls, text: str | bytes) -> JsonObject:
        """Decode a JSON text."""
        try:
            return cls(json.loads(text))
        except RecursionError:
            raise MalformedJsonError("the JSON text is nested too deeply") from None
        except ValueError as error:
            raise MalformedJsonError(str(error)) from error

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string; ``default`` replaces a missing field."""
        value = self._fields.get(name, default)
        if not isinstance(value, str):
            raise MalformedJsonError(f"expected a string as {name!r}")
        return value

    def integer(self, name: str) -> int:
        """Return an integer from 0 to ``MAX_INT``."""
        value: Any = self._fields.get(name)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not 0 <= value <= MAX_INT:
            raise MalformedJsonError(f"expected an integer as {name!r}")
        return int(value)

    def number(self, name: str) -> float:
        """Return a finite number of at least 0."""
        value: Any = self._fields.get(name)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_INT or not math.isfinite(value):
            raise MalformedJsonError(f"expected a number as {name!r}")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return whether a field is present and true."""
        return self._fields.get(name) is True

    def items(self, name: str) -> list[object]:
        """Return a list of any values."""
        value: Any = self._fields.get(name)
        if not isinstance(value, list):
            raise MalformedJsonError(f"expected a list as {name!r}")
        return value
