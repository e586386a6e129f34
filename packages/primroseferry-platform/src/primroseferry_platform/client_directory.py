"""Client of the platform's client directory, which maps a token to a customer and home region."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.checked_json import JsonObject
from primroseferry_core.checked_json import MalformedJsonError
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import RegionId
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Ok

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

LOOKUP_TIMEOUT_MS = 1_000
CLIENT_TTL_S = 60.0
UNKNOWN_CLIENT_TTL_S = 5.0
MAX_CACHED_CLIENTS = 10_000


@dataclass(frozen=True, slots=True)
class Client:
    """An authenticated caller: its customer and its home region."""

    customer: CustomerId
    home_region: RegionId


@dataclass(frozen=True, slots=True)
class _CachedClient:
    client: Client | None
    expires_s: float


class ClientDirectory:
    """Looks up callers by their bearer token and caches the results.

    While the directory is unreachable, expired cache entries stay in use, so that an isolated
    region continues to serve known callers.
    """

    def __init__(self, loop: CurlLoop, address: str) -> None:
        self._loop = loop
        self._base_url = f"http://{address}/v1/clients/"
        self._cache: BoundedMap[str, _CachedClient] = BoundedMap(MAX_CACHED_CLIENTS)
        self._lock = threading.Lock()

    def authenticate(self, token: str) -> Client:
        """Return the client that ``token`` identifies.

        Raises ``ProblemError`` with kind ``UNAUTHENTICATED`` for an unknown token and
        ``GATEWAY_NOT_READY`` if the directory is unreachable and the token is not cached.
        """
        if not token:
            raise problem_error(
                ErrorKind.UNAUTHENTICATED, "send 'Authorization: Bearer <client token>'"
            )
        now_s = time.monotonic()
        with self._lock:
            cached = self._cache.get(token)
        if cached is None or cached.expires_s < now_s:
            cached = self._refresh(token, cached)
        if cached.client is None:
            raise problem_error(ErrorKind.UNAUTHENTICATED, "the client token is not known")
        return cached.client

    def _refresh(self, token: str, stale: _CachedClient | None) -> _CachedClient:
        call = HttpCall("GET", self._base_url + quote(token, safe=""), timeout_ms=LOOKUP_TIMEOUT_MS)
        match self._loop.call(call):
            case Ok(HttpReply(status=200, body=body)) if (
                client := _parse_client(body)
            ) is not None:
                return self._store(token, _CachedClient(client, time.monotonic() + CLIENT_TTL_S))
            case Ok(HttpReply(status=404)):
                return self._store(
                    token, _CachedClient(None, time.monotonic() + UNKNOWN_CLIENT_TTL_S)
                )
            case _ if stale is not None:
                log_event(Event.CLIENT_DIRECTORY_STALE)
                retry_s = time.monotonic() + UNKNOWN_CLIENT_TTL_S
                return self._store(token, _CachedClient(stale.client, retry_s))
            case _:
                raise problem_error(
                    ErrorKind.GATEWAY_NOT_READY, "the client directory is unreachable; try again"
                )

    def _store(self, token: str, cached: _CachedClient) -> _CachedClient:
        with self._lock:
            self._cache.put(token, cached)
        return cached


def _parse_client(body: bytes) -> Client | None:
    """Return the client that an answer names, ``None`` for an answer that is not usable."""
    try:
        row = JsonObject.parse(body)
        return Client(CustomerId(row.text("customer")), RegionId(row.text("region")))
    except MalformedJsonError as error:
        log_event(Event.PLATFORM_ANSWER_MALFORMED, source="client directory", reason=str(error))
        return None
