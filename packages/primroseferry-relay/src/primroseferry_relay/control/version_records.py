"""Keeps in the platform's store which software versions serve, so that it outlives all gateways.

A gateway that starts after all others have ended sees only the versions that are listed then. The
record of a version that has left stays for its lease, longer than any stream of it. A record is
written when a version appears, and again before it is too old.
"""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.ids import ServiceId
from primroseferry_core.logs import log_event
from result import Err
from result import Ok

from ..endpoints.software_version import VersionHash
from ..endpoints.software_version import version_hash
from ..endpoints.version_history import STREAM_LIFETIME_S
from .leased_record import put_leased
from .record_writer import RecordWriter

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from ..endpoints.catalog import EndpointCatalog
    from ..membership.peer_table import PeerTable
    from ..routes.route_table import RouteTable
    from .metadata_store import MetadataStore
    from .metadata_store import StoredItem

VERSION_PREFIX = "versions/"
REWRITE_S = 150.0
# A version is recorded and listed longer before it begins streams beside another one.
READ_AGAIN_S = 0.25
# A version that has just left was recorded at most ``REWRITE_S`` ago.
LEASE_MS = round((REWRITE_S + STREAM_LIFETIME_S + 30.0) * 1000)


@dataclass(frozen=True, slots=True)
class _Record:
    service: ServiceId
    written_s: float


@dataclass(frozen=True, slots=True)
class _ListedVersion:
    version: VersionHash
    service: ServiceId


class VersionRecords:
    """Writes this gateway's share of the records and knows those of all gateways.

    ``current_table`` returns the route table: only versions of services with resumable streams are
    recorded. ``written_s`` in a record is a Unix time.
    """

    def __init__(
        self,
        store: MetadataStore,
        catalog: EndpointCatalog,
        peers: PeerTable,
        current_table: Callable[[], RouteTable | None],
        clock_s: Callable[[], float] = time.monotonic,
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._current_table = current_table
        self._wall_clock_s = wall_clock_s
        self._records: dict[VersionHash, _Record] = {}
        self._writer = RecordWriter(
            "version records", peers, self._unrecorded, self._write, clock_s
        )
        self._lock = threading.Lock()
        self._clock_s = clock_s
        self._read_s = float("-inf")
        self._listed: Mapping[VersionHash, _Record] | None = None
        self._read_lock = threading.Lock()

    def apply(self, item: StoredItem) -> None:
        """Apply a record that any gateway wrote, or the expiry of one."""
        try:
            version = _version(item.key)
            record = None if item.value is None else _decode(item.value)
        except (ValueError, KeyError, TypeError) as error:
            log_event(Event.CONTROL_ITEM_IGNORED, key=item.key, reason=repr(error)[:200])
            return
        with self._lock:
            if record is None:
                self._records.pop(version, None)
            else:
                self._records[version] = record

    def apply_listing(self, keys: Collection[str]) -> None:
        """Forget the records that a complete listing of the store lacks."""
        with self._lock:
            self._records = {
                version: record
                for version, record in self._records.items()
                if _key(version) in keys
            }

    def is_recorded(self, version: VersionHash) -> bool:
        """Whether the store holds a record of a version."""
        return version in self._records

    def recorded(self, service: ServiceId) -> set[VersionHash]:
        """Return the versions of a service that the store holds records of."""
        with self._lock:
            return {
                version for version, record in self._records.items() if record.service == service
            }

    def confirm_only(self, service: ServiceId, version: VersionHash) -> bool:
        """Whether the store lists a record of this version, and no news of others of its service.

        Asks the store, whatever this gateway was told before; blocks meanwhile.
        """
        listed = self._read(self._clock_s())
        if listed is None or version not in listed:
            return False
        with self._lock:
            known = dict(self._records)
        return all(
            record.service != service or other == version or known.get(other) == record
            for other, record in listed.items()
        )

    def tick(self) -> None:
        """Start to write a record if this gateway is to write one; never blocks."""
        self._writer.tick()

    def _unrecorded(self) -> Mapping[str, _ListedVersion]:
        table = self._current_table()
        oldest_s = self._wall_clock_s() - REWRITE_S
        listed = [
            _ListedVersion(version_hash(service, version), service)
            for service in (table.resumable_services if table is not None else ())
            for version in self._catalog.listed_versions(service)
        ]
        with self._lock:
            return {
                _key(entry.version): entry
                for entry in listed
                if entry.version not in self._records
                or self._records[entry.version].written_s < oldest_s
            }

    def _read(self, asked_s: float) -> Mapping[VersionHash, _Record] | None:
        """Return the records by a listing no older than ``READ_AGAIN_S`` at ``asked_s``."""
        with self._read_lock:
            if self._read_s < asked_s - READ_AGAIN_S:
                self._read_s = self._clock_s()
                self._listed = self._list()
            return self._listed

    def _list(self) -> Mapping[VersionHash, _Record] | None:
        match self._store.list_items(VERSION_PREFIX):
            case Ok(listing):
                try:
                    return {
                        _version(item.key): _decode(item.value)
                        for item in listing.items
                        if item.value is not None
                    }
                except (ValueError, KeyError, TypeError) as error:
                    reason = f"odd record: {error!r}"[:200]
            case Err(failure):
                reason = failure.value
        log_event(Event.VERSIONS_NOT_READ, reason=reason)
        return None

    def _write(self, listed: _ListedVersion) -> bool:
        written_s = round(self._wall_clock_s(), 1)
        value = json.dumps({"service": listed.service, "written_s": written_s}).encode()
        failure = put_leased(self._store, _key(listed.version), value, LEASE_MS)
        if failure is not None:
            log_event(
                Event.VERSION_NOT_RECORDED,
                service=listed.service,
                version=f"{listed.version:016x}",
                reason=failure.value,
            )
            return False
        with self._lock:
            self._records[listed.version] = _Record(listed.service, written_s)
        return True


def _key(version: VersionHash) -> str:
    return f"{VERSION_PREFIX}{version:016x}"


def _version(key: str) -> VersionHash:
    return VersionHash(int(key.removeprefix(VERSION_PREFIX), 16))


def _decode(value: bytes) -> _Record:
    data = json.loads(value)
    return _Record(ServiceId(str(data["service"])), float(data["written_s"]))
