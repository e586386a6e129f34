"""Decides at which software version a stream that a caller takes up goes on.

In this order: what this gateway knows of the stream; what the gateways know that keep its origin;
the only version that may have begun it; shortly after a start, the records in the store. A stream
of an unknown version does not go on.

This gateway's own view may be old, and seem fresh if its process stood still. A version is believed
to be the only one only by answers to a question asked after the caller's request came: of other
gateways, which would know the origin of a stream of another version, or of the store.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..endpoints.software_version import UNKNOWN_VERSION
from ..endpoints.version_history import STREAM_LIFETIME_S
from ..membership.stream_sync import OriginAnswer
from .stream_binding import StreamBinding
from .stream_origins import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import ServiceId

    from ..control.stream_records import StreamRecords
    from ..control.version_records import VersionRecords
    from ..endpoints.catalog import EndpointCatalog
    from ..endpoints.software_version import VersionHash
    from ..membership.peer_table import PeerTable
    from ..membership.stream_sync import StreamSync
    from .stream_origins import StreamKey
    from .stream_origins import StreamOrigins

# The store is not asked if it has not answered within this time.
MAX_VIEW_AGE_MS = 4_000.0
NO_ANSWER = OriginAnswer(None, is_representative=False)


class OriginSource(Enum):
    """How the version of a stream became known; the values are labels of a metric."""

    OWN = "own"
    ONLY_VERSION = "only-version"
    PEER = "peer"
    STORE = "store"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Resumption:
    """The version at which a stream goes on, ``UNKNOWN_VERSION`` if it cannot."""

    version: VersionHash
    source: OriginSource


class Resumptions:
    """Finds the origins of streams and records those of new ones.

    ``is_behind`` returns whether another gateway is known to have newer control items.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        catalog: EndpointCatalog,
        records: VersionRecords,
        peers: PeerTable,
        sync: StreamSync,
        stream_records: StreamRecords,
        is_behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self._origins = origins
        self._catalog = catalog
        self._records = records
        self._peers = peers
        self._sync = sync
        self._stream_records = stream_records
        self._is_behind = is_behind
        self._counts: Counter[OriginSource] = Counter()
        self._shared_services: set[ServiceId] = set()
        self._is_recorder = False
        sync.on_origins = self._record

    def counts(self) -> Mapping[OriginSource, int]:
        """Return how often each source gave the version of a stream that was taken up."""
        return dict(self._counts)

    def binding(
        self, service: ServiceId, keys: tuple[StreamKey, ...], version: VersionHash | None
    ) -> StreamBinding:
        """Return a binding that records the stream's origin under ``keys`` when it begins."""

        def note(begun_at: VersionHash) -> None:
            for key in keys:
                origin = StreamOrigin(key, begun_at)
                self._origins.note(origin)
                if self.has_several_versions(service):
                    self._sync.share(origin)

        def complete() -> None:
            for key in keys:
                self._origins.complete(key)
                if self.has_several_versions(service):
                    self._sync.share_complete(key)

        return StreamBinding(version, note, complete)

    def resume(self, service: ServiceId, key: StreamKey | None) -> Resumption:
        """Return where a stream goes on; blocks while other gateways are asked.

        ``key`` is ``None`` if the caller does not say which stream it takes up.
        """
        resumption = self._find(service, key)
        self._counts[resumption.source] += 1
        return resumption

    def has_several_versions(self, service: ServiceId) -> bool:
        """Whether streams of a service may have begun at more than one version."""
        return len(self._possible_versions(service)) > 1

    def tick(self) -> None:
        """Share the streams of services that have got a second version, and record them."""
        several = {
            service for service in self._catalog.services() if self.has_several_versions(service)
        }
        if several - self._shared_services:
            self._sync.share_own()
        self._shared_services = several
        self._is_recorder = bool(several) and self._sync.is_first_keeper
        self._record()

    def _record(self) -> None:
        if self._is_recorder:
            self._stream_records.tick()

    def dump(self) -> dict[str, object]:
        """Return the versions that streams may have begun at, for the state dump."""
        return {
            "known_origins": len(self._origins),
            "versions": {
                service: sorted(self._catalog.listed_versions(service))
                for service in self._catalog.services()
            },
        }

    def _find(self, service: ServiceId, key: StreamKey | None) -> Resumption:
        origin = self._origins.find(key) if key is not None else None
        if origin is not None:
            return Resumption(origin.version, OriginSource.OWN)
        answer = self._sync.find(key) if key is not None else NO_ANSWER
        if answer.origin is not None:
            self._origins.note(answer.origin, is_own=False)
            return Resumption(answer.origin.version, OriginSource.PEER)
        version = self._only_version(service, answer)
        if version is not None:
            return Resumption(version, OriginSource.ONLY_VERSION)
        if key is not None and not self._is_history_complete:
            origin = self._stream_records.find(key)
            if origin is not None:
                self._origins.note(origin, is_own=False)
                return Resumption(origin.version, OriginSource.STORE)
        return Resumption(UNKNOWN_VERSION, OriginSource.UNKNOWN)

    def _only_version(self, service: ServiceId, answer: OriginAnswer) -> VersionHash | None:
        possible = self._possible_versions(service)
        if len(possible) != 1:
            return None
        (version,) = possible
        if not self._is_history_complete and not self._records.is_recorded(version):
            return None
        is_in_step = not self._peers.is_cut_off and not self._is_behind()
        if answer.is_representative and is_in_step:
            return version
        if self._peers.store_age_ms() > MAX_VIEW_AGE_MS:
            return None
        is_only = self._records.confirm_only(service, version)
        return version if is_only and self._possible_versions(service) == possible else None

    def _possible_versions(self, service: ServiceId) -> set[VersionHash]:
        recent = self._catalog.recent_versions(service)
        if self._is_history_complete:
            return recent
        return recent | self._records.recorded(service)

    @property
    def _is_history_complete(self) -> bool:
        return self._catalog.version_history_age_s >= STREAM_LIFETIME_S
