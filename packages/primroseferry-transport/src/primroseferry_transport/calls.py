"""Data types of outgoing HTTP calls: the call, its reply and its failure."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_CONNECT_TIMEOUT_MS = 1_000
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_MAX_BODY_BYTES = 16 * 1024 * 1024
# Statuses of replies that never have a body.
BODILESS_STATUSES = frozenset({204, 304})


class FailureStage(Enum):
    """How far a failed call got. Only ``NOT_SENT`` proves that the server received nothing.

    ``NO_MEMORY`` is a call that was stopped because the process buffers too much.
    ``INVALID_ANSWER`` is an answer that is not valid HTTP: the server runs, and it may have
    processed the request.
    """

    NOT_SENT = "not-sent"
    CONNECTION_LOST = "connection-lost"
    TIMED_OUT = "timed-out"
    STOPPED_BY_CALLER = "stopped-by-caller"
    NO_MEMORY = "no-memory"
    INVALID_ANSWER = "invalid-answer"


@dataclass(frozen=True, slots=True)
class Header:
    """One header line of a request or a reply."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP call.

    ``first_byte_timeout_ms`` bounds the wait for the first byte of the body, ``idle_timeout_ms``
    each gap after it, ``timeout_ms`` the whole call. ``on_chunk`` receives the body of a 2xx reply
    in chunks on the loop's thread and returns ``False`` to stop the call; without it the body is
    collected, up to ``max_body_bytes``. ``held_bytes`` returns how many bytes the receiver of the
    chunks keeps. All calls of a loop together may keep a limited number of bytes; beyond it the
    call that keeps most is stopped.

    ``is_repeatable=False`` uses a new connection for the call. On a reused connection that closes
    before the reply, libcurl silently sends the request again, which must never happen to an
    at-most-once operation.

    ``target`` replaces the URL's path and query and is sent byte for byte. ``on_head`` receives the
    status and headers of the final reply before its body and returns ``False`` to stop the call.
    ``omits_default_headers`` keeps libcurl from adding its default headers. ``is_answer_kept``
    counts a complete answer among the buffered bytes until ``PendingCall.release``.
    """

    method: str
    url: str
    headers: tuple[Header, ...] = ()
    body: bytes | None = None
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    first_byte_timeout_ms: int | None = None
    idle_timeout_ms: int | None = None
    on_chunk: Callable[[bytes], bool] | None = None
    held_bytes: Callable[[], int] | None = None
    is_repeatable: bool = True
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    target: str | None = None
    on_head: Callable[[HttpReply], bool] | None = None
    omits_default_headers: bool = False
    is_answer_kept: bool = False


@dataclass(frozen=True, slots=True)
class HttpReply:
    """The reply to a call. ``body`` is empty where ``on_chunk`` received it.

    ``header_lines`` are all headers in their original order and case. ``headers`` maps each name in
    lower case to its last value. ``reason`` is the reason phrase of the status line.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    header_lines: tuple[Header, ...] = ()
    reason: str = ""

    @property
    def is_framed(self) -> bool:
        """Whether a length or chunks tell the end of the body from a broken connection."""
        is_chunked = "chunked" in self.headers.get("transfer-encoding", "").lower()
        return is_chunked or "content-length" in self.headers or self.status in BODILESS_STATUSES

    @property
    def content_type(self) -> str:
        """The reply's content type in lower case, or an empty string."""
        return self.headers.get("content-type", "").lower()


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call without a reply: how far it got, and the reason given by libcurl or the loop."""

    stage: FailureStage
    reason: str
