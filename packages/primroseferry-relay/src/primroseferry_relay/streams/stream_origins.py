"""The versions at which streams began, as far as this gateway knows."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NewType

import xxhash
from primroseferry_core.bounded_map import BoundedMap

from ..endpoints.software_version import agreed_version
from ..endpoints.version_history import STREAM_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..endpoints.software_version import VersionHash
    from ..messages import RelayRequest

StreamKey = NewType("StreamKey", int)

# A gateway begins some tens of streams a second and keeps those of three others.
MAX_STREAMS = 50_000
_CREDENTIAL_HEADER = "authorization"


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """A stream and the version at which it began, ``UNKNOWN_VERSION`` if it is disputed."""

    key: StreamKey
    version: VersionHash


@dataclass(frozen=True, slots=True)
class _Known:
    version: VersionHash
    noted_s: float
    is_own: bool
    is_complete: bool = False


class StreamOrigins:
    """Origins of streams for ``STREAM_LIFETIME_S`` after they were last noted."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._known: BoundedMap[StreamKey, _Known] = BoundedMap(MAX_STREAMS)
        self._lock = threading.Lock()

    def note(self, origin: StreamOrigin, is_own: bool = True) -> None:
        """Record where a stream began; ``is_own`` if this gateway passed on its events.

        A second, different version makes the origin unknown: callers may use an id twice. A report
        of a stream that is complete may come again.
        """
        with self._lock:
            known = self._find(origin.key)
            version = agreed_version(known.version if known is not None else None, origin.version)
            is_complete = known is not None and known.is_complete and not is_own
            is_own = is_own or (known is not None and known.is_own)
            self._known.put(origin.key, _Known(version, self._clock_s(), is_own, is_complete))

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return the origin of a stream, ``None`` if this gateway never heard of it."""
        with self._lock:
            known = self._find(key)
        return None if known is None else StreamOrigin(key, known.version)

    def own(self) -> list[StreamOrigin]:
        """Return the origins of this gateway's own streams."""
        oldest_s = self._clock_s() - STREAM_LIFETIME_S
        with self._lock:
            return [
                StreamOrigin(key, known.version)
                for key, known in self._known.items()
                if known.is_own and known.noted_s >= oldest_s
            ]

    def complete(self, key: StreamKey) -> None:
        """Record that a stream was passed on to its end, so that nobody will take it up."""
        with self._lock:
            known = self._known.get(key)
            if known is not None:
                self._known[key] = replace(known, is_complete=True)

    def incomplete(self) -> list[StreamOrigin]:
        """Return the origins of all streams that may be taken up, the newest last."""
        oldest_s = self._clock_s() - STREAM_LIFETIME_S
        with self._lock:
            return [
                StreamOrigin(key, known.version)
                for key, known in self._known.items()
                if not known.is_complete and known.noted_s >= oldest_s
            ]

    def __len__(self) -> int:
        return len(self._known)

    def _find(self, key: StreamKey) -> _Known | None:
        known = self._known.get(key)
        if known is None or self._clock_s() - known.noted_s > STREAM_LIFETIME_S:
            return None
        return known


def stream_key(request: RelayRequest, request_id: str) -> StreamKey:
    """Return a 64-bit hash of the request that began a stream.

    A caller that takes the stream up names the same id and sends the same host, target and
    credentials, or any key of the same workspace.
    """
    credentials = request.workspace or "".join(
        header.value for header in request.headers if header.name.lower() == _CREDENTIAL_HEADER
    )
    text = "\0".join((request_id, request.host, request.target, credentials))
    return StreamKey(xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass")))
