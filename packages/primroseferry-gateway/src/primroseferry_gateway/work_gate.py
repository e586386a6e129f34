"""Counts open requests and refuses new ones during a graceful shutdown."""

from __future__ import annotations

import threading
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error

if TYPE_CHECKING:
    from collections.abc import Iterator


class WorkGate:
    """Admits and counts requests; a closed gate refuses new work as ``not run``.

    Operations whose keys this gateway owns pass a closed gate too, because only the owner can
    answer them from its table.
    """

    def __init__(self) -> None:
        self._open_requests = 0
        self._is_closed = False
        self._changed = threading.Condition()

    @property
    def open_requests(self) -> int:
        """The number of open requests."""
        return self._open_requests

    @property
    def is_closed(self) -> bool:
        """Whether the gateway is stopping."""
        return self._is_closed

    @contextmanager
    def enter(self, is_for_owned_key: bool = False) -> Iterator[None]:
        """Count one request as open. Raises ``GATEWAY_DRAINING`` if the gate is closed."""
        with self._changed:
            if self._is_closed and not is_for_owned_key:
                raise problem_error(
                    ErrorKind.GATEWAY_DRAINING,
                    "this gateway is stopping; GET /v1/entry returns the others",
                )
            self._open_requests += 1
        try:
            yield
        finally:
            with self._changed:
                self._open_requests -= 1
                self._changed.notify_all()

    def close(self) -> None:
        """Refuse new work from now on."""
        with self._changed:
            self._is_closed = True

    def wait_empty(self, timeout_s: float) -> bool:
        """Wait until no request is open; ``False`` after ``timeout_s`` seconds."""
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while self._open_requests > 0:
                remaining_s = deadline_s - time.monotonic()
                if remaining_s <= 0:
                    return False
                self._changed.wait(remaining_s)
            return True
