"""What a gateway believes, for operators, on request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..endpoints.catalog import EndpointCatalog
    from ..membership.peer_table import PeerTable
    from ..relay_policy import RelayPolicy


def dump_endpoints(catalog: EndpointCatalog, policy: RelayPolicy) -> dict[str, object]:
    """Return every listed endpoint with its load as it is known here."""
    return {
        name: {
            "service": endpoint.service,
            "region": endpoint.region,
            "state": endpoint.state.value,
            "is_cold": catalog.is_cold(name),
            "open_requests": policy.loads.work(name).requests,
            "pace": round(policy.pace.ratio(name), 2),
        }
        for name, endpoint in catalog.entries().items()
    }


def dump_policy(policy: RelayPolicy) -> dict[str, object]:
    """Return the circuits that ever opened, and the quarantined requests."""
    circuits = {name: state.value for name, state in policy.breakers.states().items()}
    return {"circuits": circuits, "quarantined": policy.quarantine.quarantined()}


def dump_gateways(peers: PeerTable) -> dict[str, object]:
    """Return the other gateways that live."""
    return {
        peer.instance: {"region": peer.region, "state": peer.state.value} for peer in peers.live()
    }
