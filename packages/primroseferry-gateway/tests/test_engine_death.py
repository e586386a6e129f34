"""Distinguishing a crashed engine from one that only closed a connection.

While a process exits, the kernel still accepts connections and drops them unanswered. A single
probe in that interval would report a crashed engine as live.
"""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import RegionId
from primroseferry_gateway import engine_call
from primroseferry_gateway.fleet import Endpoint

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

DROP, ANSWER, HOLD = "drop", "answer", "hold"
# Longer than the time-out of a probe.
HOLD_S = 0.7
REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _Engine:
    """Handles one connection for each entry of ``behaviour``, then stops listening."""

    def __init__(self, behaviour: list[str]) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._behaviour = behaviour
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        for number, action in enumerate(self._behaviour):
            connection, _ = self._listener.accept()
            if number == len(self._behaviour) - 1:
                self._listener.close()
            with connection:
                connection.recv(4_096)
                if action == HOLD:
                    time.sleep(HOLD_S)
                if action == ANSWER:
                    connection.sendall(REPLY)


@pytest.mark.parametrize(
    ("behaviour", "is_endpoint_crashed"),
    [
        ([DROP], True),
        ([DROP, DROP], True),
        ([ANSWER], False),
        ([DROP, ANSWER], False),
        ([DROP] * 20, False),
        ([HOLD], True),
        ([DROP, HOLD], True),
        ([HOLD, ANSWER], False),
        ([HOLD] * 8, False),
    ],
)
def test_exiting_engine_counts_as_dead(
    loop: CurlLoop, behaviour: list[str], is_endpoint_crashed: bool
) -> None:
    endpoint = _endpoint(_Engine(behaviour).address)
    assert engine_call._has_crashed(loop, endpoint) is is_endpoint_crashed


def _endpoint(address: str) -> Endpoint:
    return Endpoint(EndpointId("e-1"), RegionId("north"), address, "small", is_engine=True)
