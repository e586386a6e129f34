"""The bytes of answers that a process keeps at one time, over all its calls."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

DEFAULT_MAX_BUFFERED_BYTES = 48 * 1024 * 1024

CallT = TypeVar("CallT", bound="Hashable")


class AnswerBuffers(Generic[CallT]):
    """Counts the buffered bytes of calls, and chooses which call to stop when they are too many.

    The limit of a single answer does not bound the sum: any number of endpoints may send at once.
    The largest answer is the first to go, so that a flood does not end the small answers beside it.
    None goes that is below an equal share of the limit, so that answers which slow callers keep do
    not end all others, until the sum reaches twice the limit. Before any goes, the answers that
    callers read slowly are given up.

    >>> buffers = AnswerBuffers[str](max_bytes=100)
    >>> buffers.resize("flood", 90)
    >>> buffers.resize("sound", 20)
    'flood'
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BUFFERED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[CallT, int] = {}
        self._kept: dict[CallT, int] = {}
        self._give_ups: dict[CallT, Callable[[], bool]] = {}
        self._total_bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """The number of bytes that are buffered now."""
        return self._total_bytes

    def resize(self, call: CallT, size_bytes: int) -> CallT | None:
        """Record the size of a call's buffer; return the call to stop, ``None`` for none.

        The bytes of the returned call are counted no more.
        """
        with self._lock:
            self._total_bytes += size_bytes - self._sizes.pop(call, 0)
            if size_bytes:
                self._sizes[call] = size_bytes
            if self._total_bytes <= self._max_bytes or not self._sizes:
                return None
            largest = max(self._sizes, key=self._sizes.__getitem__)
            count = len(self._sizes) + len(self._kept)
            is_small = self._sizes[largest] * count <= self._max_bytes
            if is_small and self._total_bytes <= 2 * self._max_bytes:
                return None
            if self._give_up_slow():
                return None
            self._total_bytes -= self._sizes.pop(largest)
            return largest

    def keep(self, call: CallT) -> None:
        """Count the bytes of a call that has ended until it is released."""
        with self._lock:
            size_bytes = self._sizes.pop(call, 0)
            if size_bytes:
                self._kept[call] = size_bytes

    def offer(self, call: CallT, give_up: Callable[[], bool]) -> None:
        """Let ``give_up`` end the sending of a kept answer when another one needs its memory.

        It returns ``False`` while the caller reads well. It must neither block nor use the buffers.
        """
        with self._lock:
            if call in self._kept:
                self._give_ups[call] = give_up

    def release(self, call: CallT) -> None:
        """Count the bytes of a call no more."""
        with self._lock:
            self._give_ups.pop(call, None)
            self._total_bytes -= self._sizes.pop(call, 0) + self._kept.pop(call, 0)

    def _give_up_slow(self) -> bool:
        """Give up slowly read answers, the oldest first; return whether the others fit then."""
        for call, give_up in list(self._give_ups.items()):
            if self._total_bytes <= self._max_bytes:
                break
            if give_up():
                del self._give_ups[call]
                self._total_bytes -= self._kept.pop(call, 0)
        return self._total_bytes <= self._max_bytes
