"""Fixtures of the relay's tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_transport.curl_loop import CurlLoop

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def loop() -> Iterator[CurlLoop]:
    loop = CurlLoop("tests")
    yield loop
    loop.close()
