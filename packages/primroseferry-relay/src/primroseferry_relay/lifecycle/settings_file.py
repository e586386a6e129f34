"""Reloads a settings file that changes while the gateway runs."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .settings import RelaySettings

# A change without a signal is detected within this time.
CHECK_INTERVAL_S = 2.0


class SettingsFile:
    """Reads the settings again when the text of the file changes.

    ``text`` is the content that is already applied. ``parse`` raises ``ValueError`` for invalid
    content.
    """

    def __init__(self, path: Path, text: str, parse: Callable[[str], RelaySettings]) -> None:
        self._path = path
        self._text = text
        self._parse = parse
        self._next_check_s = time.monotonic() + CHECK_INTERVAL_S

    def expect_change(self) -> None:
        """Check the file at the next call of ``read_changed``, after a reload signal."""
        self._next_check_s = 0.0

    def read_changed(self) -> RelaySettings | None:
        """Return the settings if they changed and are valid, else ``None``.

        Invalid settings are logged and ignored. Unless a signal arrived, the file is checked only
        every ``CHECK_INTERVAL_S``.
        """
        if time.monotonic() < self._next_check_s:
            return None
        self._next_check_s = time.monotonic() + CHECK_INTERVAL_S
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return None
            self._text = text
            return self._parse(text)
        except (OSError, ValueError) as error:
            log_event(Event.SETTINGS_REJECTED, path=str(self._path), reason=str(error))
            return None
