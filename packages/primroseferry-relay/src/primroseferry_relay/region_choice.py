"""Whether a request is better served in another region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId

    from .membership.peer_report import PeerReport

# The way there and back between regions.
ROUND_TRIP_MS = 110.0
# A region that told its load some time ago may have more to do by now.
STALENESS_MS = 60.0
# Requests leave the region only for a gain that is worth the bytes between regions.
MIN_GAIN_MS = 150.0
# While the local first byte is expected within this share of the target, nothing is gained.
ON_TIME_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class RegionOption:
    """A gateway of another region, with the expected time to the first byte through it."""

    region: RegionId
    peer: PeerReport
    first_ms: float


def prefers_region(local_ms: float, remote_ms: float, latency_target_ms: float) -> bool:
    """Whether the other region is expected to be enough sooner.

    >>> prefers_region(2_000.0, 300.0, 1_000.0), prefers_region(400.0, 120.0, 1_000.0)
    (True, False)
    """
    if local_ms <= latency_target_ms * ON_TIME_SHARE:
        return False
    return local_ms - remote_ms > MIN_GAIN_MS
