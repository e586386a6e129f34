"""A gateway's view of the fleet: the lagging instance list, corrected by facts from peers."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.logs import log_event
from primroseferry_peers.exchanger import PeerAddress
from primroseferry_peers.proto.peer_pb2 import ENDPOINT_LEAVING
from primroseferry_peers.proto.peer_pb2 import GATEWAY
from primroseferry_peers.proto.peer_pb2 import REGION_LOAD
from primroseferry_peers.proto.peer_pb2 import Fact
from primroseferry_platform.instance_list import Instance
from primroseferry_platform.instance_list import InstanceKind
from primroseferry_platform.instance_list import InstanceState
from result import Err
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore
    from primroseferry_platform.instance_list import InstanceListClient

REFRESH_S = 1.0
# A gateway without a published fact is presumed live for this time after it is first listed.
UNREPORTED_GRACE_S = 15.0
BRIDGES_PER_REGION = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of any region, identified by its name in the instance list."""

    endpoint: EndpointId
    region: RegionId
    address: str
    serves: str
    is_engine: bool


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """The total load that another region last reported for one model or service."""

    region: RegionId
    open_requests: int
    slots: int
    step_ms: float
    price: float


class FleetView:
    """Live and leaving gateways and endpoints, re-read every ``REFRESH_S`` seconds."""

    def __init__(
        self, identity: SelfIdentity, instance_list: InstanceListClient, facts: FactStore
    ) -> None:
        self._identity = identity
        self._instance_list = instance_list
        self._facts = facts
        self._instances: list[Instance] = []
        self._listed_since_s: dict[InstanceId, float] = {}
        self._is_reachable = True
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="fleet", daemon=True)

    def start(self) -> None:
        """Read the list once, then periodically on a background thread."""
        self.refresh()
        self._thread.start()

    def stop(self) -> None:
        """Stop the periodic reads."""
        self._stopping.set()

    def refresh(self) -> None:
        """Read the list; while it is unreachable, the last one stays in use."""
        match self._instance_list.fetch():
            case Ok(instances):
                self._apply_list(instances)
            case Err(unreachable):
                if self._is_reachable:
                    reason = unreachable.reason
                    log_event(Event.PLATFORM_UNREACHABLE, service="instance list", reason=reason)
                self._is_reachable = False

    def instances(self) -> list[Instance]:
        """Return the rows of the last successful read."""
        return self._instances

    def region_peers(self) -> list[PeerAddress]:
        """Return the other listed gateways of this region, even if not presumed live."""
        return [
            _peer_address(row)
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region == self._identity.region
            and row.instance != self._identity.instance
            and row.peer_address
        ]

    def listed_addresses(self) -> set[str]:
        """Return the peer addresses of all listed gateways."""
        rows = self._instances
        return {row.peer_address for row in rows if row.kind is InstanceKind.GATEWAY}

    def bridged_peers(self) -> list[PeerAddress]:
        """Return one gateway of each other region to which this gateway is a bridge.

        Bridges are selected for each other region separately, which spreads the work over the
        gateways of a large region.
        """
        return [
            peer
            for peer in self._one_peer_of_each_other_region()
            if self.has_region_role(f"bridge/{peer.region}", BRIDGES_PER_REGION)
        ]

    def known_peers(self) -> list[PeerAddress]:
        """Return the other gateways of this region, then one of each other region."""
        return self.region_peers() + self._one_peer_of_each_other_region()

    def _one_peer_of_each_other_region(self) -> list[PeerAddress]:
        by_region: dict[RegionId, list[PeerAddress]] = {}
        for row in self._instances:
            is_remote = row.region != self._identity.region
            if row.kind is InstanceKind.GATEWAY and is_remote and row.peer_address:
                by_region.setdefault(row.region, []).append(_peer_address(row))
        return [random.choice(peers) for peers in by_region.values()]

    def remote_peers(self, region: RegionId) -> list[PeerAddress]:
        """Return the live gateways of another region in random order."""
        peers = [
            _peer_address(row)
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region == region
            and row.state is InstanceState.LIVE
            and row.peer_address
        ]
        random.shuffle(peers)
        return peers

    def find_peer(self, instance: InstanceId) -> PeerAddress | None:
        """Return the address of a gateway, or ``None`` if it is not listed."""
        for row in self._instances:
            if row.instance == instance and row.peer_address:
                return _peer_address(row)
        return None

    def live_gateways(self, region: RegionId) -> list[Instance]:
        """Return the gateways of a region that are presumed to accept new work."""
        return [
            row
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region == region
            and row.state is InstanceState.LIVE
            and self._is_presumed_live(row)
        ]

    def entry_instances(self, regions: Sequence[RegionId]) -> list[InstanceId]:
        """Return the sorted names of the listed gateways of some regions that are not leaving.

        A gateway that is not listed yet includes itself. Its capacity share is then slightly too
        large until the other gateways see it in the list.
        """
        names = {
            row.instance
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region in regions
            and row.state is InstanceState.LIVE
        }
        if self._identity.region in regions:
            names.add(self._identity.instance)
        return sorted(names)

    def gateway_fact(self, instance: InstanceId) -> Fact | None:
        """Return the last fact that a gateway of this region published about itself."""
        return self._facts.find(GATEWAY, instance)

    def has_region_role(self, role: str, holders: int) -> bool:
        """Whether this gateway is one of the ``holders`` of a role in its region.

        Every gateway computes the holders by rendezvous hashing over the live gateways, so no
        assignment is stored. While views differ, a role may have a few more holders.
        """
        live = [str(row.instance) for row in self.live_gateways(self._identity.region)]
        if self._identity.instance not in live:
            live.append(self._identity.instance)
        return self._identity.instance in rendezvous_order(role, live)[:holders]

    def endpoints(self, serves: str, region: RegionId, is_engine: bool) -> list[Endpoint]:
        """Return the endpoints of a region that accept new work for a model or service."""
        kind = InstanceKind.ENGINE if is_engine else InstanceKind.SERVICE
        return [
            _endpoint(row)
            for row in self._instances
            if row.kind is kind
            and row.region == region
            and row.serves == serves
            and row.state is InstanceState.LIVE
            and not self.is_leaving(EndpointId(row.instance))
        ]

    def region_endpoints(self) -> list[Endpoint]:
        """Return every endpoint of this region, including leaving ones."""
        return [
            _endpoint(row)
            for row in self._instances
            if row.kind is not InstanceKind.GATEWAY and row.region == self._identity.region
        ]

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Whether a gateway of the region has reported that the endpoint is leaving."""
        return self._facts.find(ENDPOINT_LEAVING, endpoint) is not None

    def regions(self) -> list[RegionId]:
        """Return the regions that have gateways and this region, sorted by name."""
        rows = [row for row in self._instances if row.kind is InstanceKind.GATEWAY]
        return sorted({row.region for row in rows} | {self._identity.region})

    def region_loads(self, serves: str) -> list[RegionLoad]:
        """Return the last load that each other region reported for a model or service."""
        loads = []
        for fact in self._facts.of_kind(REGION_LOAD):
            region, _, name = fact.subject.partition("/")
            if name == serves and region != self._identity.region:
                open_requests = fact.load.running + fact.load.queued
                loads.append(
                    RegionLoad(
                        RegionId(region),
                        open_requests,
                        fact.load.slots,
                        fact.load.step_ms,
                        fact.load.price,
                    )
                )
        return sorted(loads, key=lambda load: load.region)

    def served_in_any_region(self) -> list[str]:
        """Return the models and services for which any region has reported a load, sorted."""
        facts = self._facts.of_kind(REGION_LOAD)
        return sorted({fact.subject.partition("/")[2] for fact in facts})

    def _run(self) -> None:
        while not self._stopping.wait(REFRESH_S):
            self.refresh()

    def _apply_list(self, instances: list[Instance]) -> None:
        now_s = time.monotonic()
        if not self._is_reachable:
            log_event(Event.PLATFORM_RECOVERED, service="instance list")
        self._is_reachable = True
        before = {row.instance: row.state for row in self._instances}
        for row in instances:
            self._listed_since_s.setdefault(row.instance, now_s)
            is_newly_leaving = (
                row.state is InstanceState.LEAVING
                and before.get(row.instance, InstanceState.LIVE) is InstanceState.LIVE
            )
            if is_newly_leaving and row.kind is not InstanceKind.GATEWAY:
                log_event(Event.ENDPOINT_LEAVING, endpoint=row.instance, source="instance list")
        listed = {row.instance for row in instances}
        self._listed_since_s = {
            name: since_s for name, since_s in self._listed_since_s.items() if name in listed
        }
        self._instances = instances

    def _is_presumed_live(self, row: Instance) -> bool:
        if row.instance == self._identity.instance or row.region != self._identity.region:
            return True
        fact = self._facts.find(GATEWAY, row.instance)
        if fact is not None:
            return not fact.gateway.draining
        listed_since_s = self._listed_since_s.get(row.instance, 0.0)
        return time.monotonic() - listed_since_s < UNREPORTED_GRACE_S


def _peer_address(row: Instance) -> PeerAddress:
    return PeerAddress(row.instance, row.region, row.peer_address)


def _endpoint(row: Instance) -> Endpoint:
    return Endpoint(
        endpoint=EndpointId(row.instance),
        region=row.region,
        address=row.address,
        serves=row.serves,
        is_engine=row.kind is InstanceKind.ENGINE,
    )
