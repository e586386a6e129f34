"""Dumps a gateway's view of endpoints, policy and peers for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseferry_policy.endpoint_profile import LearnedCapacity
    from primroseferry_policy.quarantine import SuspicionReport

    from ..endpoints.catalog import EndpointCatalog
    from ..membership.peer_table import PeerTable
    from ..relay_policy import RelayPolicy


def dump_endpoints(catalog: EndpointCatalog, policy: RelayPolicy) -> dict[str, object]:
    """Return every listed endpoint with its state and this gateway's view of its load."""
    learned = policy.profiles.learned()
    return {
        name: {
            "service": endpoint.service,
            "region": endpoint.region,
            "state": endpoint.state.value,
            "is_cold": catalog.is_cold(name),
            "open_requests": policy.loads.work(name).requests,
            "pace": round(policy.pace.ratio(name), 2),
            "learned": _capacity_fields(learned.get(name)),
            "request_limit_per_s": policy.request_limits.limit_per_s(endpoint.run),
        }
        for name, endpoint in catalog.entries().items()
    }


def _capacity_fields(learned: LearnedCapacity | None) -> dict[str, float] | None:
    """Return the learned capacity of an endpoint, ``None`` if it is not learned."""
    if learned is None:
        return None
    return {"slowdown": round(learned.slowdown, 2), "room_share": round(learned.room_share, 2)}


def dump_policy(policy: RelayPolicy) -> dict[str, object]:
    """Return the circuits that ever opened, and the suspicions behind the quarantines."""
    circuits = {name: state.value for name, state in policy.breakers.states().items()}
    return {
        "circuits": circuits,
        "quarantined": policy.quarantine.quarantined(),
        "held_parts": policy.quarantine.held_parts(),
        "suspicions": [
            _suspicion_fields(policy, record) for record in policy.quarantine.at_quarantine_level()
        ],
    }


def _suspicion_fields(policy: RelayPolicy, record: SuspicionReport) -> dict[str, object]:
    suspicion = record.suspicion
    return {
        "fingerprint": suspicion.fingerprint,
        "level": policy.quarantine.level(suspicion.fingerprint),
        "deaths": sorted(suspicion.deaths),
        "breaks": len(suspicion.breaks),
        "age_s": round(record.age_s, 1),
    }


def dump_gateways(peers: PeerTable) -> dict[str, object]:
    """Return region and state of the other live gateways, by instance."""
    return {
        peer.instance: {"region": peer.region, "state": peer.state.value} for peer in peers.live()
    }
