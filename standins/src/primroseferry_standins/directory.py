"""A stand-in for the platform's instance list and client directory.

The instance list lags by a configurable time. Each region sees the addresses that are reachable
from it, as on a platform with links between its regions.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_transport.router import Router

from .control import control_routes
from .control import json_response
from .control import run_until_killed
from .control import serve_routes

if TYPE_CHECKING:
    from primroseferry_transport.serving import Exchange
    from werkzeug.wrappers import Response


class Directory:
    """The clients, and the instances from the control port, which are published after the lag."""

    def __init__(self) -> None:
        self._published: dict[str, dict[str, Any]] = {}
        self._pending: list[tuple[float, str, dict[str, Any] | None]] = []
        self._clients: dict[str, dict[str, str]] = {}
        self._lag_ms = 0
        self._is_down = False
        self._counts: Counter[str] = Counter()
        self._lock = threading.Lock()

    def routes(self) -> Router:
        """Return the routes of the directory's HTTP interface."""
        router = Router()
        router.add("GET", "/v1/instances", self._list_instances)
        router.add("GET", "/v1/clients/<client>", self._get_client)
        return router

    def set_fault(self, change: dict[str, Any]) -> None:
        """Change the published data or set a fault.

        ``put`` adds or replaces instances, ``remove`` removes them by name, and ``clients`` adds
        or replaces clients. ``lag_ms`` delays later changes of instances. While ``down`` is set,
        the directory closes connections without an answer.
        """
        with self._lock:
            self._lag_ms = int(change.get("lag_ms", self._lag_ms))
            self._is_down = bool(change.get("down", self._is_down))
            self._clients.update(change.get("clients", {}))
            due_s = time.monotonic() + self._lag_ms / 1000
            for row in change.get("put", []):
                self._pending.append((due_s, str(row["instance"]), dict(row)))
            for name in change.get("remove", []):
                self._pending.append((due_s, str(name), None))

    def state(self) -> dict[str, Any]:
        """Return the published instances and the number of calls by kind."""
        with self._lock:
            self._publish()
            return {"instances": list(self._published.values()), "counts": dict(self._counts)}

    def _publish(self) -> None:
        now_s = time.monotonic()
        due = [item for item in self._pending if item[0] <= now_s]
        self._pending = [item for item in self._pending if item[0] > now_s]
        for _, name, row in due:
            if row is None:
                self._published.pop(name, None)
            else:
                self._published[name] = row

    def _list_instances(self, exchange: Exchange) -> Response:
        viewer = exchange.request.args.get("viewer_region", "")
        with self._lock:
            self._counts["instances"] += 1
            if self._is_down:
                raise ConnectionError("the directory is down")
            self._publish()
            rows = [_row_for_viewer(viewer, row) for row in self._published.values()]
        return json_response({"instances": rows})

    def _get_client(self, exchange: Exchange, client: str) -> Response:
        with self._lock:
            self._counts["clients"] += 1
            if self._is_down:
                raise ConnectionError("the directory is down")
            row = self._clients.get(client)
        return json_response(row) if row else json_response({"error": "no such client"}, 404)


def _row_for_viewer(viewer: str, row: dict[str, Any]) -> dict[str, Any]:
    visible_row = {name: value for name, value in row.items() if name != "addresses_by_region"}
    visible_row.update(row.get("addresses_by_region", {}).get(viewer, {}))
    return visible_row


def run(port: int, control_port: int) -> None:
    """Run the stand-in until it is killed."""
    directory = Directory()
    server = serve_routes(port, "directory", directory.routes())
    control = serve_routes(
        control_port, "control", control_routes(directory.set_fault, directory.state)
    )
    ports = {"port": server.port, "control_port": control.port}
    run_until_killed("directory", ports)
