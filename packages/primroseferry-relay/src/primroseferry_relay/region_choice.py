"""Whether a request is better served in another region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.placement import Choice

    from .membership.peer import Peer

# The way there and back between regions.
ROUND_TRIP_MS = 110.0
# A region that told its load some time ago may have more to do by now.
STALENESS_MS = 60.0
# Requests leave the region only for a gain that is worth the bytes between regions, and the parts
# of the prompt that are read there once more.
MIN_GAIN_MS = 150.0


@dataclass(frozen=True, slots=True)
class RegionOption:
    """A gateway of another region, with the expected time to the first byte and the score."""

    region: RegionId
    peer: Peer
    first_ms: float
    score: float
    is_saturated: bool

    @property
    def target(self) -> str:
        """Whom a log line names: the region and its gateway."""
        return f"{self.region}/{self.peer.instance}"


def prefers_region(local: Choice, remote: RegionOption) -> bool:
    """Whether the other region is expected to be enough better."""
    if local.is_saturated != remote.is_saturated:
        return local.is_saturated
    return local.score - remote.score > MIN_GAIN_MS
