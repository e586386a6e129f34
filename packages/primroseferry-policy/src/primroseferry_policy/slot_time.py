"""How long a run holds a slot of an engine, learned from completed runs.

When all slots are in use, the wait of one more request depends on how soon a slot becomes free,
which differs tenfold between engines with 8 and with 64 slots.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import ServiceId

# Used until runs have ended: a few hundred tokens at the usual speed of an engine.
DEFAULT_HOLD_MS = 1_500.0
LEARNING_RATE = 0.03
# Limits the effect of a single outlier.
MAX_RATIO = 4.0


class SlotTimes:
    """The mean time for which a run of each service holds its slot."""

    def __init__(self) -> None:
        self._hold_ms: dict[ServiceId, float] = {}
        self._lock = threading.Lock()

    def hold_ms(self, service: ServiceId) -> float:
        """Return the mean time for which a run holds its slot."""
        return self._hold_ms.get(service, DEFAULT_HOLD_MS)

    def observe(self, service: ServiceId, hold_ms: float) -> None:
        """Record the time of a run that ended successfully."""
        with self._lock:
            current = self._hold_ms.get(service, DEFAULT_HOLD_MS)
            bounded = min(current * MAX_RATIO, max(0.0, hold_ms))
            self._hold_ms[service] = current + LEARNING_RATE * (bounded - current)
