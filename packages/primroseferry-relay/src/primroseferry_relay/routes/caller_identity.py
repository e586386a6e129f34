"""Finds the workspace of a request by its API key."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from ..endpoint_adapter import EndpointAdapter
    from ..endpoint_adapter import RequestMetadata
    from ..messages import RelayRequest
    from .route import Route
    from .route_table import RouteTable
    from .workspace import Workspace


@dataclass(frozen=True, slots=True)
class IdentifiedRequest:
    """A request of a workspace, without credentials, and its route with the workspace's rules.

    ``workspace`` is ``None`` on public routes and where the operators configure none.
    """

    request: RelayRequest
    route: Route
    workspace: Workspace | None = None


def identify_caller(
    request: RelayRequest,
    metadata: RequestMetadata,
    route: Route,
    table: RouteTable,
    adapter: EndpointAdapter,
) -> IdentifiedRequest | None:
    """Return the request as its workspace may send it, ``None`` if its API key is not known."""
    if table.workspaces is None:
        return IdentifiedRequest(request, route)
    anonymous = replace(request, headers=adapter.without_credentials(request.headers))
    if route.is_public:
        return IdentifiedRequest(anonymous, route)
    workspace = table.workspaces.find_by_key(metadata.api_key)
    if workspace is None:
        return None
    key_hash = xxhash.xxh3_64_hexdigest(metadata.api_key.encode("utf-8", "surrogatepass"))
    identified = replace(anonymous, caller=f"{workspace.name}/{key_hash}", workspace=workspace.name)
    return IdentifiedRequest(identified, route.for_workspace(workspace), workspace)
