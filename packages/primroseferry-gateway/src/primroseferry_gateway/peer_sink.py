"""Hands an answer's events from the HTTP loop's thread to the peer server's event loop."""

from __future__ import annotations

import asyncio
import threading

MAX_PENDING_BYTES = 1024 * 1024


class PeerSink:
    """Merges what arrives between two sends into one message.

    A peer that reads too slowly to stay within a bound is given up on.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pieces: list[bytes] = []
        self._lock = threading.Lock()
        self._pending_bytes = 0
        self._arrived = asyncio.Event()
        self._is_waking = False
        self.is_abandoned = False

    def write(self, events: bytes) -> bool:
        """Take events on any thread; ``False`` once the peer is gone."""
        if self.is_abandoned:
            return False
        with self._lock:
            self._pieces.append(events)
            self._pending_bytes += len(events)
            if self._pending_bytes > MAX_PENDING_BYTES:
                self.is_abandoned = True
                return False
        self.wake()
        return True

    def wake(self) -> None:
        """Have :meth:`take` return soon; safe on any thread."""
        if not self._is_waking:
            self._is_waking = True
            self._loop.call_soon_threadsafe(self._arrived.set)

    async def take(self) -> bytes:
        """Wait for a wake-up and return everything that arrived, perhaps nothing."""
        await self._arrived.wait()
        self._arrived.clear()
        self._is_waking = False
        with self._lock:
            data = b"".join(self._pieces)
            self._pieces.clear()
            self._pending_bytes = 0
        return data
