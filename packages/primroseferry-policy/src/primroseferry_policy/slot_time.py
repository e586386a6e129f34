"""How long a run holds a slot of an engine, learned from the runs that ended.

It answers load that fills all slots: how long one more request waits follows from how soon a slot
is free, which differs tenfold between engines with 8 and with 64 slots.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId

# Until runs have ended: some hundred tokens at the usual speed of an engine.
DEFAULT_HOLD_MS = 1_500.0
LEARNING_RATE = 0.03
# A single odd run moves what is known by little.
MAX_RATIO = 4.0


class SlotTimes:
    """The mean time that a run of each service holds its slot."""

    def __init__(self) -> None:
        self._hold_ms: dict[ServiceId, float] = {}
        self._lock = threading.Lock()

    def hold_ms(self, service: ServiceId) -> float:
        """Return the mean time of a run."""
        return self._hold_ms.get(service, DEFAULT_HOLD_MS)

    def observe(self, service: ServiceId, hold_ms: float) -> None:
        """Take in the time of one run that ended well."""
        with self._lock:
            held = self._hold_ms.get(service, DEFAULT_HOLD_MS)
            bounded = min(held * MAX_RATIO, max(0.0, hold_ms))
            self._hold_ms[service] = held + LEARNING_RATE * (bounded - held)
