"""The reference pages in docs/ equal the pages that the code generates."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from primroseferry_cli import reference
from primroseferry_core.errors import ERROR_ANSWERS
from primroseferry_core.errors import ErrorKind
from primroseferry_core.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parent.parent
SOURCES = [path for path in ROOT.glob("packages/*/src/**/*.py") if "_pb2" not in path.name]


@pytest.mark.parametrize(
    ("page", "write"),
    [
        ("EVENTS.md", reference.events_page),
        ("ERRORS.md", reference.errors_page),
        ("SETTINGS.md", reference.settings_page),
    ],
)
def test_reference_page_is_current(page: str, write: Callable[[], str]) -> None:
    assert (ROOT / "docs" / page).read_text() == write(), "run 'make reference' to regenerate it"


def test_event_numbers_are_unique() -> None:
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_every_error_kind_has_an_answer() -> None:
    assert set(ERROR_ANSWERS) == set(ErrorKind)


@pytest.mark.parametrize("event", list(Event), ids=lambda event: event.name)
def test_every_event_of_the_catalogue_is_logged_somewhere(event: Event) -> None:
    assert any(f"Event.{event.name}" in path.read_text() for path in SOURCES)


@pytest.mark.parametrize("kind", list(ErrorKind), ids=lambda kind: kind.name)
def test_every_error_kind_is_raised_somewhere(kind: ErrorKind) -> None:
    uses = sum(path.read_text().count(f"ErrorKind.{kind.name}") for path in SOURCES)
    assert uses > 1
