"""JSON logs of numbered events, one line each."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from .events import Event

LOGGER_NAME = "primroseferry"
_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
_logger = logging.getLogger(LOGGER_NAME)


def configure_logs(level: str) -> None:
    """Send events at or above ``level`` (``info``, ``warning``, ``error``) to stderr as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", rename_fields={"asctime": "time"})
    )
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(_LEVELS[level])


def log_event(event: Event, **fields: str | int | float | None) -> None:
    """Write one event with its number and fields. Fields never carry a request's content."""
    level = _LEVELS[event.level]
    if not _logger.isEnabledFor(level):
        return
    extra = {"event": event.number, **fields}
    _logger.log(level, event.sentence, extra=extra, exc_info=event.level == "error" and _failing())


def _failing() -> bool:
    return sys.exc_info()[0] is not None
