"""Starts a small deployment of real gateways for the scripts of the second review.

The store and the endpoints are the project's own stand-ins of ``platform/tests``. Everything listens
on loopback addresses of one free network, and ends with ``close``.
"""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "platform" / "tests")]

from fleet_soak import endpoint_standin  # noqa: E402, F401
from fleet_soak.endpoint_standin import HEALTH_PATH  # noqa: E402
from fleet_soak.endpoint_standin import EndpointStandin  # noqa: E402
from fleet_soak.endpoint_standin import Room  # noqa: E402, F401
from fleet_soak.endpoint_standin import RunLog  # noqa: E402
from fleet_tests.store_standin import StoreStandin  # noqa: E402

HOST = "review.example"
FRONT, READY, DIRECTORY, CONTROL, FIRST_PORT = 8144, 8140, 8143, 8146, 7660
START_LIMIT_S = 25.0
# The bounds of the small deployments.
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 5000, "AckMs": 6000, "SyncS": 4,
    "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 3000, "BackMs": 250,
    "MaxStretchMs": 8000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 54,
    "WarmupOverage": 1.5, "WarmupSlack": 3, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 600,
    "ReuseWindowS": 10, "ttl_max_s": 5,
}
ENGINE = {
    "Slots": 64, "KvCapacity": 236829, "KvTokenBytes": 163840, "LinkMbps": 740000.0,
    "Stride": 5, "Models": [{"Name": "m"}],
}


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside the script."""

    def __init__(self, script: str) -> None:
        self._file = (Path(script).resolve().parent / "record.txt").open("w")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f}  {text}\n")
            self._file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


class Gateway:
    """One gateway, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, boot: dict, directory: Path) -> None:
        self.name, self.ip, self._directory = name, ip, directory
        self._boot_path = directory / f"{name}.json"
        self._boot_path.write_text(json.dumps(boot))
        self.log_path = directory / f"{name}.log"
        self._log = self.log_path.open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, FRONT

    def start(self) -> None:
        environment = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        environment["PRIMROSEFERRY_BOOT"] = str(self._boot_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-S", "deploy/gateway.py"],
            cwd=ROOT, env=environment, stdout=self._log, stderr=self._log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(self.ip, READY, timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def close(self) -> None:
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait(5)
        self._log.close()


class Deployment:
    """Gateways by zone, endpoints and the store."""

    def __init__(self, gateways: dict[str, int], regions: dict[str, str], memory_mb: int = 300):
        # A script that is ended early ends its processes too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._claim, self._network = _claim_network()
        self.store = StoreStandin()
        self.runs = RunLog()
        self.endpoints: dict[str, EndpointStandin] = {}
        self._entries: dict[str, dict] = {}
        self._regions = regions
        self.gateways: list[Gateway] = []
        self.is_closed = False
        names = [(zone, number) for zone, count in gateways.items() for number in range(count)]
        ips = [f"{self._network}.{index + 1}.1" for index in range(len(names))]
        for (zone, number), ip in zip(names, ips, strict=True):
            name = f"edge-{zone}-{number + 1}"
            boot = {
                "Node": name, "Role": "gateway", "MachineClass": "edge",
                "Serves": ["edge", "control_plane", "registry"], "Ip": ip,
                "Zone": zone, "Region": regions[zone], "Zones": regions,
                "Listen": {
                    "Front": f"{ip}:{FRONT}", "Ready": f"{ip}:{READY}",
                    "Control": f"{ip}:{CONTROL}", "Directory": f"{ip}:{DIRECTORY}",
                },
                "PortRange": [FIRST_PORT, FIRST_PORT + 15],
                "Seeds": [f"{one}:{CONTROL}" for one in ips[:3]],
                "Bootstrap": True, "InTolerance": False,
                "Limits": {
                    "CpuShare": 0.537, "Cores": 2, "MemoryMb": memory_mb, "MaxFds": 4100,
                    "LinkMbps": 1000.0, "DiskMb": 0,
                },
                "DataDir": None, "Discovery": "platform", "Entry": "registry",
                "HeartbeatMs": 1200, "Contracts": [],
                "Tolerate": {"Machines": 2, "Zones": 1, "Regions": 1}, "Bounds": BOUNDS,
                "Platform": {
                    "Address": self.store.address, "form": "kv", "WritesPerS": 400,
                    "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "MinTtlMs": 1000,
                },
            }
            self.gateways.append(Gateway(name, ip, boot, self.directory))

    def put_config(self, routes: list[dict], services: list[dict], version: int = 1) -> None:
        limits = {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        config = {"Version": version, "Routes": routes, "Services": services, "Limits": limits}
        self.store.put("op/config", config)

    def add_endpoint(
        self, name: str, service: str, zone: str, version: str = "v1", slots: int = 64,
        warmup_s: float = 0.0, address: str = "", writes_entry: bool = True,
    ) -> EndpointStandin:
        """Start an endpoint, at the address of an earlier run if one is given."""
        host, _, port = address.rpartition(":")
        host = host or f"{self._network}.200.{len(self.endpoints) + 1}"
        endpoint = EndpointStandin(
            name, host, self.runs, version=version, port=int(port or 0), warmup_s=warmup_s
        )
        self.endpoints[name] = endpoint
        self._entries[name] = {
            "Service": service, "Address": endpoint.address, "Zone": zone, "Version": version,
            "Slots": slots, "State": "ready", "Sequence": 1, "born": endpoint.born_ms,
        }
        if writes_entry:
            self.write_entry(name)
        return endpoint

    def write_entry(self, name: str, without: tuple[str, ...] = (), **changed: object) -> None:
        """Write the entry of an endpoint, with some fields left out or changed."""
        self._entries[name]["Sequence"] += 1
        entry = {**self._entries[name], "WarmupLeftMs": self.endpoints[name].cold_ms, **changed}
        entry = {field: value for field, value in entry.items() if field not in without}
        self.store.put(f"servers/{name}", entry)

    def start(self) -> None:
        for gateway in self.gateways:
            gateway.start()

    def wait_ready(self) -> bool:
        limit_s = time.monotonic() + START_LIMIT_S
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > limit_s:
                    return False
                time.sleep(0.05)
        time.sleep(2.5)  # The gateways find each other.
        return True

    def log_events(self, *messages: str) -> list[str]:
        """Return the lines of all logs that contain one of the texts."""
        found = []
        for gateway in self.gateways:
            for line in gateway.log_path.read_text(errors="replace").splitlines():
                if any(message in line for message in messages):
                    found.append(f"{gateway.name} {line}")
        return found

    def close(self) -> None:
        self.is_closed = True
        for gateway in self.gateways:
            gateway.close()
        for endpoint in list(self.endpoints.values()):
            if endpoint.is_running:
                endpoint.crash()
        self.store.close()
        self._claim.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    return {
        "Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind, "TimeoutMs": 5000,
        "LatencyTargetMs": 800, "Priority": 0, "Service": service, "MaxAttempts": 2, **more,
    }


def service(name: str, **more: object) -> dict:
    return {
        "Name": name, "HealthPath": HEALTH_PATH, "MaxConns": 360, "WarmupS": 0.0,
        "WarmupPerS": 0.0, **more,
    }


def _claim_network() -> tuple[socket.socket, str]:
    """Return the first free loopback network, and a socket that claims it."""
    for number in range(60, 250):
        network = f"127.{number}"
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"{network}.254.254", 8100))
        except OSError:
            claim.close()
            continue
        return claim, network
    raise RuntimeError("no loopback network is free")
