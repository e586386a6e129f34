"""A process with several relays on one event loop, whose peak memory a test can read.

The arguments are the relays, each one the addresses of its endpoints with commas between them. The
process writes the ports of the relays and ends with its standard input.
"""

from __future__ import annotations

import os
import selectors
import subprocess
import sys
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import cast

from primroseferry_relay.ingress.request_bodies import RequestBodies
from primroseferry_relay.routes.service import CallerLimits
from primroseferry_transport.curl_loop import CurlLoop

from .relay_harness import RelayHarness

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .scripted_endpoint import ScriptedEndpoint

START_TIMEOUT_S = 20.0
TESTS = Path(__file__).parents[1]


@dataclass(frozen=True, slots=True)
class _RemoteEndpoint:
    """An endpoint that runs in the test's process."""

    address: str


@dataclass(frozen=True, slots=True)
class RelayProcess:
    """A running process and the ports of its relays."""

    process_id: int
    ports: list[int]

    def peak_mb(self) -> float:
        """Return the largest resident size that the process has had, in MB of 10**6 bytes."""
        for line in Path(f"/proc/{self.process_id}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError("the process has ended")


@contextmanager
def relay_process(groups: Sequence[Sequence[ScriptedEndpoint]]) -> Iterator[RelayProcess]:
    """Run one relay for each group of endpoints, all of them in one new process."""
    addresses = [",".join(endpoint.address for endpoint in group) for group in groups]
    path = os.pathsep.join([str(TESTS), *filter(None, sys.path)])
    process = subprocess.Popen(
        [sys.executable, "-m", __name__, *addresses],
        env={**os.environ, "PYTHONPATH": path},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert process.stdout is not None
        with selectors.DefaultSelector() as selector:
            selector.register(process.stdout, selectors.EVENT_READ)
            assert selector.select(START_TIMEOUT_S)
        ports = [int(port) for port in process.stdout.readline().split()]
        yield RelayProcess(process.pid, ports)
    finally:
        process.kill()
        process.wait(5)


def _serve(groups: Sequence[str]) -> None:
    loop = CurlLoop("relay")
    bodies = RequestBodies()
    harnesses = []
    for group in groups:
        endpoints = [_RemoteEndpoint(address) for address in group.split(",")]
        harness = RelayHarness(loop, cast("list[ScriptedEndpoint]", endpoints))
        harness.listener.limits = CallerLimits
        harness.listener.bodies = bodies
        harnesses.append(harness)
    print(*(harness.listener.port for harness in harnesses), flush=True)
    # Nobody reads the log that follows.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.stdin.read()


if __name__ == "__main__":
    _serve(sys.argv[1:])
