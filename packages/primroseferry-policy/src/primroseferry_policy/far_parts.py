"""Which engines of remote regions recently processed parts of prompts.

Remote regions report a part at intervals, so that an entry may be outdated: the engine may have
evicted the part since. A copy that finds nothing costs little more than prefill.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primroseferry_core.bounded_map import BoundedMap

from .part_cache import PREFILL_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .prompt import PartId
    from .prompt import PromptPart

K = TypeVar("K")

# A region reports a part that is in use again after this time, and a report is valid for twice as
# long. At peak load an engine replaces all its cached tokens in 5 to 10 s.
REPORT_INTERVAL_S = 8.0
REPORT_TTL_S = 2 * REPORT_INTERVAL_S
# A few hundred bytes each; the prompts of a deployment share a few hundred parts.
MAX_PARTS = 4_096


@dataclass(frozen=True, slots=True)
class PartPrefill:
    """An engine was sent a prompt up to and including ``part``, ``tokens`` tokens in all."""

    endpoint: EndpointId
    part: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    prefill: PartPrefill
    received_s: float


class PartReportLimiter(Generic[K]):
    """Limits how often a part, alone or with its engine, is reported: once per ``pause_s``."""

    def __init__(
        self, clock_s: Callable[[], float] = time.monotonic, pause_s: float = REPORT_INTERVAL_S
    ) -> None:
        self._clock_s = clock_s
        self._pause_s = pause_s
        self._reported_s: BoundedMap[K, float] = BoundedMap(MAX_PARTS)
        self._lock = threading.Lock()

    def note(self, key: K) -> bool:
        """Record that an engine gets a part; ``True`` if that is to be reported now."""
        now_s = self._clock_s()
        with self._lock:
            reported_s = self._reported_s.get(key)
            if reported_s is not None and now_s - reported_s < self._pause_s:
                return False
            self._reported_s.put(key, now_s)
            return True


class RemotePartIndex:
    """The engine that most recently processed each part, over all remote regions."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._reports: BoundedMap[PartId, _ReceivedReport] = BoundedMap(MAX_PARTS)
        self._lock = threading.Lock()

    def note(self, prefill: PartPrefill) -> None:
        """Store the report of a gateway in a remote region."""
        with self._lock:
            self._reports.put(prefill.part, _ReceivedReport(prefill, self._clock_s()))

    def find(self, parts: Sequence[PromptPart]) -> PartPrefill | None:
        """Return the engine with the longest known prefix of a prompt, ``None`` if unknown."""
        now_s = self._clock_s()
        with self._lock:
            for part in reversed(parts):
                report = self._reports.get(part.part)
                if (
                    report is not None
                    and PREFILL_DELAY_S <= now_s - report.received_s <= REPORT_TTL_S
                ):
                    return report.prefill
        return None

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the parts of an engine whose process is new."""
        with self._lock:
            for part, report in list(self._reports.items()):
                if report.prefill.endpoint == endpoint:
                    del self._reports[part]
