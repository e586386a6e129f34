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
    """Log events at or above ``level`` (``info``, ``warning``, ``error``) as JSON.

    Events of the process itself, numbered 1000 to 1999, are logged at every level. Lines go to
    ``handler``, or to stderr without one.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter("%(asctime)s %(levelname)s %(message)s", rename_fields={"asctime": "time"})
    )
    _logger.handlers = [handler]
    _logger.propagate = False
    _logger.setLevel(_LEVELS[level])


def log_event(event: Event, **fields: str | int | float | None) -> None:
    """Log one event with its number and fields. Fields must not contain a request's content.

    An error that is logged while an exception is handled includes its traceback.
    """
    level = _LEVELS[event.level]
    is_process_event = event.number // 1000 == 1
    if not (is_process_event or _logger.isEnabledFor(level)):
        return
    extra = {"event": event.number, **fields}
    effective_level = max(level, _logger.level) if is_process_event else level
    has_exception = event.level == "error" and _is_handling_exception()
    _logger.log(effective_level, event.sentence, extra=extra, exc_info=has_exception)


def dropped_lines() -> int:
    """Return the number of lines dropped above the rate limit and not reported yet."""
    handlers = _logger.handlers
    return sum(handler.dropped for handler in handlers if isinstance(handler, BatchedLogHandler))


def _is_handling_exception() -> bool:
    return sys.exc_info()[0] is not None
