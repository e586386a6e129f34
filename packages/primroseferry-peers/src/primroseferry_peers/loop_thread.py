"""The event loop that grpclib runs on, on a thread of its own."""

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
    """Runs coroutines for threads and hands each result back as a ``concurrent.futures.Future``."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, name=name, daemon=True)
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, T]) -> Future[T]:
        """Start ``coroutine`` on the loop."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def close(self) -> None:
        """Stop the loop after what it is doing."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=5)
