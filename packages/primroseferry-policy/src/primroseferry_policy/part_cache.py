"""Which parts of prompts each endpoint is expected to hold."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .prompt import PartId
    from .prompt import PromptPart

# Running requests take the rest of an engine's memory, and a wrong guess costs a second reading.
KEPT_MEMORY_SHARE = 0.6
DEFAULT_CACHE_TOKENS = 200_000


class PartCache:
    """The parts read by each endpoint, the least recently used given up first.

    An engine reuses a part only when it holds all parts before it too.
    """

    def __init__(self) -> None:
        self._held: dict[EndpointId, OrderedDict[PartId, int]] = {}
        self._tokens: dict[EndpointId, int] = {}
        self._lock = threading.Lock()

    def cached_tokens(self, endpoint: EndpointId, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt the endpoint need not read."""
        with self._lock:
            held = self._held.get(endpoint)
            if held is None:
                return 0
            tokens = 0
            for part in parts:
                if part.part not in held:
                    break
                tokens += part.tokens
            return tokens

    def note_read(
        self,
        endpoint: EndpointId,
        parts: Iterable[PromptPart],
        cache_tokens: int = DEFAULT_CACHE_TOKENS,
    ) -> None:
        """Note that the endpoint reads a prompt; ``cache_tokens`` is its memory."""
        with self._lock:
            held = self._held.setdefault(endpoint, OrderedDict())
            tokens = self._tokens.get(endpoint, 0)
            for part in parts:
                tokens += part.tokens - held.pop(part.part, 0)
                held[part.part] = part.tokens
            while tokens > cache_tokens * KEPT_MEMORY_SHARE and len(held) > 1:
                tokens -= held.popitem(last=False)[1]
            self._tokens[endpoint] = tokens

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what an endpoint held, because its process is new."""
        with self._lock:
            self._held.pop(endpoint, None)
            self._tokens.pop(endpoint, None)
