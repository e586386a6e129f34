"""Client of the platform's client directory: who a caller is and where its home is."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import RegionId
from primroseferry_core.logs import log_event
from primroseferry_core.recent_map import RecentMap
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Ok

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

LOOKUP_TIMEOUT_MS = 1_000
FRESH_S = 60.0
UNKNOWN_FRESH_S = 5.0
MAX_CACHED_CLIENTS = 10_000


@dataclass(frozen=True, slots=True)
class Client:
    """A known caller: the customer it belongs to and its home region."""

    customer: CustomerId
    home_region: RegionId


@dataclass(frozen=True, slots=True)
class _Cached:
    client: Client | None
    until_s: float


class ClientDirectory:
    """Looks callers up by their bearer token and remembers them.

    While the directory is unreachable a caller that was known before stays known, so that an
    isolated region goes on serving.
    """

    def __init__(self, loop: CurlLoop, address: str) -> None:
        self._loop = loop
        self._base_url = f"http://{address}/v1/clients/"
        self._cache: RecentMap[str, _Cached] = RecentMap(MAX_CACHED_CLIENTS)
        self._lock = threading.Lock()

    def authenticate(self, token: str) -> Client:
        """Return the client of ``token``. Raises ``UNAUTHENTICATED`` or ``GATEWAY_NOT_READY``."""
        if not token:
            raise problem_error(
                ErrorKind.UNAUTHENTICATED, "send 'Authorization: Bearer <client token>'"
            )
        now_s = time.monotonic()
        with self._lock:
            cached = self._cache.get(token)
        if cached is None or cached.until_s < now_s:
            cached = self._refresh(token, cached)
        if cached.client is None:
            raise problem_error(ErrorKind.UNAUTHENTICATED, "the client token is not known")
        return cached.client

    def _refresh(self, token: str, stale: _Cached | None) -> _Cached:
        call = HttpCall("GET", self._base_url + quote(token, safe=""), timeout_ms=LOOKUP_TIMEOUT_MS)
        match self._loop.call(call):
            case Ok(HttpReply(status=200, body=body)):
                row = json.loads(body)
                client = Client(CustomerId(row["customer"]), RegionId(row["region"]))
                return self._remember(token, _Cached(client, time.monotonic() + FRESH_S))
            case Ok(HttpReply(status=404)):
                return self._remember(token, _Cached(None, time.monotonic() + UNKNOWN_FRESH_S))
            case _ if stale is not None:
                log_event(Event.CLIENT_DIRECTORY_STALE)
                again_s = time.monotonic() + UNKNOWN_FRESH_S
                return self._remember(token, _Cached(stale.client, again_s))
            case _:
                raise problem_error(
                    ErrorKind.GATEWAY_NOT_READY, "the client directory is unreachable; try again"
                )

    def _remember(self, token: str, cached: _Cached) -> _Cached:
        with self._lock:
            self._cache.put(token, cached)
        return cached
