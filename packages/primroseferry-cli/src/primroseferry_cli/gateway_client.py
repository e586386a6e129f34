"""Fetches the state of a running gateway."""

from __future__ import annotations

import json
from typing import Any

from primroseferry_core.errors import PrimroseferryError
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from primroseferry_transport.curl_loop import CurlLoop
from result import Err
from result import Ok

STATE_TIMEOUT_MS = 5_000


class GatewayError(PrimroseferryError):
    """The gateway did not answer, or answered with a problem."""


def fetch_state(address: str, path: str) -> Any:
    """Return the JSON value at ``path`` of the gateway at ``address`` (``ip:port``).

    Raises :class:`GatewayError`.
    """
    loop = CurlLoop("cli")
    try:
        answer = loop.call(HttpCall("GET", f"http://{address}{path}", timeout_ms=STATE_TIMEOUT_MS))
    finally:
        loop.close()
    match answer:
        case Ok(HttpReply(status=status, body=body)):
            value = _parse(address, body)
            if status == 200:
                return value
            detail = value.get("detail") if isinstance(value, dict) else None
            raise GatewayError(f"gateway {address}: {detail or f'status {status}'}")
        case Err(failure):
            raise GatewayError(f"gateway {address} cannot be reached: {failure.reason}")
        case _:
            raise AssertionError("a result is an answer or a failure")


def _parse(address: str, body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        raise GatewayError(
            f"{address} does not answer like a gateway; is the port right?"
        ) from None
