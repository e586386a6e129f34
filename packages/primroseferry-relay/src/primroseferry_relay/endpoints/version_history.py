"""The software versions that have lately served each service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .software_version import version_hash

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import ServiceId
    from primroseferry_core.ids import SoftwareVersion

    from .endpoint import Endpoint
    from .software_version import VersionHash

# A caller takes a stream up within this time after it began.
STREAM_LIFETIME_S = 120.0
# A version begins streams only this long after it was listed. A gateway that learns of it later
# would otherwise take a stream of that version for one of the versions that it knows.
ACTIVATION_DELAY_S = 2.0


@dataclass(slots=True)
class _Version:
    service: ServiceId
    version: SoftwareVersion
    first_listed_s: float
    endpoints: int = 0
    left_s: float = 0.0


class VersionHistory:
    """Counts the listed endpoints of each version and remembers those that have left.

    Not safe to use from several threads; the endpoint catalog holds its lock around each call.
    """

    def __init__(self, clock_s: Callable[[], float]) -> None:
        self._clock_s = clock_s
        self._started_s: float | None = None
        self._versions: dict[VersionHash, _Version] = {}

    @property
    def age_s(self) -> float:
        """Seconds since the first endpoint was listed, 0 before it."""
        return 0.0 if self._started_s is None else self._clock_s() - self._started_s

    def add(self, endpoint: Endpoint) -> None:
        """Count an endpoint that is listed now."""
        now_s = self._clock_s()
        if self._started_s is None:
            self._started_s = now_s
        known = self._versions.get(endpoint.version_hash)
        if known is None:
            self._forget_expired(now_s)
            known = _Version(endpoint.service, endpoint.version, now_s)
            self._versions[endpoint.version_hash] = known
        known.endpoints += 1

    def remove(self, endpoint: Endpoint) -> None:
        """Count an endpoint that is no longer listed."""
        known = self._versions[endpoint.version_hash]
        known.endpoints -= 1
        known.left_s = self._clock_s()

    def listed(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the versions of a service's listed endpoints."""
        return {
            known.version
            for known in self._versions.values()
            if known.service == service and known.endpoints > 0
        }

    def recent(self, service: ServiceId) -> set[VersionHash]:
        """Return the versions that a stream of a service may have begun at."""
        now_s = self._clock_s()
        return {
            version
            for version, known in self._versions.items()
            if known.service == service and not _is_expired(known, now_s)
        }

    def is_active(self, service: ServiceId, version: SoftwareVersion) -> bool:
        """Whether a version may begin streams while others of its service can."""
        known = self._versions.get(version_hash(service, version))
        if known is None or self._started_s is None:
            return False
        was_listed_first = known.first_listed_s < self._started_s + ACTIVATION_DELAY_S
        return was_listed_first or self._clock_s() - known.first_listed_s >= ACTIVATION_DELAY_S

    def _forget_expired(self, now_s: float) -> None:
        for version, known in list(self._versions.items()):
            if _is_expired(known, now_s):
                del self._versions[version]


def _is_expired(known: _Version, now_s: float) -> bool:
    return known.endpoints == 0 and now_s - known.left_s > STREAM_LIFETIME_S
