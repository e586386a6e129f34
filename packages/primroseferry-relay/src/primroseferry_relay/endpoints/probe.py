"""Telling a dead endpoint from a broken connection."""

from __future__ import annotations

import socket
from enum import Enum

# Endpoints are near: one that lives takes a connection within this time.
PROBE_TIMEOUT_S = 0.3


class PortState(Enum):
    """What a new connection to an endpoint's port meets."""

    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


def probe_port(address: str) -> PortState:
    """Return what is at ``address``, an IP number and a port."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=PROBE_TIMEOUT_S):
            return PortState.LISTENING
    except ConnectionRefusedError:
        return PortState.REFUSED
    except ConnectionError:  # A reset comes from a process that has too many connections.
        return PortState.LISTENING
    except OSError:  # No answer, or no way there: the endpoint may live behind a cut.
        return PortState.SILENT
