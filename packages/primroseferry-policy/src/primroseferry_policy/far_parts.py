"""Which engines of other regions lately read parts of prompts.

Other regions tell of a part once in a while, so what is known here ages: an engine may have given a
part up since. A copy that finds nothing costs little more than reading.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primroseferry_core.recent_map import RecentMap

from .part_cache import SETTLE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .prompt import PartId
    from .prompt import PromptPart

K = TypeVar("K")

# A region tells a part that is in use again after this time; what it told is believed twice as
# long. At the load of a peak an engine reads its whole memory anew in 5 to 10 s.
TELL_PAUSE_S = 8.0
LIFE_S = 2 * TELL_PAUSE_S
# Some hundred bytes each; a deployment's prompts share some hundred parts.
MAX_PARTS = 4_096


@dataclass(frozen=True, slots=True)
class PartReading:
    """An engine was given a prompt up to ``part``, ``tokens`` tokens in all."""

    endpoint: EndpointId
    part: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class _Told:
    reading: PartReading
    told_s: float


class ToldParts(Generic[K]):
    """When parts, by themselves or with their engine, were last told: once in a pause is enough."""

    def __init__(
        self, clock_s: Callable[[], float] = time.monotonic, pause_s: float = TELL_PAUSE_S
    ) -> None:
        self._clock_s = clock_s
        self._pause_s = pause_s
        self._noted_s: RecentMap[K, float] = RecentMap(MAX_PARTS)
        self._lock = threading.Lock()

    def note(self, key: K) -> bool:
        """Note that an engine gets a part; ``True`` where that is to be told now."""
        now_s = self._clock_s()
        with self._lock:
            noted_s = self._noted_s.get(key)
            if noted_s is not None and now_s - noted_s < self._pause_s:
                return False
            self._noted_s.put(key, now_s)
            return True


class FarParts:
    """The newest reader of each part in any other region."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._told: RecentMap[PartId, _Told] = RecentMap(MAX_PARTS)
        self._lock = threading.Lock()

    def note(self, reading: PartReading) -> None:
        """Take in what a gateway of another region told."""
        with self._lock:
            self._told.put(reading.part, _Told(reading, self._clock_s()))

    def find(self, parts: Sequence[PromptPart]) -> PartReading | None:
        """Return who holds the longest known beginning of a prompt, ``None`` if nobody does."""
        now_s = self._clock_s()
        with self._lock:
            for part in reversed(parts):
                told = self._told.get(part.part)
                if told is not None and SETTLE_S <= now_s - told.told_s <= LIFE_S:
                    return told.reading
        return None

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what an engine read, because its process is new."""
        with self._lock:
            for part, told in list(self._told.items()):
                if told.reading.endpoint == endpoint:
                    del self._told[part]
