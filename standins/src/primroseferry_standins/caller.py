"""An HTTP client that checks whether a streamed answer is complete."""

from __future__ import annotations

import http.client
import json
import zlib
from dataclasses import dataclass
from dataclasses import field
from typing import Any

DEFAULT_TIMEOUT_S = 30.0


class CallFailedError(Exception):
    """The call got no answer because the connection failed or was lost."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer with lower-case header names."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as a JSON value."""
        return json.loads(self.body)

    @property
    def request_id(self) -> str:
        """The id that the gateway assigned to the request, or an empty string."""
        return self.headers.get("x-request-id", "")

    @property
    def ran(self) -> str:
        """Whether a problem answer reports that the work ran: ``no``, ``yes`` or ``unknown``."""
        return str(self.json().get("ran", ""))


@dataclass(slots=True)
class StreamedAnswer:
    """The parsed events of a streamed answer.

    ``crc32`` covers the token events. ``end`` and ``error`` are the contents of the end event and
    the error event, or ``None`` if the stream has none.
    """

    words: list[str] = field(default_factory=list)
    ids: list[int] = field(default_factory=list)
    crc32: int = 0
    end: dict[str, Any] | None = None
    error: dict[str, Any] | None = None

    def is_complete(self) -> bool:
        """Whether the end event arrived and the count, checksum and order of the events match."""
        return (
            self.end is not None
            and self.error is None
            and self.end["events"] == len(self.ids)
            and self.end["crc32"] == f"{self.crc32:08x}"
            and self.ids == list(range(1, len(self.ids) + 1))
        )


def request(
    address: str,
    method: str,
    path: str,
    data: object | None = None,
    token: str = "",
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **headers: str,
) -> Answer:
    """Send one request. Underscores in the names of ``headers`` become hyphens.

    Raises ``CallFailedError`` if the connection fails.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        body = None if data is None else json.dumps(data)
        connection.request(method, path, body, _headers(token, headers))
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallFailedError(f"{method} {address}{path}: {error!r}") from error
    finally:
        connection.close()
    names = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, names, content)


def chat(
    address: str,
    token: str,
    model: str,
    prompt: str,
    max_tokens: int,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **headers: str,
) -> Answer | StreamedAnswer:
    """Request a streamed answer. Return an ``Answer`` if the status is not 200.

    Raises ``CallFailedError`` if the connection fails.
    """
    data = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    answer = request(
        address, "POST", "/v1/chat/completions", data, token, timeout_s=timeout_s, **headers
    )
    if answer.status != 200:
        return answer
    return parse_stream(answer.body)


def parse_stream(body: bytes) -> StreamedAnswer:
    """Parse the server-sent events of a streamed answer."""
    answer = StreamedAnswer()
    for event in body.split(b"\n\n"):
        data = _field(event, b"data: ")
        if data is None or data == b"[DONE]":
            continue
        value = json.loads(data)
        number = _field(event, b"id: ")
        if number is not None:
            answer.ids.append(int(number))
            answer.words.append(value["choices"][0]["delta"]["content"])
            answer.crc32 = zlib.crc32(event + b"\n\n", answer.crc32)
        elif "primroseferry" in value:
            answer.end = value["primroseferry"]
        elif "error" in value:
            answer.error = value["error"]
    return answer


def _field(event: bytes, prefix: bytes) -> bytes | None:
    for line in event.split(b"\n"):
        if line.startswith(prefix):
            return line[len(prefix) :]
    return None


def _headers(token: str, extra: dict[str, str]) -> dict[str, str]:
    headers = {name.replace("_", "-"): value for name, value in extra.items()}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    return headers
