"""Telling a dead endpoint from a broken connection."""

from __future__ import annotations

import socket

# Endpoints are near: one that lives takes a connection within this time.
PROBE_TIMEOUT_S = 0.3


def is_listening(address: str) -> bool:
    """Whether something takes connections at ``address``, an IP number and a port."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=PROBE_TIMEOUT_S):
            return True
    except OSError:  # Refused or silent: that is the answer.
        return False
