"""A stand-in for a service: orders, bookings and payments that run on every call, and look-ups.

It does not deduplicate idempotency keys, so its log of runs shows a second dispatch. It also
writes that log to standard error, which survives a crash of the process.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_transport.router import Router

from .control import control_routes
from .control import json_response
from .control import run_until_killed
from .control import serve_routes
from .gate import Gate

if TYPE_CHECKING:
    from primroseferry_transport.serving import Exchange
    from werkzeug.wrappers import Response


class PlainService:
    """The routes, the log of runs and the faults of one service."""

    def __init__(self, work_ms: int) -> None:
        self._work_ms = work_ms
        self._log: list[dict[str, Any]] = []
        self._lock = threading.Lock()
        self._running = 0
        self._is_leaving = False
        self._answers_to_drop = 0
        self._crash = ""
        self._before_run = Gate()
        self._after_run = Gate()

    def routes(self) -> Router:
        """Return the routes of the service's HTTP interface."""
        router = Router()
        router.add("POST", "/orders", self._run)
        router.add("POST", "/bookings", self._run)
        router.add("POST", "/payments", self._run)
        router.add("GET", "/runs/by-key/<key>", self._find_run)
        router.add("GET", "/stock/<lot>", self._look_up)
        router.add("GET", "/loyalty/<card>", self._look_up)
        router.add("GET", "/v1/load", self._get_load)
        return router

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set faults.

        ``drop_answers`` is the number of answers to drop after the operation ran. ``crash`` ends
        the process ``before`` or ``after`` an operation runs. ``hold_before`` and ``hold_after``
        block operations before or after they run. ``work_ms`` is the duration of an operation,
        and ``leaving`` is reported with the load.
        """
        self._answers_to_drop = int(fault.get("drop_answers", self._answers_to_drop))
        self._crash = str(fault.get("crash", self._crash))
        self._work_ms = int(fault.get("work_ms", self._work_ms))
        self._is_leaving = bool(fault.get("leaving", self._is_leaving))
        if "hold_before" in fault:
            self._before_run.set_held(bool(fault["hold_before"]))
        if "hold_after" in fault:
            self._after_run.set_held(bool(fault["hold_after"]))

    def state(self) -> dict[str, Any]:
        """Return the log of runs and the numbers of running and blocked operations."""
        with self._lock:
            return {
                "log": list(self._log),
                "running": self._running,
                "held_before": self._before_run.waiting,
                "held_after": self._after_run.waiting,
            }

    def _run(self, exchange: Exchange) -> Response | None:
        body = exchange.read_body()
        key = exchange.request.headers.get("Idempotency-Key", "")
        with self._lock:
            self._running += 1
        try:
            self._before_run.pass_through()
            if self._crash == "before":
                os._exit(134)
            time.sleep(self._work_ms / 1000)
            number = self._record(exchange, key, body)
            self._after_run.pass_through()
        finally:
            with self._lock:
                self._running -= 1
        if self._crash == "after":
            os._exit(134)
        if self._answers_to_drop > 0:
            self._answers_to_drop -= 1
            exchange.take_connection().close()
            return None
        return json_response({"number": number, "key": key}, 201)

    def _record(self, exchange: Exchange, key: str, body: bytes) -> int:
        with self._lock:
            number = len(self._log) + 1
            row = {
                "number": number,
                "at_s": time.time(),
                "key": key,
                "path": exchange.request.path,
                "request_id": exchange.request.headers.get("X-Request-Id", ""),
                "body": body.decode(errors="replace"),
            }
            self._log.append(row)
            print(json.dumps({"ran": row}), file=sys.stderr, flush=True)
            return number

    def _find_run(self, exchange: Exchange, key: str) -> Response:
        with self._lock:
            row = next((row for row in self._log if row["key"] == key), None)
        if row is None:
            return json_response({"error": "no operation ran with this key"}, 404)
        return json_response({"number": row["number"], "key": key})

    def _look_up(self, exchange: Exchange, **values: str) -> Response:
        name = next(iter(values.values()))
        time.sleep(self._work_ms / 1000)
        return json_response({"name": name, "units": len(name)})

    def _get_load(self, exchange: Exchange) -> Response:
        report = {
            "running": self._running,
            "queued": 0,
            "slots": 64,
            "step_ms": float(self._work_ms),
            "price": 0.0,
            "leaving": self._is_leaving,
        }
        return json_response(report)


def run(port: int, control_port: int, work_ms: int) -> None:
    """Run the stand-in until it is killed."""
    service = PlainService(work_ms)
    server = serve_routes(port, "service", service.routes())
    control = serve_routes(
        control_port, "control", control_routes(service.set_fault, service.state)
    )
    ports = {"port": server.port, "control_port": control.port}
    run_until_killed("service", ports)
