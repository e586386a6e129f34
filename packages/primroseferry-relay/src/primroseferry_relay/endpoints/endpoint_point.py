"""The short name of an endpoint in datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NewType

import xxhash

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId

EndpointPoint = NewType("EndpointPoint", int)


def endpoint_point(endpoint: EndpointId) -> EndpointPoint:
    """Return the 32 bits by which datagrams name an endpoint.

    Two endpoints that share them, one pair in a million for 100 endpoints, share their loads too.
    """
    return EndpointPoint(xxhash.xxh32_intdigest(endpoint.encode()))
