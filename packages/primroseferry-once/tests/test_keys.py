"""Which idempotency keys are accepted."""

from __future__ import annotations

import pytest
from primroseferry_core.errors import ProblemError
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_once.keys import Owner
from primroseferry_once.keys import issue_prefix
from primroseferry_once.keys import issued_owner
from primroseferry_once.keys import parse_key

OWNER = Owner(IncarnationId("0123456789abcdef"), InstanceId("g-1"))


def test_issued_key_names_its_owner() -> None:
    assert issued_owner(parse_key(issue_prefix(OWNER) + "order-7")) == OWNER


@pytest.mark.parametrize("text", ["", "a b", "order-7\n", "x" * 201, "pf1~x", "\u0661"])
def test_malformed_key_is_refused(text: str) -> None:
    with pytest.raises(ProblemError):
        parse_key(text)


def test_issued_key_with_a_trailing_newline_names_no_owner() -> None:
    assert issued_owner(IdempotencyKey(issue_prefix(OWNER) + "order-7\n")) is None
