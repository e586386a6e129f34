"""A probe that distinguishes a crashed endpoint from a broken connection."""

from __future__ import annotations

import socket
from enum import Enum

# Endpoints are in the same region: a running one accepts a connection within this time.
PROBE_TIMEOUT_S = 0.3


class PortState(Enum):
    """The result of a connection to an endpoint's port.

    ``SILENT``: the port neither accepted nor refused the connection in time.
    """

    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


def probe_port(address: str) -> PortState:
    """Connect to ``address``, an IP address and a port, and return the state of the port."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=PROBE_TIMEOUT_S):
            return PortState.LISTENING
    except ConnectionRefusedError:
        return PortState.REFUSED
    except ConnectionError:  # A running process with too many connections resets new ones.
        return PortState.LISTENING
    except OSError:  # Timed out or unreachable: the endpoint may run behind a network partition.
        return PortState.SILENT
