"""Keeps the origins of streams in the platform's store, so that they outlive all gateways.

While a service has several software versions, the first keeper of each region writes the streams
that may be taken up, four bytes each, under a key of its own. The records are no control items: no
gateway watches them. One that has just started reads them when a caller takes up a stream that no
gateway knows.
"""

from __future__ import annotations

import base64
import json
import struct
import threading
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from result import Err
from result import Ok

from ..endpoints.software_version import VersionHash
from ..endpoints.software_version import agreed_version
from ..streams.stream_origins import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import IncarnationId

    from ..streams.stream_origins import StreamKey
    from ..streams.stream_origins import StreamOrigins
    from .metadata_store import LeaseId
    from .metadata_store import MetadataStore
    from .metadata_store import StoreFailure

STREAM_PREFIX = "streams/"
# A stream that breaks off is taken up while the record of its gateways' last second is there.
LEASE_MS = 60_000
NEW_LEASE_S = 20.0
MIN_INTERVAL_S = 0.1
# Longer records are written less often; the writer is one gateway of a region.
MAX_BYTES_PER_S = 16_000.0
MAX_STREAMS = 4_096
# Records of keepers that live go on changing while a gateway reads them.
READ_AGAIN_S = 2.0
_KEY = struct.Struct("<I")


class StreamRecords:
    """Writes the region's record if this gateway is to, and reads those of all regions."""

    def __init__(
        self,
        store: MetadataStore,
        origins: StreamOrigins,
        incarnation: IncarnationId,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._origins = origins
        self._key = f"{STREAM_PREFIX}{incarnation}"
        self._clock_s = clock_s
        self._lease: LeaseId | None = None
        self._leased_s = 0.0
        self._written = _encode([])
        self._next_write_s = float("-inf")
        self._read_s = float("-inf")
        self._found: Mapping[int, VersionHash] = {}
        self._write_lock = threading.Lock()
        self._read_lock = threading.Lock()

    def tick(self) -> None:
        """Start to write the record if it is due and has changed; never blocks."""
        now_s = self._clock_s()
        if now_s < self._next_write_s or not self._write_lock.acquire(blocking=False):
            return
        value = _encode(self._origins.incomplete()[-MAX_STREAMS:])
        interval_s = max(MIN_INTERVAL_S, len(value) / MAX_BYTES_PER_S)
        self._next_write_s = now_s + interval_s
        if value == self._written:
            self._write_lock.release()
            return
        threading.Thread(target=self._write, args=(value,), daemon=True).start()

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream by the records; blocks while they are read."""
        with self._read_lock:
            now_s = self._clock_s()
            if now_s - self._read_s >= READ_AGAIN_S:
                self._read_s = now_s
                self._read()
        version = self._found.get(_short(key))
        return None if version is None else StreamOrigin(key, version)

    def _write(self, value: bytes) -> None:
        try:
            failure = self._put(value)
            if failure is None:
                self._written = value
                return
            self._lease = None
            log_event(Event.STREAMS_NOT_RECORDED, reason=failure.value)
        except Exception as error:
            log_event(Event.BACKGROUND_TASK_FAILED, task="stream records", error=repr(error)[:300])
        finally:
            self._write_lock.release()

    def _put(self, value: bytes) -> StoreFailure | None:
        lease = self._lease
        if lease is None or self._clock_s() - self._leased_s >= NEW_LEASE_S:
            granted = self._store.grant_lease(LEASE_MS)
            if isinstance(granted, Err):
                return granted.err_value
            lease = self._lease = granted.ok_value
            self._leased_s = self._clock_s()
        return self._store.put(self._key, value, lease).err()

    def _read(self) -> None:
        match self._store.list_items(STREAM_PREFIX):
            case Ok(listing):
                found: dict[int, VersionHash] = {}
                for item in listing.items:
                    for short, version in _decode(item.value or b"").items():
                        found[short] = agreed_version(found.get(short), version)
                self._found = found
                log_event(Event.STREAM_RECORDS_READ, records=len(listing.items), streams=len(found))
            case Err(failure):
                log_event(Event.STREAM_RECORDS_NOT_READ, reason=failure.value)


def is_stream_record(key: str) -> bool:
    """Whether a key of the store is a record of streams, which is no control item."""
    return key.startswith(STREAM_PREFIX)


def _short(key: StreamKey) -> int:
    return key & 0xFFFFFFFF


def _encode(origins: list[StreamOrigin]) -> bytes:
    by_version: defaultdict[VersionHash, bytearray] = defaultdict(bytearray)
    for origin in origins:
        by_version[origin.version] += _KEY.pack(_short(origin.key))
    data = {
        f"{version:016x}": base64.b64encode(keys).decode() for version, keys in by_version.items()
    }
    return json.dumps(data, separators=(",", ":")).encode()


def _decode(value: bytes) -> dict[int, VersionHash]:
    """Return the versions of a record's streams; an odd record has none."""
    found: dict[int, VersionHash] = {}
    try:
        for version_text, keys_text in json.loads(value).items():
            version = VersionHash(int(version_text, 16))
            for (short,) in _KEY.iter_unpack(base64.b64decode(keys_text)):
                found[short] = agreed_version(found.get(short), version)
    except (ValueError, TypeError, AttributeError, struct.error) as error:
        log_event(Event.CONTROL_ITEM_IGNORED, key=STREAM_PREFIX, reason=repr(error)[:200])
        return {}
    return found
