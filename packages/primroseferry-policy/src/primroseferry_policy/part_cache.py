"""Estimates which prompt parts each endpoint has cached."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId

    from .prompt import PartId
    from .prompt import PromptPart

# Running requests use the rest of an engine's memory, and a wrong estimate costs a second prefill.
CACHE_MEMORY_SHARE = 0.6
DEFAULT_CACHE_TOKENS = 200_000
# Time from sending a request to an engine until its prefill is complete: half of the usual target
# for a first event.
PREFILL_DELAY_S = 0.4


@dataclass(frozen=True, slots=True)
class CachedTokens:
    """Leading prompt tokens in an engine's cache.

    ``tokens`` includes those that the engine may still be processing, ``computed_tokens`` does not.
    """

    tokens: int = 0
    computed_tokens: int = 0


NO_CACHED_TOKENS = CachedTokens()


@dataclass(frozen=True, slots=True)
class _CachedPart:
    tokens: int
    computed_at_s: float


class PartCache:
    """The parts sent to each endpoint; the least recently used are evicted first.

    An engine reuses a cached part only if it has cached all parts before it too.
    """

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._cached: dict[EndpointId, OrderedDict[PartId, _CachedPart]] = {}
        self._tokens: dict[EndpointId, int] = {}
        self._lock = threading.Lock()

    def cached_tokens(self, endpoint: EndpointId, parts: Sequence[PromptPart]) -> CachedTokens:
        """Return how many leading tokens of a prompt need no prefill at the endpoint."""
        now_s = self._clock_s()
        with self._lock:
            cached = self._cached.get(endpoint)
            if cached is None:
                return NO_CACHED_TOKENS
            tokens = 0
            computed_tokens = 0
            for part in parts:
                cached_part = cached.get(part.part)
                if cached_part is None:
                    break
                if computed_tokens == tokens and cached_part.computed_at_s <= now_s:
                    computed_tokens += part.tokens
                tokens += part.tokens
            return CachedTokens(tokens, computed_tokens)

    def record_prefill(
        self,
        endpoint: EndpointId,
        parts: Iterable[PromptPart],
        cache_tokens: int = DEFAULT_CACHE_TOKENS,
    ) -> None:
        """Record the start of a prompt's prefill; ``cache_tokens`` is the endpoint's memory."""
        computed_at_s = self._clock_s() + PREFILL_DELAY_S
        with self._lock:
            cached = self._cached.setdefault(endpoint, OrderedDict())
            tokens = self._tokens.get(endpoint, 0)
            for part in parts:
                previous = cached.pop(part.part, None)
                tokens += part.tokens - (previous.tokens if previous is not None else 0)
                cached[part.part] = _CachedPart(
                    part.tokens, previous.computed_at_s if previous is not None else computed_at_s
                )
            while tokens > cache_tokens * CACHE_MEMORY_SHARE and len(cached) > 1:
                tokens -= cached.popitem(last=False)[1].tokens
            self._tokens[endpoint] = tokens

    def forget(self, endpoint: EndpointId) -> None:
        """Remove the parts of an endpoint whose process is new."""
        with self._lock:
            self._cached.pop(endpoint, None)
            self._tokens.pop(endpoint, None)
