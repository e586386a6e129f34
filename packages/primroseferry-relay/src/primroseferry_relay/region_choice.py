"""Choice between the own region and a remote region."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_policy.contention import RegionPlace
from primroseferry_policy.contention import leaves_region

if TYPE_CHECKING:
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.placement import Choice

    from .membership.peer import Peer

# Network round trip within a region, with the other gateway's processing.
LOCAL_ROUND_TRIP_MS = 5.0
# Network round trip between regions.
ROUND_TRIP_MS = 110.0
# Added because the load of a remote region may have grown since its last report.
STALENESS_MS = 60.0
# A request leaves the region only if the gain outweighs the traffic between regions and the prefill
# of prompt parts that are cached in the own region only.
MIN_GAIN_MS = 150.0


@dataclass(frozen=True, slots=True)
class RegionOption:
    """Another gateway, with the expected time to the first byte and the score.

    It is of a remote region, or of the own one if this gateway cannot reach an endpoint there.
    """

    region: RegionId
    peer: Peer
    first_ms: float
    score: float
    is_saturated: bool
    is_queued: bool = False

    @property
    def target(self) -> str:
        """Region and gateway instance, as log lines name them."""
        return f"{self.region}/{self.peer.instance}"


def prefers_remote_region(
    local: Choice, remote: RegionOption, contended_target_ms: float | None = None
) -> bool:
    """Whether the remote region is better than the best local endpoint by ``MIN_GAIN_MS``.

    If only one of the two is saturated, the other one is preferred. ``contended_target_ms`` is the
    request's latency target if its service decides by contention, else ``None``.
    """
    if local.is_saturated != remote.is_saturated:
        return local.is_saturated
    if contended_target_ms is not None:
        leaves = leaves_region(
            RegionPlace(local.first_ms, local.is_queued),
            RegionPlace(remote.first_ms, remote.is_queued),
            contended_target_ms,
        )
        if leaves is not None:
            return leaves
    return local.score - remote.score > MIN_GAIN_MS
