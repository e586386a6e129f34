"""Requests and answers as they pass through the relay."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from primroseferry_transport.calls import Header

if TYPE_CHECKING:
    from primroseferry_core.errors import Problem

# Headers that concern one connection only, RFC 9110 section 7.6.1, and those of the framing.
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
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """One request as its caller sent it, whole.

    ``target`` is the path and query exactly as they came; ``received_s`` is the monotonic time at
    which the head was read; ``caller`` the address that it came from, without the port.
    """

    method: str
    target: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    received_s: float
    caller: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and headers of an answer; the framing is added by whoever writes it."""

    status: int
    reason: str
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer with its whole body."""

    head: AnswerHead
    body: bytes


def end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are passed on: those of one connection are left out."""
    return tuple(header for header in headers if header.name.lower() not in CONNECTION_HEADERS)


def status_reason(status: int) -> str:
    """Return the usual reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def problem_answer(problem: Problem, retry_after_s: float | None = None) -> WholeAnswer:
    """Return the ``application/problem+json`` answer to a problem.

    ``retry_after_s`` may have fractions and goes before the default of the problem's kind.
    """
    row = problem.answer
    wait_s = problem.come_back_after_s if retry_after_s is None else retry_after_s
    data: dict[str, str | int | float] = {
        "type": f"urn:primroseferry:problem:{problem.kind.value}",
        "title": row.title,
        "status": row.status,
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
    return WholeAnswer(AnswerHead(row.status, status_reason(row.status), tuple(headers)), body)


def json_answer(status: int, data: object) -> WholeAnswer:
    """Return an ``application/json`` answer."""
    headers = (Header("Content-Type", "application/json"),)
    body = json.dumps(data, separators=(",", ":")).encode()
    return WholeAnswer(AnswerHead(status, status_reason(status), headers), body)


def head_bytes(head: AnswerHead, framing: tuple[Header, ...]) -> bytes:
    """Return the head as it goes on the wire, with the headers of its framing at the end."""
    lines = [f"HTTP/1.1 {head.status} {head.reason}"]
    lines += [f"{header.name}: {header.value}" for header in (*head.headers, *framing)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
