"""Fixtures for the tests that run on real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.shapes import three_regions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Start three regions: two gateways each, 55 ms links, engines, services, one franchise."""
    with start_deployment(three_regions()) as running:
        yield running
