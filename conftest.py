"""Lets the run pass over the failures that ``KNOWN-RED.txt`` lists; a fixture that many tests use."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from primroseferry_transport.curl_loop import CurlLoop

if TYPE_CHECKING:
    from collections.abc import Iterator

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def known_red_tests() -> list[str]:
    """Return the node ids that the file lists, one line ``test: NODE ID`` each."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line.removeprefix(TEST_FIELD).strip() for line in lines if line.startswith(TEST_FIELD)]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the listed tests all the same, but do not let their failure fail the run."""
    listed = set(known_red_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what the run passed over."""
    for node_id in known_red_tests():
        terminalreporter.write_line(f"KNOWN RED: {node_id}")


@pytest.fixture
def loop() -> Iterator[CurlLoop]:
    """Return a loop for outgoing calls that ends with the test."""
    running = CurlLoop("tests")
    yield running
    running.close()
