"""The control port of every stand-in, through which tests set faults and read counts."""

from __future__ import annotations

import json
import os
import sys
import threading
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.logs import configure_logs
from primroseferry_transport.router import Router
from primroseferry_transport.serving import HttpServer
from primroseferry_transport.serving import ServerLimits
from werkzeug.wrappers import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_transport.serving import Exchange

HOST = "127.0.0.1"
PARENT_POLL_INTERVAL_S = 0.5


def json_response(data: object, status: int = 200) -> Response:
    """Return a response with ``data`` as its JSON body."""
    return Response(json.dumps(data), status=status, content_type="application/json")


def read_json(exchange: Exchange) -> dict[str, Any]:
    """Return the JSON mapping in the body of a request; an empty body is an empty mapping.

    Raises ``ValueError`` if the body is not a JSON mapping.
    """
    data = json.loads(exchange.read_body() or b"{}")
    if not isinstance(data, dict):
        raise ValueError("expected a JSON mapping")
    return data


def serve_routes(port: int, name: str, router: Router) -> HttpServer:
    """Start a server for ``router`` on the loopback address."""
    server = HttpServer(HOST, port, router.handle, ServerLimits(max_connections=2_048), name)
    server.start()
    return server


def control_routes(
    faults: Callable[[dict[str, Any]], None], state: Callable[[], dict[str, Any]]
) -> Router:
    """Return a router for ``POST /fault``, which calls ``faults``, and ``GET /state``."""
    router = Router()

    def set_fault(exchange: Exchange) -> Response:
        faults(read_json(exchange))
        return json_response({})

    router.add("POST", "/fault", set_fault)
    router.add("GET", "/state", lambda exchange: json_response(state()))
    return router


def run_until_killed(name: str, ports: dict[str, int]) -> None:
    """Print the ports as one JSON line and wait until the parent process has exited."""
    configure_logs("error")
    print(json.dumps({"standin": name, **ports}), flush=True)
    parent = os.getppid()
    idle = threading.Event()
    while os.getppid() == parent:
        idle.wait(PARENT_POLL_INTERVAL_S)
    sys.exit(0)
