"""Runs the event loop that grpclib uses on a separate thread."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from concurrent.futures import Future
    from typing import Any

T = TypeVar("T")


class LoopThread:
    """Runs coroutines for other threads and returns their results as ``concurrent`` futures."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, name=name, daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Start ``coroutine`` on the loop; safe on any thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def close(self) -> None:
        """Stop the loop after its current callbacks and join the thread, for at most 5 s."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=5)
