"""Fields of JSON objects that are missing or of another type."""

from __future__ import annotations

import json
from typing import Any

import pytest
from primroseferry_core.checked_json import JsonObject
from primroseferry_core.checked_json import MalformedJsonError


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b"7", b"\xff", "[" * 100_000])
def test_text_that_is_no_object_is_malformed(text: str | bytes) -> None:
    with pytest.raises(MalformedJsonError):
        JsonObject.parse(text)


@pytest.mark.parametrize("value", [None, True, "7", 1.5, -1, 2**63, [], {}])
def test_field_that_is_no_integer_is_malformed(value: Any) -> None:
    with pytest.raises(MalformedJsonError):
        JsonObject({"field": value}).integer("field")


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-1", "1e400", "true", '"1"', "null"])
def test_field_that_is_no_number_is_malformed(text: str) -> None:
    with pytest.raises(MalformedJsonError):
        JsonObject.parse(f'{{"field": {text}}}').number("field")


def test_fields_are_returned_in_their_types() -> None:
    data = {"text": "a", "count": 7, "share": 0.5, "whole": 2, "is_on": True, "rows": [1]}
    decoded = JsonObject.parse(json.dumps(data))
    assert decoded.text("text") == "a"
    assert decoded.text("missing", "") == ""
    assert decoded.integer("count") == 7
    assert (decoded.number("share"), decoded.number("whole")) == (0.5, 2.0)
    assert (decoded.flag("is_on"), decoded.flag("missing")) == (True, False)
    assert decoded.items("rows") == [1]
