"""The hashes that identify endpoints and their runs in datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NewType

import xxhash

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId

    from .endpoint import EndpointRun

EndpointHash = NewType("EndpointHash", int)
RunHash = NewType("RunHash", int)


def endpoint_hash(endpoint: EndpointId) -> EndpointHash:
    """Return the 32-bit hash that identifies an endpoint in datagrams.

    Endpoints with the same hash share their reported load. Among 100 endpoints, such a pair exists
    with a probability of one in a million.
    """
    return EndpointHash(xxhash.xxh32_intdigest(endpoint.encode()))


def run_hash(run: EndpointRun) -> RunHash:
    """Return the 64-bit hash that identifies a run of an endpoint in datagrams."""
    text = f"{run.endpoint} {run.started_ms} {run.address}"
    return RunHash(xxhash.xxh3_64_intdigest(text.encode()))
