"""Client of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import urlencode

from primroseferry_core.checked_json import JsonObject
from primroseferry_core.checked_json import MalformedJsonError
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import FailureStage
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok
from result import Result

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

READ_TIMEOUT_MS = 2_000
WRITE_TIMEOUT_MS = 3_000
WATCH_TIMEOUT_MARGIN_MS = 2_000
MAX_REVISION_DIGITS = 19


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value and the revision of its most recent write."""

    value: bytes
    revision: int


class WriteFailure(Enum):
    """Why a write failed. Only after ``UNKNOWN`` may it have taken effect."""

    CONFLICT = "conflict"
    NOT_WRITTEN = "not-written"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The service did not answer or its answer is not usable."""

    reason: str


class KeyValueClient:
    """Reads, compare-and-swap writes and watches. An outage is returned, not raised."""

    def __init__(
        self,
        loop: CurlLoop,
        address: str,
        read_timeout_ms: int = READ_TIMEOUT_MS,
        write_timeout_ms: int = WRITE_TIMEOUT_MS,
    ) -> None:
        self._loop = loop
        self._base_url = f"http://{address}"
        self._read_timeout_ms = read_timeout_ms
        self._write_timeout_ms = write_timeout_ms

    def get(self, key: str) -> Result[Entry | None, Unreachable]:
        """Return the entry of ``key``, or ``None`` if there is none."""
        call = HttpCall("GET", self._key_url("kv", key), timeout_ms=self._read_timeout_ms)
        return _parse_entry(
            self._loop.call(call).map_err(lambda failure: Unreachable(failure.reason))
        )

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[Entry | None, Unreachable]:
        """Wait up to ``wait_ms`` for a revision above ``after_revision``; ``None`` without one."""
        url = f"{self._key_url('watch', key)}?after={after_revision}&wait_ms={wait_ms}"
        call = HttpCall("GET", url, timeout_ms=wait_ms + WATCH_TIMEOUT_MARGIN_MS)
        return _parse_entry(
            self._loop.call(call).map_err(lambda failure: Unreachable(failure.reason))
        )

    def put(
        self, key: str, value: bytes, expected_revision: int | None, lease: str = ""
    ) -> Result[int, WriteFailure]:
        """Write if the key's revision is ``expected_revision`` (0: absent); return the new one.

        ``None`` writes unconditionally. With a ``lease``, the entry is removed when it ends.
        """
        return self._write("PUT", key, expected_revision, value, lease)

    def grant_lease(self, ttl_ms: int) -> Result[str, Unreachable]:
        """Create a lease that expires after ``ttl_ms`` unless it is renewed; return its id."""
        url = f"{self._base_url}/v1/leases?ttl_ms={ttl_ms}"
        call = HttpCall("POST", url, body=b"", timeout_ms=self._write_timeout_ms)
        match self._loop.call(call):
            case Ok(HttpReply(status=200, body=body)):
                return _parse_lease(body)
            case Ok(reply):
                return Err(Unreachable(f"status {reply.status}"))
            case Err(failure):
                return Err(Unreachable(failure.reason))
            case _:
                raise AssertionError("a result is an answer or a failure")

    def delete(self, key: str, expected_revision: int | None) -> Result[int, WriteFailure]:
        """Delete under the same condition as :meth:`put`."""
        return self._write("DELETE", key, expected_revision, None)

    def _write(
        self,
        method: str,
        key: str,
        expected_revision: int | None,
        value: bytes | None,
        lease: str = "",
    ) -> Result[int, WriteFailure]:
        conditions = {}
        if expected_revision is not None:
            conditions["expected_revision"] = str(expected_revision)
        if lease:
            conditions["lease"] = lease
        url = f"{self._key_url('kv', key)}?{urlencode(conditions)}"
        call = HttpCall(
            method, url, body=value, timeout_ms=self._write_timeout_ms, is_repeatable=False
        )
        match self._loop.call(call):
            case Ok(HttpReply(status=200, body=body)):
                return _parse_revision(body)
            case Ok(HttpReply(status=409)):
                return Err(WriteFailure.CONFLICT)
            case Ok(reply) if 400 <= reply.status < 500:
                return Err(WriteFailure.NOT_WRITTEN)
            case Err(failure) if failure.stage is FailureStage.NOT_SENT:
                return Err(WriteFailure.NOT_WRITTEN)
            case _:
                return Err(WriteFailure.UNKNOWN)

    def _key_url(self, kind: str, key: str) -> str:
        return f"{self._base_url}/v1/{kind}/{quote(key, safe='/')}"


def _malformed(reason: str) -> Unreachable:
    log_event(Event.PLATFORM_ANSWER_MALFORMED, source="key-value service", reason=reason)
    return Unreachable(f"malformed answer: {reason}")


def _parse_lease(body: bytes) -> Result[str, Unreachable]:
    try:
        lease = JsonObject.parse(body).text("lease")
    except MalformedJsonError as error:
        return Err(_malformed(str(error)))
    return Ok(lease) if lease else Err(_malformed("the lease has no id"))


def _parse_revision(body: bytes) -> Result[int, WriteFailure]:
    try:
        return Ok(JsonObject.parse(body).integer("revision"))
    except MalformedJsonError as error:
        _malformed(str(error))
        return Err(WriteFailure.UNKNOWN)


def _parse_entry(answer: Result[HttpReply, Unreachable]) -> Result[Entry | None, Unreachable]:
    match answer:
        case Ok(HttpReply(status=200, headers=headers, body=body)):
            revision = headers.get("x-revision", "")
            if not revision.isdecimal() or len(revision) > MAX_REVISION_DIGITS:
                return Err(_malformed("expected a revision in the headers"))
            return Ok(Entry(body, int(revision)))
        case Ok(HttpReply(status=204) | HttpReply(status=404)):
            return Ok(None)
        case Ok(reply):
            return Err(Unreachable(f"status {reply.status}"))
        case Err(unreachable):
            return Err(unreachable)
