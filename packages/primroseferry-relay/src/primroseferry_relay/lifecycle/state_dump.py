"""What a gateway believes, for operators, on request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_policy.quarantine import ToldSuspicion

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
    """Return the circuits that ever opened, and what is held against quarantined requests."""
    circuits = {name: state.value for name, state in policy.breakers.states().items()}
    return {
        "circuits": circuits,
        "quarantined": policy.quarantine.quarantined(),
        "suspicions": [_shown(told) for told in policy.quarantine.severe()],
    }


def _shown(told: ToldSuspicion) -> dict[str, object]:
    held = told.suspicion
    return {
        "fingerprint": held.fingerprint,
        "level": held.level,
        "deaths": sorted(held.deaths),
        "breaks": len(held.breaks),
        "age_s": round(told.age_s, 1),
    }


def dump_gateways(peers: PeerTable) -> dict[str, object]:
    """Return the other gateways that live."""
    return {
        peer.instance: {"region": peer.region, "state": peer.state.value} for peer in peers.live()
    }
