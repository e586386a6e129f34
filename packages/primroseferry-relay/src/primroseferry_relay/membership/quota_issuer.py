"""Issues a region's share of the workspaces' quotas, and exchanges units with other regions.

Each region owns an equal share of each quota, so the regions keep it together even if they are
partitioned from each other. Demand moves between regions, so a region that lacks units asks the
issuers of the others for what they do not need. The giver subtracts the units before it sends them:
a lost datagram loses units and never adds any.
"""

from __future__ import annotations

import itertools
import math
import threading
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import xxhash
from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.hashing import rendezvous_order
from primroseferry_policy.quota_bucket import Issued
from primroseferry_policy.quota_bucket import QuotaBucket
from primroseferry_policy.quota_bucket import QuotaShare

from .codec import encode
from .datagrams import QuotaTransfer
from .datagrams import QuotaTransferRequest
from .datagrams import WorkspaceHash
from .permit_issuer import IssuerRole

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import WorkspaceId

    from ..routes.workspace import Quota
    from ..routes.workspace import Workspace
    from ..routes.workspace import WorkspaceDirectory
    from .peer_table import PeerTable

# Far more workspaces than are in use at one time.
MAX_BUCKETS = 4_096
MAX_PENDING_TRANSFERS = 4_096
# How often a region asks the others for units of a workspace.
TRANSFER_INTERVAL_S = 0.1
# A round trip between regions, with the time until the other gateway handles the datagram.
TRANSFER_WAIT_S = 0.13
# Other regions are waited for until they gave nothing for this long after they were asked.
TRANSFER_MEMORY_S = 0.6
# A gateway that does not issue the quota by its own roster has the other one ask again soon.
UNKNOWN_WAIT_S = 0.1
MIN_WAIT_S = 0.005
# A process that did nothing for so long was suspended, and others may have issued in its place.
SUSPENDED_AFTER_S = 1.0


class UnitFlow(Enum):
    """Where the units of quotas went; the values are labels of a metric."""

    ISSUED = "issued"
    GIVEN = "given-to-regions"
    RECEIVED = "received-from-regions"


@dataclass(slots=True)
class _IssuedQuota:
    bucket: QuotaBucket
    asked_s: float = float("-inf")
    asking_since_s: float = float("-inf")
    given_s: float = float("-inf")


def workspace_hash(name: WorkspaceId) -> WorkspaceHash:
    """Return a 64-bit hash of a workspace's name, as datagrams carry it."""
    return WorkspaceHash(xxhash.xxh3_64_intdigest(name.encode()))


class QuotaIssuer:
    """The buckets of the workspaces for which this gateway is the issuer of its region."""

    def __init__(
        self,
        peers: PeerTable,
        workspaces: Callable[[], WorkspaceDirectory | None],
        region_count: int,
        clock_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._workspaces = workspaces
        self._region_count = max(1, region_count)
        self._clock_s = clock_s
        self._own_address: Callable[[], str] = str
        self._send: Callable[[str, bytes], None] = lambda _address, _data: None
        self._numbers = itertools.count(rng.getrandbits(31))
        self._buckets: dict[WorkspaceHash, _IssuedQuota] = {}
        self._standby_buckets: BoundedMap[WorkspaceHash, QuotaBucket] = BoundedMap(MAX_BUCKETS)
        self._pending: BoundedMap[int, WorkspaceHash] = BoundedMap(MAX_PENDING_TRANSFERS)
        self._by_hash: dict[WorkspaceHash, Workspace] = {}
        self._directory: WorkspaceDirectory | None = None
        self._roster: tuple[InstanceId, ...] = ()
        self._ticked_s = clock_s()
        self._flows: Counter[UnitFlow] = Counter()
        self._lock = threading.RLock()

    def connect(self, own_address: Callable[[], str], send: Callable[[str, bytes], None]) -> None:
        """Set the function that sends datagrams, and the address that gets the replies."""
        self._own_address, self._send = own_address, send

    def flows(self) -> Mapping[UnitFlow, int]:
        """Return how many units this gateway issued, gave and received as an issuer."""
        with self._lock:
            return dict(self._flows)

    def tick(self) -> None:
        """Start with an empty bucket for each workspace whose issuer this gateway has become."""
        directory = self._workspaces()
        roster = tuple(sorted(self._peers.ready_in(self._peers.own_region)))
        with self._lock:
            now_s = self._clock_s()
            if now_s - self._ticked_s >= SUSPENDED_AFTER_S:
                self._buckets, self._roster = {}, ()
                self._standby_buckets.clear()
            self._ticked_s = now_s
            if directory is self._directory and roster == self._roster:
                return
            if directory is not self._directory:
                self._apply_directory(directory)
            self._roster = roster
            own = self._peers.own_instance
            issued = {}
            for key, workspace in self._by_hash.items():
                order = self._peers.order_by_key(workspace.name)
                if not order:
                    # The other gateways are not known yet; look again with the next call.
                    self._roster = ()
                elif order[0] == own:
                    issued[key] = self._buckets.get(key) or _IssuedQuota(QuotaBucket(self._clock_s))
            self._buckets = issued

    def take(
        self, key: WorkspaceHash, cost: float, extra: float, role: IssuerRole
    ) -> Issued | None:
        """Issue units, or say when to ask again; ``None`` if this gateway is not the issuer."""
        self.tick()
        with self._lock:
            workspace = self._by_hash.get(key)
            quota = workspace.quota if workspace is not None else None
            if quota is None:
                return None
            issued_quota = self._buckets.get(key)
            if issued_quota is not None:
                return self._take_as_issuer(key, quota, issued_quota, cost, extra)
            if role is not IssuerRole.STANDBY:
                return None
            share = self._share(quota, IssuerRole.STANDBY.share)
            bucket = self._standby_buckets.get(key)
            if bucket is None:
                bucket = QuotaBucket(self._clock_s)
                self._standby_buckets.put(key, bucket)
            return self._counted(bucket.take(share, cost))

    def on_transfer_request(self, request: QuotaTransferRequest) -> None:
        """Send another region what this one does not need; nothing if this is not the issuer."""
        self.tick()
        with self._lock:
            workspace = self._by_hash.get(request.workspace)
            issued_quota = self._buckets.get(request.workspace)
            if workspace is None or workspace.quota is None or issued_quota is None:
                return
            share = self._share(workspace.quota)
            given = issued_quota.bucket.give(share, request.units)
            self._flows[UnitFlow.GIVEN] += given
        transfer = QuotaTransfer(request.number, given)
        self._send(request.reply_to, encode(transfer))

    def on_transfer(self, transfer: QuotaTransfer) -> None:
        """Add the units of another region, once for each request."""
        with self._lock:
            key = self._pending.pop(transfer.number, None)
            issued_quota = self._buckets.get(key) if key is not None else None
            workspace = self._by_hash.get(key) if key is not None else None
            if issued_quota is None or workspace is None or workspace.quota is None:
                return
            if transfer.units > 0:
                issued_quota.given_s = self._clock_s()
                issued_quota.bucket.add(self._share(workspace.quota), transfer.units)
                self._flows[UnitFlow.RECEIVED] += transfer.units

    def dump(self) -> dict[str, float]:
        """Return the units of each bucket by workspace, for the state dump."""
        with self._lock:
            return {
                self._by_hash[key].name: round(issued.bucket.units(self._share(quota)))
                for key, issued in self._buckets.items()
                if (quota := self._by_hash[key].quota) is not None
            }

    def _take_as_issuer(
        self,
        key: WorkspaceHash,
        quota: Quota,
        issued_quota: _IssuedQuota,
        cost: float,
        extra: float,
    ) -> Issued:
        share = self._share(quota)
        issued = issued_quota.bucket.take(share, cost, extra)
        self._ask_other_regions(key, issued_quota, share)
        now_s = self._clock_s()
        if issued.units > 0:
            return self._counted(issued)
        hopeful_since_s = max(issued_quota.given_s, issued_quota.asking_since_s)
        asked_lately = now_s - issued_quota.asked_s < TRANSFER_WAIT_S
        if asked_lately and now_s - hopeful_since_s < TRANSFER_MEMORY_S:
            issued = Issued(0.0, min(issued.wait_s, TRANSFER_WAIT_S))
        return Issued(0.0, max(MIN_WAIT_S, issued.wait_s))

    def _ask_other_regions(
        self, key: WorkspaceHash, issued_quota: _IssuedQuota, share: QuotaShare
    ) -> None:
        now_s = self._clock_s()
        wanted = math.ceil(issued_quota.bucket.wanted(share))
        if wanted <= 0 or now_s - issued_quota.asked_s < TRANSFER_INTERVAL_S:
            return
        name = self._by_hash[key].name
        issuers = [self._issuer_address(region, name) for region in sorted(self._peers.regions())]
        addresses = [address for address in issuers if address]
        if not addresses:
            return
        if now_s - issued_quota.asked_s > TRANSFER_MEMORY_S:
            issued_quota.asking_since_s = now_s
        issued_quota.asked_s = now_s
        for address in addresses:
            number = next(self._numbers) & 0xFFFFFFFF
            self._pending.put(number, key)
            request = QuotaTransferRequest(self._own_address(), number, key, wanted)
            self._send(address, encode(request))

    def _issuer_address(self, region: RegionId, name: WorkspaceId) -> str:
        peers = {str(peer.instance): peer for peer in self._peers.ready_peers(region)}
        order = rendezvous_order(name, list(peers))
        return peers[order[0]].address.report if order else ""

    def _share(self, quota: Quota, part: float = 1.0) -> QuotaShare:
        """Return the region's share of a quota, less that of gateways it has lost sight of."""
        part *= self._peers.known_region_share() / self._region_count
        return QuotaShare(quota.rate_per_s * part, max(1.0, quota.burst * part))

    def _apply_directory(self, directory: WorkspaceDirectory | None) -> None:
        self._directory = directory
        workspaces = directory.by_name.values() if directory is not None else ()
        self._by_hash = {workspace_hash(entry.name): entry for entry in workspaces}
        for key, issued_quota in self._buckets.items():
            workspace = self._by_hash.get(key)
            if workspace is not None and workspace.quota is not None:
                issued_quota.bucket.limit(self._share(workspace.quota))

    def _counted(self, issued: Issued) -> Issued:
        self._flows[UnitFlow.ISSUED] += round(issued.units)
        return issued
