"""Endpoints that are cold by their own answers, while the entry of an earlier run is listed."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .run_notice import RunNotice
from .run_notice import RunStanding

if TYPE_CHECKING:
    from .endpoint import EndpointRun


@dataclass(slots=True)
class _ColdRun:
    until_s: float
    told_s: float


class ColdRuns:
    """Until when such endpoints are cold, by their listed run, and when others were last told."""

    def __init__(self) -> None:
        self._runs: dict[EndpointRun, _ColdRun] = {}
        self._lock = threading.Lock()

    def __bool__(self) -> bool:
        return bool(self._runs)

    def put(self, run: EndpointRun, cold_ms: float, now_s: float) -> None:
        """Record that an endpoint stays cold for ``cold_ms``, unless that is known already."""
        with self._lock:
            if run not in self._runs:
                self._runs[run] = _ColdRun(now_s + cold_ms / 1000, now_s)

    def notices(self, now_s: float) -> list[RunNotice]:
        """Return a notice for each endpoint that is still cold."""
        with self._lock:
            return [_notice(run, cold, now_s) for run, cold in self._runs.items()]

    def due_notices(self, now_s: float, interval_s: float) -> list[RunNotice]:
        """Return the notices that are due after ``interval_s``, and forget what is warm."""
        with self._lock:
            self._runs = {run: cold for run, cold in self._runs.items() if cold.until_s > now_s}
            due = {
                run: cold for run, cold in self._runs.items() if now_s - cold.told_s >= interval_s
            }
            for cold in due.values():
                cold.told_s = now_s
            return [_notice(run, cold, now_s) for run, cold in due.items()]


def _notice(run: EndpointRun, cold: _ColdRun, now_s: float) -> RunNotice:
    return RunNotice(run, RunStanding.VERIFIED, max(0.0, cold.until_s - now_s) * 1000)
