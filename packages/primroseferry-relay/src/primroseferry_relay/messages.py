"""HTTP requests and answers in the relay, and the headers that it forwards."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from primroseferry_transport.calls import Header

if TYPE_CHECKING:
    from primroseferry_core.errors import Problem
    from primroseferry_core.ids import WorkspaceId

# Hop-by-hop headers, RFC 9110 section 7.6.1, and headers of the message framing.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A complete request as its caller sent it.

    ``target`` is the path and query, byte for byte. ``received_s`` is the monotonic time at which
    the head was read. ``caller`` tells callers apart: the address without the port, or a workspace
    and a hash of the API key. ``workspace`` is ``None`` if the request belongs to none; the headers
    of a request that belongs to one hold no credentials.
    """

    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    received_s: float
    caller: str = ""
    workspace: WorkspaceId | None = None

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer, without those of the framing."""

    status: int
    reason: str
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An answer with its complete body."""

    head: AnswerHead
    body: bytes


def end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers to forward, without those in ``CONNECTION_HEADERS``."""
    return tuple(header for header in headers if header.name.lower() not in CONNECTION_HEADERS)


def status_reason(status: int) -> str:
    """Return the standard reason phrase of a status, ``Unknown`` if it has none."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def problem_answer(problem: Problem, retry_after_s: float | None = None) -> CompleteAnswer:
    """Return the ``application/problem+json`` answer for a problem.

    ``retry_after_s`` may have fractions and overrides the default of the problem's kind.
    """
    template = problem.answer
    wait_s = problem.effective_retry_after_s if retry_after_s is None else retry_after_s
    data: dict[str, str | int | float] = {
        "type": f"urn:primroseferry:problem:{problem.kind.value}",
        "title": template.title,
        "status": template.status,
        "detail": problem.detail,
        "ran": problem.ran.value,
    }
    headers = [
        Header("Content-Type", "application/problem+json"),
        Header("Cache-Control", "no-store"),
    ]
    if wait_s is not None:
        data["retry_after_s"] = round(wait_s, 3)
        headers.append(Header("Retry-After", f"{wait_s:.3f}".rstrip("0").rstrip(".")))
    body = (json.dumps(data) + "\n").encode()
    return CompleteAnswer(
        AnswerHead(template.status, status_reason(template.status), tuple(headers)), body
    )


def json_answer(status: int, data: object) -> CompleteAnswer:
    """Return an ``application/json`` answer with ``data`` as its body."""
    headers = (Header("Content-Type", "application/json"),)
    body = json.dumps(data, separators=(",", ":")).encode()
    return CompleteAnswer(AnswerHead(status, status_reason(status), headers), body)


def head_bytes(head: AnswerHead, framing: tuple[Header, ...]) -> bytes:
    """Encode the head for the wire, with the framing headers last."""
    lines = [f"HTTP/1.1 {head.status} {head.reason}"]
    lines += [f"{header.name}: {header.value}" for header in (*head.headers, *framing)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
