"""JSON logs of numbered events, one line each."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

from .batched_log import BatchedLogHandler

if TYPE_CHECKING:
    from .events import Event

LOGGER_NAME = "primroseferry"
_LEVELS = {"info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
_logger = logging.getLogger(LOGGER_NAME)


def configure_logs(level: str, handler: logging.Handler | None = None) -> None:
    """Send events at or above ``level`` (``info``, ``warning``, ``error``) to stderr as JSON.

    Events of the process itself, numbered 1000 to 1999, are written at every level. ``handler``
    takes the lines elsewhere.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", rename_fields={"asctime": "time"})
    )
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(_LEVELS[level])


def log_event(event: Event, **fields: str | int | float | None) -> None:
    """Write one event with its number and fields. Fields never carry a request's content."""
    level = _LEVELS[event.level]
    is_process_event = event.number // 1000 == 1
    if not (is_process_event or _logger.isEnabledFor(level)):
        return
    extra = {"event": event.number, **fields}
    shown_level = max(level, _logger.level) if is_process_event else level
    has_error = event.level == "error" and _failing()
    _logger.log(shown_level, event.sentence, extra=extra, exc_info=has_error)


def dropped_lines() -> int:
    """Return how many lines were dropped lately because there were too many."""
    handlers = _logger.handlers
    return sum(one.dropped for one in handlers if isinstance(one, BatchedLogHandler))


def _failing() -> bool:
    return sys.exc_info()[0] is not None
