"""A small deployment on loopback addresses: store, workers, gateways, and one-request clients."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

REVIEW = Path(__file__).resolve().parent
ROOT = REVIEW.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))

from fleet_tests.store_standin import StoreStandin  # noqa: E402

FRONT, READY, DIRECTORY, CONTROL, FIRST_PORT = 8144, 8140, 8143, 8146, 7660
HOST = "review.example"
# Bounds of the users' page for the deployment lamaa-crm.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 5000, "AckMs": 6000, "SyncS": 4, "DrainMs": 3000,
    "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 3000, "BackMs": 250, "MaxStretchMs": 8000,
    "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 54, "WarmupOverage": 1.5,
    "WarmupSlack": 3, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 600, "ReuseWindowS": 10,
    "ttl_max_s": 5,
}
REGIONS = {"casa-a": "casablanca", "mrk-a": "marrakech", "tng-a": "tanger"}


class CannotRun(Exception):
    """The case could not be set up."""


@dataclass
class Result:
    request_id: str
    path: str
    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


class Deployment:
    def __init__(self, record: Path, gateways: dict[str, int], routes: list[dict[str, Any]], engine: bool = True) -> None:
        self.record_file = record.open("w", buffering=1)
        self.record_lock = threading.Lock()
        self.started_s = time.monotonic()
        self.directory = tempfile.TemporaryDirectory()
        self.path = Path(self.directory.name)
        self.store = StoreStandin()
        self.processes: list[subprocess.Popen[Any]] = []
        self.workers: dict[str, subprocess.Popen[Any]] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.gateways: dict[str, subprocess.Popen[Any]] = {}
        self.gateway_ips: dict[str, str] = {}
        self.gateway_regions: dict[str, str] = {}
        self.version = 1
        self.routes = routes
        self.engine = engine
        self.net = _free_network()
        self.born_ms = int(time.time() * 1000)
        self.worker_log = self.path / "workers.log"
        self.worker_log.touch()
        names = [(f"edge-{zone}-{n + 1}", zone) for zone, count in gateways.items() for n in range(count)]
        for number, (name, zone) in enumerate(names):
            self.gateway_ips[name] = f"{self.net}.{number + 1}.1"
            self.gateway_regions[name] = REGIONS[zone]
        by_zone: dict[str, str] = {}
        for name, zone in names:
            by_zone.setdefault(zone, name)
        self.seeds = [f"{self.gateway_ips[name]}:{CONTROL}" for name in by_zone.values()]
        self.zones = dict(names)
        for name in self.gateway_ips:
            self._write_boot(name, True)

    def note(self, what: str, **fields: Any) -> None:
        with self.record_lock:
            at_s = round(time.monotonic() - self.started_s, 3)
            self.record_file.write(json.dumps({"t_s": at_s, "what": what, **fields}) + "\n")

    def t(self) -> float:
        return time.monotonic() - self.started_s

    def put_config(self) -> None:
        engine = {
            "Slots": 64, "KvCapacity": 236829, "KvTokenBytes": 163840, "LinkMbps": 740000.0,
            "Moves": True, "Backups": True, "Stride": 5, "most": 12, "PinMs": 4000.0,
            "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": "m"}],
        }
        pool: dict[str, Any] = {
            "Name": "pool", "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1",
            "Tls": False, "WarmupS": 3.0, "WarmupPerS": 1.9,
        }
        if self.engine:
            pool["Engine"] = engine
        core = {
            "Name": "core", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1",
            "Tls": False, "WarmupS": 0.0, "WarmupPerS": 0.0,
        }
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
        config = {"Version": self.version, "Routes": self.routes, "Services": [pool, core], "Limits": limits}
        self.store.put("op/config", config)
        self.version += 3

    def _write_boot(self, name: str, is_first: bool) -> None:
        ip, zone = self.gateway_ips[name], self.zones[name]
        boot = {
            "Node": name, "Role": "gateway", "MachineClass": "edge",
            "Serves": ["edge", "control_plane", "registry"], "Ip": ip, "Zone": zone,
            "Region": REGIONS[zone], "Zones": REGIONS,
            "Listen": {
                "Front": f"{ip}:{FRONT}", "Ready": f"{ip}:{READY}",
                "Control": f"{ip}:{CONTROL}", "Directory": f"{ip}:{DIRECTORY}",
            },
            "PortRange": [FIRST_PORT, FIRST_PORT + 15], "Seeds": self.seeds, "Bootstrap": is_first,
            "InTolerance": False,
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "registry", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"],
            "Tolerate": {"Machines": 2, "Zones": 1, "Regions": 1}, "Bounds": BOUNDS,
            "Platform": {
                "Address": self.store.address, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000,
                "HistoryS": 20, "ValueBytes": 1048576, "MinTtlMs": 1000,
            },
        }
        (self.path / f"{name}.json").write_text(json.dumps(boot))

    def start_gateway(self, name: str, is_first: bool = True) -> None:
        self._write_boot(name, is_first)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PRIMROSEFERRY_BOOT"] = str(self.path / f"{name}.json")
        log = (self.path / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["python3", "-S", "deploy/gateway.py"], cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.gateways[name] = process
        self.processes.append(process)
        self.note("gateway started", gateway=name)

    def wait_ready(self, names: list[str] | None = None, timeout_s: float = 15.0) -> None:
        for name in names or list(self.gateways):
            until_s = time.monotonic() + timeout_s
            while not self.is_ready(name):
                if time.monotonic() > until_s:
                    raise CannotRun(f"{name} is not ready: {(self.path / f'{name}.log').read_text()[-2000:]}")
                time.sleep(0.05)

    def is_ready(self, name: str) -> bool:
        with contextlib.suppress(OSError):
            with socket.create_connection((self.gateway_ips[name], READY), timeout=1) as connection:
                connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        return False

    def start_worker(self, name: str, service: str, zone: str, *options: str) -> None:
        number = int(name.removeprefix("i-"))
        address = f"{self.net}.200.{number}:{9000 + number}"
        process = subprocess.Popen(
            [sys.executable, str(REVIEW / "worker.py"), "--id", name, "--address", address, "--log", str(self.worker_log), *options],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        if b"listening" not in process.stdout.readline():
            raise CannotRun(f"worker {name} did not start")
        self.processes.append(process)
        self.workers[name] = process
        slots = 64 if service == "pool" else 6
        self.entries[name] = {
            "Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots,
            "State": "ready", "WarmupLeftMs": 0, "Sequence": 1, "born": self.born_ms + number,
        }
        self.store.put(f"servers/{name}", self.entries[name])
        self.note("worker started", worker=name, service=service, zone=zone)

    def put_entry(self, name: str, **changes: Any) -> None:
        self.entries[name] = {**self.entries[name], **changes, "Sequence": self.entries[name]["Sequence"] + 1}
        self.store.put(f"servers/{name}", self.entries[name])
        self.note("entry written", worker=name, **changes)

    def replace_crashed(self, zone: str, service: str, back_s: float, expiry_s: float, *options: str) -> None:
        """Start a new worker for each that has crashed; remove the old entry when it expires."""
        for name, process in list(self.workers.items()):
            if process.poll() is None and not _is_stopped(process.pid):
                continue
            del self.workers[name]
            self.note("worker crashed", worker=name)
            threading.Timer(expiry_s, self.remove_entry, (name,)).start()
            number = len(self.entries) + 1
            self.entries[f"i-{number}"] = {}
            threading.Timer(back_s, self.start_worker, (f"i-{number}", service, zone, *options)).start()

    def remove_entry(self, name: str) -> None:
        self.store.remove(f"servers/{name}")
        self.note("entry removed", worker=name)

    def tell_leaving(self, name: str) -> None:
        """Have a worker say in its answers that it is leaving."""
        stdin = self.workers[name].stdin
        assert stdin is not None
        stdin.write(b"leave\n")
        stdin.flush()

    def signal(self, process: subprocess.Popen[Any], number: int) -> None:
        if process.poll() is None:
            process.send_signal(number)

    def runs(self) -> list[dict[str, Any]]:
        lines = self.worker_log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def note_runs(self) -> None:
        """Copy to the record what the workers ran."""
        for entry in self.runs():
            at_s = entry.pop("at_s") - self.started_s
            self.note("worker", at_s=round(at_s, 3), **entry)

    def call(
        self, gateway: str, method: str, path: str, request_id: str, deadline_ms: int, timeout_s: float,
        extra: dict[str, str] | None = None, body: bytes = b"", kept: dict[str, socket.socket] | None = None,
    ) -> Result:
        """Send one request and read the answer until it is complete.

        ``kept`` holds the caller's open connections by gateway; without it, the connection is new.
        """
        result = Result(request_id, path, time.monotonic())
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms), **(extra or {})}
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items()) + "\r\n"
        try:
            connection = kept.pop(gateway, None) if kept is not None else None
            if connection is None:
                connection = socket.create_connection((self.gateway_ips[gateway], FRONT), timeout=1.0)
            with contextlib.ExitStack() as stack:
                stack.callback(connection.close)
                connection.settimeout(0.1)
                connection.sendall(text.encode() + body)
                read_answer(connection, result, time.monotonic() + timeout_s)
                closes = result.headers.get("connection", "").lower() == "close"
                if kept is not None and result.is_complete and not closes:
                    kept[gateway] = connection
                    stack.pop_all()
        except OSError as error:
            result.error = f"{type(error).__name__}: {error}"
        result.ended_s = time.monotonic()
        self.note(
            "answered", request=request_id, gateway=gateway, path=path, status=result.status,
            is_complete=result.is_complete, bytes=len(result.body), error=result.error,
            took_ms=round((result.ended_s - result.sent_s) * 1000),
        )
        return result

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.path, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self.directory.cleanup()
        self.record_file.close()


def read_answer(connection: socket.socket, result: Result, until_s: float) -> None:
    data = bytearray()

    def more() -> bool:
        while True:
            if time.monotonic() > until_s:
                result.error = "no complete answer in time"
                return False
            try:
                chunk = connection.recv(65_536)
            except TimeoutError:
                continue
            if not chunk:
                result.error = "the connection was closed"
                return False
            data.extend(chunk)
            return True

    while b"\r\n\r\n" not in data:
        if not more():
            return
    head, _, rest = bytes(data).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    result.status = int(lines[0].split()[1])
    result.headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])}
    data[:] = rest
    if "chunked" in result.headers.get("transfer-encoding", ""):
        body = bytearray()
        while True:
            while b"\r\n" not in data:
                result.body = bytes(body)
                if not more():
                    return
            line, _, tail = bytes(data).partition(b"\r\n")
            size = int(line, 16)
            while len(data) < len(line) + 2 + size + 2:
                result.body = bytes(body)
                if not more():
                    return
            tail = bytes(data[len(line) + 2 :])
            if size == 0:
                result.body, result.is_complete = bytes(body), True
                return
            body += tail[:size]
            result.body = bytes(body)
            data[:] = tail[size + 2 :]
    length = int(result.headers.get("content-length", "0"))
    while len(data) < length:
        result.body = bytes(data)
        if not more():
            return
    result.body, result.is_complete = bytes(data[:length]), True


def route(name: str, prefix: str, kind: str, service: str, timeout_ms: int, target_ms: int, attempts: int, priority: int, **more: Any) -> dict[str, Any]:
    return {
        "Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
        "LatencyTargetMs": target_ms, "Priority": priority, "Service": service,
        "MaxAttempts": attempts, "HomeRegions": [], **more,
    }


def small_routes() -> list[dict[str, Any]]:
    """The four kinds of requests of the deployment lamaa-crm."""
    return [
        route("digest", "/digest/", "streaming", "pool", 5000, 1000, 1, 1, Sticky=True, Resumable=False, GapTargetMs=600),
        route("draft", "/draft/", "streaming", "pool", 15000, 800, 2, 0, Sticky=True, Resumable=True, GapTargetMs=600),
        route("book", "/book/", "non_idempotent", "core", 2000, 400, 1, 2),
        route("look", "/look/", "idempotent", "core", 2000, 400, 2, 2),
    ]


def _is_stopped(pid: int) -> bool:
    state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    return state == "T"


def _free_network() -> str:
    for number in random.sample(range(60, 250), 60):
        try:
            for port in (FRONT, READY, DIRECTORY, CONTROL, FIRST_PORT):
                socket.create_server((f"127.{number}.1.1", port)).close()
            return f"127.{number}"
        except OSError:
            continue
    raise CannotRun("no free loopback network")


def main(record: Path, case: Any) -> None:
    """Run a case and exit with 1 if it saw the rule broken, 0 if not, 2 if it could not run."""
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Path(os.environ.get("RECORD", record))
    # Ends the processes of the case too: the handler raises in the main thread.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    try:
        is_broken = case(record, is_disturbed)
    except CannotRun as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
