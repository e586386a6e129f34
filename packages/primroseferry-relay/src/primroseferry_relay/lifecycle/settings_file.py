"""A settings file that may change while the gateway runs, with a signal or without."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .settings import RelaySettings

# A file that changes without a signal is noticed within this time.
LOOK_INTERVAL_S = 2.0


class SettingsFile:
    """Reads the file anew when its text changes. ``parse`` raises ``ValueError`` for a bad one."""

    def __init__(self, path: Path, text: str, parse: Callable[[str], RelaySettings]) -> None:
        self._path = path
        self._text = text
        self._parse = parse
        self._look_at_s = time.monotonic() + LOOK_INTERVAL_S

    def expect_change(self) -> None:
        """Look at the next call, because a signal says that the file has changed."""
        self._look_at_s = 0.0

    def read_changed(self) -> RelaySettings | None:
        """Return the settings if they changed and pass their checks, else ``None``."""
        if time.monotonic() < self._look_at_s:
            return None
        self._look_at_s = time.monotonic() + LOOK_INTERVAL_S
        try:
            text = self._path.read_text(encoding="utf-8")
            if text == self._text:
                return None
            self._text = text
            return self._parse(text)
        except (OSError, ValueError) as error:
            log_event(Event.SETTINGS_REJECTED, path=str(self._path), reason=str(error))
            return None
