"""Starts, kills and suspends the processes of a test deployment."""

from __future__ import annotations

import http.client
import json
import os
import selectors
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import IO
from typing import Any

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
CONTROL_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02


class ProcessError(Exception):
    """A process of the deployment did not start, answer or reach a state as expected."""


@dataclass(slots=True)
class Process:
    """A child process with its ports by name and its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: IO[bytes]
    ports: dict[str, int] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """The host and port at which the process serves HTTP."""
        return f"127.0.0.1:{self.ports['port']}"

    @property
    def pid(self) -> int:
        """The process id in the operating system."""
        return self.popen.pid

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP. Its clocks continue, but it runs no code."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit and return its exit code."""
        return self.popen.wait(timeout_s)

    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.popen.poll() is None

    def control(self, path: str, data: object | None = None) -> Any:
        """Send ``data`` to the control port with POST, or send a GET if it is ``None``.

        Return the JSON answer. Raises ``ProcessError`` if the status is not 200.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["control_port"], timeout=CONTROL_TIMEOUT_S
        )
        try:
            method = "GET" if data is None else "POST"
            body = None if data is None else json.dumps(data)
            connection.request(method, path, body)
            response = connection.getresponse()
            answer = response.read()
        finally:
            connection.close()
        if response.status != 200:
            raise ProcessError(f"{self.name}: control answered {response.status} {answer!r}")
        return json.loads(answer)

    def fault(self, **fault: object) -> None:
        """Set faults of a stand-in."""
        self.control("/fault", fault)

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log lines so far; a line that is not JSON becomes ``{"message": line}``."""
        lines = []
        for line in Path(self.log.name).read_bytes().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"message": line.decode(errors="replace")})
        return lines


def start_standin(*arguments: str) -> Process:
    """Start a stand-in and wait until it reports its ports."""
    log = tempfile.NamedTemporaryFile(prefix="primroseferry-", suffix=".log")  # noqa: SIM115
    popen = subprocess.Popen(
        [sys.executable, "-m", "primroseferry_standins", *arguments],
        stdout=subprocess.PIPE,
        stderr=log,
        env=process_environment(),
    )
    process = Process(arguments[0], popen, log)
    line = _read_line(process)
    process.ports = {name: port for name, port in json.loads(line).items() if name != "standin"}
    return process


def start_gateway(name: str, arguments: list[str]) -> Process:
    """Start a gateway and wait until it reports its ports."""
    log = tempfile.NamedTemporaryFile(prefix="primroseferry-", suffix=".log")  # noqa: SIM115
    program = [sys.executable, "-m", "primroseferry_cli", "gateway", "--instance", name]
    popen = subprocess.Popen([*program, *arguments], stderr=log, env=process_environment())
    process = Process(name, popen, log)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        for row in process.log_lines():
            if row.get("event") == 1001:
                process.ports = {"port": row["port"], "peer_port": row["peer_port"]}
                return process
        if not process.is_running():
            break
        time.sleep(POLL_INTERVAL_S)
    raise ProcessError(f"{name} did not report its ports: {process.log_lines()}")


def process_environment() -> dict[str, str]:
    """Return the environment without the product's settings, which would affect the processes."""
    return {
        name: value for name, value in os.environ.items() if not name.startswith("PRIMROSEFERRY_")
    }


def _read_line(process: Process) -> bytes:
    stdout = process.popen.stdout
    assert stdout is not None
    with selectors.DefaultSelector() as selector:
        selector.register(stdout, selectors.EVENT_READ)
        if not selector.select(START_TIMEOUT_S):
            raise ProcessError(f"{process.name} did not start within {START_TIMEOUT_S} s")
    line = stdout.readline()
    if not line:
        raise ProcessError(f"{process.name} did not start: {process.log_lines()}")
    return line
