"""The fleet as one gateway sees it: the lagging instance list, corrected by what peers say."""

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
UNHEARD_GRACE_S = 15.0
BRIDGES_PER_REGION = 2


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of some region, by the name that the instance list gives it."""

    endpoint: EndpointId
    region: RegionId
    address: str
    serves: str
    is_engine: bool


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """The summed load that another region last told for one model or service."""

    region: RegionId
    open_requests: int
    slots: int
    step_ms: float
    price: float


class FleetView:
    """Gateways and endpoints, live and leaving."""

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
        """Read the list once and go on reading it on a thread of its own."""
        self.refresh()
        self._thread.start()

    def stop(self) -> None:
        """Stop reading the list."""
        self._stopping.set()

    def refresh(self) -> None:
        """Read the list; while it is unreachable the last one stays in use."""
        match self._instance_list.fetch():
            case Ok(instances):
                self._take(instances)
            case Err(unreachable):
                if self._is_reachable:
                    reason = unreachable.reason
                    log_event(Event.PLATFORM_UNREACHABLE, service="instance list", reason=reason)
                self._is_reachable = False

    def instances(self) -> list[Instance]:
        """Return the list as last read."""
        return self._instances

    def region_peers(self) -> list[PeerAddress]:
        """Return the other gateways of this region, also those believed dead."""
        return [
            _peer_address(row)
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region == self._identity.region
            and row.instance != self._identity.instance
            and row.peer_address
        ]

    def listed_addresses(self) -> set[str]:
        """Return the addresses of all other gateways that are listed."""
        rows = self._instances
        return {row.peer_address for row in rows if row.kind is InstanceKind.GATEWAY}

    def bridged_peers(self) -> list[PeerAddress]:
        """Return one gateway of each other region to which this gateway is a bridge.

        Each other region has its own bridges, so that a large region spreads the work.
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
        """Return where a gateway is reached, or ``None`` where it is not listed."""
        for row in self._instances:
            if row.instance == instance and row.peer_address:
                return _peer_address(row)
        return None

    def live_gateways(self, region: RegionId) -> list[Instance]:
        """Return the gateways of a region that take new work, as far as is known here."""
        return [
            row
            for row in self._instances
            if row.kind is InstanceKind.GATEWAY
            and row.region == region
            and row.state is InstanceState.LIVE
            and self._is_believed_live(row)
        ]

    def entry_instances(self, regions: Sequence[RegionId]) -> list[InstanceId]:
        """Return the listed gateways of some regions that are not leaving, by name, with this one.

        A gateway that is not listed yet counts itself, and its share is then a little too large
        until the others see it.
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
        """Return what a gateway of this region last said of itself."""
        return self._facts.find(GATEWAY, instance)

    def has_region_role(self, role: str, holders: int) -> bool:
        """Whether this gateway is among the ``holders`` of a role in its region.

        Every gateway works the holders out by rendezvous hashing over the live ones, so that no
        role is ever assigned or kept. While views differ a role may have a few more holders.
        """
        live = [str(row.instance) for row in self.live_gateways(self._identity.region)]
        if self._identity.instance not in live:
            live.append(self._identity.instance)
        return self._identity.instance in rendezvous_order(role, live)[:holders]

    def endpoints(self, serves: str, region: RegionId, is_engine: bool) -> list[Endpoint]:
        """Return the endpoints of one region that take new work for a model or service."""
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
        """Return every endpoint of this region, leaving ones too."""
        return [
            _endpoint(row)
            for row in self._instances
            if row.kind is not InstanceKind.GATEWAY and row.region == self._identity.region
        ]

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Whether any gateway of the region was told that the endpoint is leaving."""
        return self._facts.find(ENDPOINT_LEAVING, endpoint) is not None

    def regions(self) -> list[RegionId]:
        """Return the regions that have gateways, in the order of their names."""
        rows = [row for row in self._instances if row.kind is InstanceKind.GATEWAY]
        return sorted({row.region for row in rows} | {self._identity.region})

    def region_loads(self, serves: str) -> list[RegionLoad]:
        """Return what other regions last told of their load for a model or service."""
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

    def served_elsewhere(self) -> list[str]:
        """Return the models and services of which other regions told their load."""
        facts = self._facts.of_kind(REGION_LOAD)
        return sorted({fact.subject.partition("/")[2] for fact in facts})

    def _run(self) -> None:
        while not self._stopping.wait(REFRESH_S):
            self.refresh()

    def _take(self, instances: list[Instance]) -> None:
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

    def _is_believed_live(self, row: Instance) -> bool:
        if row.instance == self._identity.instance or row.region != self._identity.region:
            return True
        fact = self._facts.find(GATEWAY, row.instance)
        if fact is not None:
            return not fact.gateway.draining
        listed_since_s = self._listed_since_s.get(row.instance, 0.0)
        return time.monotonic() - listed_since_s < UNHEARD_GRACE_S


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
