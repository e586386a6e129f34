"""Passes an answer's events from the HTTP loop's thread to the peer server's event loop."""

from __future__ import annotations

import asyncio
import threading

MAX_PENDING_BYTES = 1024 * 1024


class PeerSink:
    """Merges the events that arrive between two sends into one message.

    The sink is abandoned if more than ``MAX_PENDING_BYTES`` are pending for a slow peer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pieces: list[bytes] = []
        self._lock = threading.Lock()
        self._pending_bytes = 0
        self._wakeup = asyncio.Event()
        self._is_wakeup_scheduled = False
        self.is_abandoned = False

    def write(self, events: bytes) -> bool:
        """Accept events on any thread; ``False`` once the sink is abandoned."""
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
        """Make :meth:`take_pending` return soon; safe on any thread."""
        if not self._is_wakeup_scheduled:
            self._is_wakeup_scheduled = True
            self._loop.call_soon_threadsafe(self._wakeup.set)

    async def take_pending(self) -> bytes:
        """Wait for a wake-up and return all pending bytes, which may be none."""
        await self._wakeup.wait()
        self._wakeup.clear()
        self._is_wakeup_scheduled = False
        with self._lock:
            data = b"".join(self._pieces)
            self._pieces.clear()
            self._pending_bytes = 0
        return data
