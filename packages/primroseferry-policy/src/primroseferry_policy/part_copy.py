"""Copying parts of a prompt from the memory of another engine instead of reading them again.

An engine reads some 50 prompt tokens in a millisecond and copies some 400. A copy also leaves the
engine's time to the prompts that nobody has read. It answers load in which many requests share
parts and one engine cannot serve them all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .part_cache import NOTHING_HELD

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId

    from .part_cache import HeldTokens

# The time to start a copy, beside its bytes; sites state 2.5 to 3.3 ms.
COPY_SETUP_MS = 4.0
# Between failure domains a copy takes twice as long, as the platform states.
FAR_COPY_FACTOR = 2.0
# Below this, starting a copy takes longer than reading.
MIN_COPY_TOKENS = 256


@dataclass(frozen=True, slots=True)
class PartHolder:
    """An engine with what it holds of a prompt."""

    endpoint: EndpointId
    failure_domain: FailureDomainId
    held: HeldTokens = NOTHING_HELD


@dataclass(frozen=True, slots=True)
class PartCopy:
    """Leading tokens of a prompt that an engine copies from another one before it reads."""

    source: EndpointId
    tokens: int
    duration_ms: float


class CopySources:
    """The engines that one prompt may be copied from.

    Only the fullest engines of each failure domain are kept, so that choosing for each of many
    targets costs little.
    """

    def __init__(self, holders: Iterable[PartHolder], copy_tokens_per_ms: float) -> None:
        """``copy_tokens_per_ms`` is how fast an engine copies; 0 where engines cannot."""
        self._copy_tokens_per_ms = copy_tokens_per_ms
        fullest: dict[FailureDomainId, PartHolder] = {}
        if copy_tokens_per_ms > 0:
            for holder in holders:
                best = fullest.get(holder.failure_domain)
                if best is None or holder.held.settled_tokens > best.held.settled_tokens:
                    fullest[holder.failure_domain] = holder
        self._fullest = [one for one in fullest.values() if one.held.settled_tokens > 0]

    def choose(self, target: PartHolder) -> PartCopy | None:
        """Return the copy that saves the target most reading; ``None`` where none is worth it.

        A target that is itself the fullest of its failure domain has no use for the others there.
        """
        if not self._fullest:
            return None
        best = max(self._fullest, key=lambda one: _preference(one, target))
        tokens = best.held.settled_tokens - target.held.tokens
        if tokens < MIN_COPY_TOKENS:
            return None
        factor = 1.0 if best.failure_domain == target.failure_domain else FAR_COPY_FACTOR
        duration_ms = COPY_SETUP_MS + tokens / self._copy_tokens_per_ms * factor
        return PartCopy(best.endpoint, tokens, duration_ms)


def _preference(source: PartHolder, target: PartHolder) -> tuple[int, bool]:
    return source.held.settled_tokens, source.failure_domain == target.failure_domain
