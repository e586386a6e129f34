"""The bytes of request bodies that a gateway keeps at one time, over all connections."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Hashable

DEFAULT_MAX_BYTES = 32 * 1024 * 1024
# How long a body waits for the memory of answered requests whose threads have not ended them yet.
# Below ``MIN_STALL_S``, so that its own sender does not count as stalled meanwhile.
RELEASE_WAIT_S = 0.5


class Sender(Protocol):
    """The client of a body. The methods must not block."""

    @property
    def is_ending(self) -> bool:
        """Whether the answer is being sent or was, so that the body is about to be released."""

    def slowness(self, is_heavy: bool) -> tuple[bool, float] | None:
        """Return how slow the client is, ``None`` if it may not be given up.

        The first to go is the one with the largest value. ``is_heavy``: its body is at least as
        large as the one that needs its memory.
        """

    def give_up(self) -> bool:
        """Stop receiving the body; ``False`` if it has arrived in the meantime."""


class RequestBodies:
    """Decides which request bodies may grow.

    Beyond ``max_bytes`` only those may that are smaller than an equal share of it. Callers that
    send much or that stop in the midst of a large body therefore cannot keep small requests out,
    and all bodies together stay below twice ``max_bytes``. Before a body is refused, slow senders
    are given up, and it waits for ``RELEASE_WAIT_S`` if those of answered requests leave room.

    >>> bodies = RequestBodies(max_bytes=100)
    >>> bodies.resize("large", 90), bodies.resize("small", 20), bodies.resize("large", 95)
    (True, True, False)
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes: dict[Hashable, int] = {}
        self._senders: dict[Hashable, Sender] = {}
        self._total_bytes = 0
        self._lock = threading.Condition()

    @property
    def total_bytes(self) -> int:
        """The number of bytes that are kept now."""
        return self._total_bytes

    def resize(self, connection: Hashable, size_bytes: int) -> bool:
        """Record how much of a body was read; ``False`` if it must be refused."""
        until_s: float | None = None
        with self._lock:
            while True:
                more_bytes = size_bytes - self._sizes.get(connection, 0)
                room_bytes = self._limit_bytes(connection, size_bytes) - more_bytes
                if self._total_bytes > room_bytes:
                    self._give_up_slow(connection, size_bytes, room_bytes)
                if self._total_bytes <= room_bytes:
                    self._total_bytes += more_bytes
                    self._sizes[connection] = size_bytes
                    return True
                now_s = time.monotonic()
                until_s = until_s or now_s + RELEASE_WAIT_S
                if now_s >= until_s or self._total_bytes - self._ending_bytes() > room_bytes:
                    return False
                self._lock.wait(until_s - now_s)

    def offer(self, connection: Hashable, sender: Sender) -> None:
        """Let a body be given up until it is released when another one needs its memory."""
        with self._lock:
            self._senders[connection] = sender

    def release(self, connection: Hashable) -> None:
        """Count the body of a connection no more."""
        with self._lock:
            self._senders.pop(connection, None)
            size_bytes = self._sizes.pop(connection, 0)
            if size_bytes:
                self._total_bytes -= size_bytes
                self._lock.notify_all()

    def _limit_bytes(self, connection: Hashable, size_bytes: int) -> int:
        count = len(self._sizes) + (connection not in self._sizes)
        is_small = size_bytes * count <= self._max_bytes
        return self._max_bytes * (2 if is_small else 1)

    def _ending_bytes(self) -> int:
        return sum(
            self._sizes.get(other, 0) for other, sender in self._senders.items() if sender.is_ending
        )

    def _give_up_slow(self, connection: Hashable, size_bytes: int, room_bytes: int) -> None:
        """Give up slow senders, the slowest first, until at most ``room_bytes`` are kept."""
        ranked = []
        for other, sender in self._senders.items():
            other_bytes = self._sizes.get(other, 0)
            slowness = sender.slowness(other_bytes >= size_bytes)
            if other != connection and other_bytes and slowness is not None:
                ranked.append((slowness, other))
        kept_bytes = sum(self._sizes[other] for _, other in ranked)
        if self._total_bytes - kept_bytes > room_bytes:
            return
        for _, other in sorted(ranked, key=lambda entry: entry[0], reverse=True):
            if self._total_bytes <= room_bytes:
                return
            if self._senders.pop(other).give_up():
                self._total_bytes -= self._sizes.pop(other, 0)
