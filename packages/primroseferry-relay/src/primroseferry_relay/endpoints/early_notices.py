"""Keeps what a gateway that has just started is told of endpoints that it has not listed yet."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import EndpointId

    from .endpoint import EndpointRun
    from .run_notice import RunNotice

LIFETIME_S = 3.0
MAX_NOTICES = 4_096


@dataclass(frozen=True, slots=True)
class _EarlyNotice:
    notice: RunNotice
    received_s: float


class EarlyNotices:
    """The latest notice about each run of an endpoint that is not listed."""

    def __init__(self) -> None:
        self._notices: BoundedMap[EndpointRun, _EarlyNotice] = BoundedMap(MAX_NOTICES)
        self._lock = threading.Lock()

    def __bool__(self) -> bool:
        return bool(self._notices)

    def put(self, notice: RunNotice, now_s: float) -> None:
        """Keep a notice for ``LIFETIME_S``."""
        with self._lock:
            self._notices.put(notice.run, _EarlyNotice(notice, now_s))

    def take_listed(self, is_known: Callable[[EndpointId], bool], now_s: float) -> list[RunNotice]:
        """Return and forget the notices about endpoints that are listed by now."""
        with self._lock:
            due = [
                (run, early)
                for run, early in self._notices.items()
                if is_known(run.endpoint) or now_s - early.received_s > LIFETIME_S
            ]
            for run, _ in due:
                self._notices.pop(run, None)
        taken = []
        for _, early in due:
            age_s = now_s - early.received_s
            left_ms = early.notice.cold_ms - age_s * 1000
            is_past = age_s > LIFETIME_S or (early.notice.cold_ms > 0 and left_ms <= 0)
            if not is_past:
                taken.append(replace(early.notice, cold_ms=max(0.0, left_ms)))
        return taken
