"""Units of workspaces' quotas that this gateway leases from the issuer of its region."""

from __future__ import annotations

import itertools
import math
import random
import threading
import time
from bisect import insort
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.quota_bucket import Issued
from primroseferry_policy.recent_sum import WINDOW_S
from primroseferry_policy.recent_sum import RecentSum
from primroseferry_policy.return_times import QuotaReturns

from ..endpoints.request_limits import clock_with_suspension_s
from ..routes.workspace import QuotaUnit
from .codec import encode
from .datagrams import QuotaReply
from .datagrams import QuotaRequest
from .issuer_timeouts import IssuerTimeouts
from .quota_issuer import UNKNOWN_WAIT_S
from .quota_issuer import QuotaIssuer
from .quota_issuer import workspace_hash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import WorkspaceId

    from ..routes.workspace import Quota
    from ..routes.workspace import Workspace
    from ..routes.workspace import WorkspaceDirectory
    from .peer_table import PeerTable

# How long a request waits for the issuer's reply; a round trip within the region takes some
# milliseconds, and up to ten more at a gateway that handles datagrams in batches.
REPLY_TIMEOUT_S = 0.1
# Beside the cost of a request, a gateway asks for its own demand of this time.
PREFETCH_S = 0.25
# Units that are not used for so long are lost. Together with ``PREFETCH_S`` it bounds what all
# gateways can send at once beyond the issuers' buckets.
LEASE_LIFETIME_S = 0.5
# How often one request asks.
MAX_ASKS = 4
# An issuer counts as unresponsive after this many timeouts in a row, over at least this time.
MIN_TIMEOUTS = 2
MIN_UNRESPONSIVE_S = 0.2
# Bounds of the random part of ``Retry-After``, so that rejected callers do not return together.
RETRY_SPREAD_S = 0.5
MAX_WORKSPACES = 4_096
MAX_PENDING = 10_000
# A workspace counts as within its quota again after this long without a denial.
WITHIN_QUOTA_AFTER_S = 5.0


class QuotaOutcome(Enum):
    """What became of a request's units; the values are labels of a metric."""

    FROM_LEASE = "from-lease"
    GRANTED = "granted"
    DENIED = "denied"
    NO_ISSUER = "no-issuer"
    GIVEN_BACK = "given-back"


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Whether a request may run by its workspace's quota.

    ``retry_after_s`` is set if it may not. ``is_unknown``: no issuer answered, so nothing is known
    of the quota. ``units`` were charged; they can be given back until ``until_s``.
    """

    is_granted: bool
    workspace: WorkspaceId | None = None
    units: float = 0.0
    retry_after_s: float = 0.0
    is_unknown: bool = False
    until_s: float = 0.0


UNLIMITED = QuotaGrant(is_granted=True)


@dataclass(slots=True)
class PendingLease:
    """Units that were asked for; ``issued`` is ``None`` until the issuer has answered.

    They end at ``until_s``, also while the reply or this process is held up.
    """

    workspace: WorkspaceId
    number: int
    issuer: InstanceId | None
    asked_s: float
    issued: Issued | None = None
    is_abandoned: bool = False
    until_s: float = 0.0
    done: threading.Event = field(default_factory=threading.Event)


@dataclass(slots=True)
class _Lease:
    """Leased units with the times at which they end, oldest first."""

    demand: RecentSum
    parts: list[tuple[float, float]] = field(default_factory=list)
    blocked_until_s: float = float("-inf")
    # When the issuer expects to have units, which may be later.
    more_at_s: float = float("-inf")
    denied_s: float = float("-inf")
    is_over: bool = False
    returns: QuotaReturns = field(default_factory=QuotaReturns)

    def take(self, cost: float, now_s: float) -> float | None:
        """Use ``cost`` units if the lease holds them, and return the time at which they end."""
        while self.parts and self.parts[0][0] <= now_s:
            self.parts.pop(0)
        if sum(units for _until_s, units in self.parts) < cost:
            return None
        first_until_s = self.parts[0][0] if self.parts else now_s
        while cost > 0:
            until_s, units = self.parts.pop(0)
            if units > cost:
                self.parts.insert(0, (until_s, units - cost))
            cost -= units
        return first_until_s

    def add(self, units: float, until_s: float) -> None:
        if units > 0:
            insort(self.parts, (until_s, units))


class QuotaLeases:
    """Charges requests to their workspaces' quotas, over all gateways together."""

    def __init__(
        self,
        peers: PeerTable,
        workspaces: Callable[[], WorkspaceDirectory | None],
        region_count: int = 1,
        clock_s: Callable[[], float] = clock_with_suspension_s,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._peers = peers
        self._clock_s = clock_s
        self._rng = rng or random.Random()
        self._sleep = sleep
        self.issuer = QuotaIssuer(peers, workspaces, region_count, clock_s, self._rng)
        self._own_address: Callable[[], str] = str
        self._send: Callable[[str, bytes], None] = lambda _address, _data: None
        # Replies to an earlier run of this process must not match.
        self._numbers = itertools.count(self._rng.getrandbits(31))
        self._pending: BoundedMap[int, PendingLease] = BoundedMap(MAX_PENDING)
        self._leases: BoundedMap[WorkspaceId, _Lease] = BoundedMap(MAX_WORKSPACES)
        self._timeouts = IssuerTimeouts(peers, MIN_TIMEOUTS, MIN_UNRESPONSIVE_S)
        self._outcomes: Counter[QuotaOutcome] = Counter()
        self._lock = threading.Lock()

    def connect(self, own_address: Callable[[], str], send: Callable[[str, bytes], None]) -> None:
        """Set the function that sends datagrams, and the address that gets the replies."""
        self._own_address, self._send = own_address, send
        self.issuer.connect(own_address, send)

    def outcomes(self) -> Mapping[QuotaOutcome, int]:
        """Return how many requests' units had each outcome."""
        with self._lock:
            return dict(self._outcomes)

    def balance(self, name: WorkspaceId) -> float:
        """Return the units that this gateway holds for a workspace now."""
        with self._lock:
            lease = self._leases.get(name)
            now_s = self._clock_s()
            parts = lease.parts if lease is not None else ()
            return sum(units for until_s, units in parts if until_s > now_s)

    def is_over(self, name: WorkspaceId) -> bool:
        """Whether a request of the workspace was denied here and none has been granted since."""
        with self._lock:
            lease = self._leases.get(name)
            return lease is not None and lease.is_over

    def acquire(
        self, workspace: Workspace, quota_tokens: int | None, max_wait_s: float
    ) -> QuotaGrant:
        """Charge one request; wait up to ``max_wait_s`` for units that are about to come."""
        if workspace.quota is None:
            return UNLIMITED
        cost = request_cost(workspace.quota, quota_tokens)
        until_s = self._clock_s() + max_wait_s
        issued: Issued | None = None
        for _ in range(MAX_ASKS):
            pending = self._charge(workspace.name, cost)
            if isinstance(pending, float):
                return self._granted(workspace.name, cost, QuotaOutcome.FROM_LEASE, pending)
            if not pending.done.wait(REPLY_TIMEOUT_S):
                self.time_out(pending)
            issued = pending.issued
            if issued is None:
                continue
            if issued.units > 0:
                if self._clock_s() >= pending.until_s:
                    continue
                return self._granted(workspace.name, cost, QuotaOutcome.GRANTED, pending.until_s)
            if self._clock_s() + issued.wait_s > until_s:
                break
            self._sleep(issued.wait_s)
        if issued is not None:
            return self._denied(workspace, cost, issued.wait_s)
        with self._lock:
            self._outcomes[QuotaOutcome.NO_ISSUER] += 1
        return QuotaGrant(False, retry_after_s=self._spread(1.0), is_unknown=True)

    def give_back(self, grant: QuotaGrant) -> None:
        """Return the units of a request that did not run; they can be used for a short time."""
        if grant.workspace is None or not grant.units or self._clock_s() >= grant.until_s:
            return
        with self._lock:
            self._outcomes[QuotaOutcome.GIVEN_BACK] += 1
            self._lease(grant.workspace).add(grant.units, grant.until_s)

    def ask(self, name: WorkspaceId, cost: float) -> PendingLease | None:
        """Use leased units and return ``None``, or ask the issuer without waiting for the reply."""
        pending = self._charge(name, cost)
        return pending if isinstance(pending, PendingLease) else None

    def _charge(self, name: WorkspaceId, cost: float) -> PendingLease | float:
        """Use leased units and return the time at which they end, or ask the issuer."""
        now_s = self._clock_s()
        with self._lock:
            lease = self._lease(name)
            lease_until_s = lease.take(cost, now_s)
            if lease_until_s is not None:
                lease.demand.add(round(cost))
                return lease_until_s
            role, issuer = self._timeouts.choose(name, now_s)
            number = next(self._numbers) & 0xFFFFFFFF
            until_s = now_s + LEASE_LIFETIME_S
            pending = PendingLease(name, number, issuer, now_s, until_s=until_s)
            if lease.blocked_until_s > now_s:
                # Other requests have just been denied; this one would be too.
                self._settle(pending, Issued(0.0, lease.more_at_s - now_s))
                return pending
            extra = lease.demand.total() / WINDOW_S * PREFETCH_S
            lease.demand.add(round(cost))
        key = workspace_hash(name)
        if issuer is None:
            pending.done.set()
        elif issuer == self._peers.own_instance:
            issued = self.issuer.take(key, cost, extra, role)
            self._receive(pending, cost, issued or Issued(0.0, UNKNOWN_WAIT_S))
        else:
            with self._lock:
                self._pending.put(pending.number, pending)
            request = QuotaRequest(
                self._own_address(),
                pending.number,
                role,
                key,
                math.ceil(cost),
                # Below one unit, a unit asked for in advance would mostly expire unused.
                math.floor(extra),
            )
            self._send(self._peers.report_address(issuer), encode(request))
        return pending

    def time_out(self, pending: PendingLease) -> None:
        """Give up waiting for a reply; repeated timeouts make the issuer count as unresponsive."""
        now_s = self._clock_s()
        with self._lock:
            if pending.done.is_set():
                return
            pending.is_abandoned = True
            if pending.issuer is None:
                return
            is_new = self._timeouts.note_timeout(pending.issuer, pending.asked_s, now_s)
        if is_new:
            log_event(
                Event.QUOTA_ISSUER_TIMED_OUT, peer=pending.issuer, workspace=pending.workspace
            )

    def on_request(self, request: QuotaRequest) -> None:
        """Issue units to another gateway, or tell it when to ask again."""
        issued = self.issuer.take(request.workspace, request.cost, request.extra, request.role)
        issued = issued or Issued(0.0, UNKNOWN_WAIT_S)
        wait_ms = math.ceil(issued.wait_s * 1000)
        reply = QuotaReply(request.number, request.cost, math.floor(issued.units), wait_ms)
        self._send(request.reply_to, encode(reply))

    def on_reply(self, reply: QuotaReply) -> None:
        """Pass units on to the request that waits for them, or keep those that came late."""
        with self._lock:
            pending = self._pending.pop(reply.number, None)
            if pending is None:
                return
            if pending.issuer is not None:
                self._timeouts.note_reply(pending.issuer)
        self._receive(pending, reply.cost, Issued(reply.units, reply.ask_again_ms / 1000))

    def _receive(self, pending: PendingLease, cost: float, issued: Issued) -> None:
        with self._lock:
            now_s = self._clock_s()
            lease = self._lease(pending.workspace)
            if issued.units <= 0:
                lease.blocked_until_s = now_s + min(issued.wait_s, LEASE_LIFETIME_S)
                lease.more_at_s = now_s + issued.wait_s
            elif now_s >= pending.until_s:
                return
            elif pending.is_abandoned:
                lease.add(issued.units, pending.until_s)
                return
            else:
                lease.add(issued.units - cost, pending.until_s)
            self._settle(pending, issued)

    def _settle(self, pending: PendingLease, issued: Issued) -> None:
        pending.issued = issued
        pending.done.set()

    def _lease(self, name: WorkspaceId) -> _Lease:
        lease = self._leases.get(name)
        if lease is None:
            lease = _Lease(RecentSum(self._clock_s))
            self._leases.put(name, lease)
        return lease

    def _granted(
        self, name: WorkspaceId, cost: float, outcome: QuotaOutcome, until_s: float
    ) -> QuotaGrant:
        with self._lock:
            self._outcomes[outcome] += 1
            lease = self._lease(name)
            ends = lease.is_over and self._clock_s() - lease.denied_s >= WITHIN_QUOTA_AFTER_S
            if ends:
                lease.is_over = False
        if ends:
            log_event(Event.WORKSPACE_WITHIN_QUOTA, workspace=name)
        return QuotaGrant(True, name, cost, until_s=until_s)

    def _denied(self, workspace: Workspace, cost: float, wait_s: float) -> QuotaGrant:
        name = workspace.name
        gateways = max(1, len(self._peers.ready_in(self._peers.own_region)))
        units_per_s = workspace.quota.rate_per_s / gateways if workspace.quota is not None else 0.0
        with self._lock:
            self._outcomes[QuotaOutcome.DENIED] += 1
            lease = self._lease(name)
            lease.denied_s = self._clock_s()
            begins = not lease.is_over
            lease.is_over = True
            return_s = lease.returns.reject(lease.denied_s, wait_s, cost, units_per_s)
        if begins:
            log_event(Event.WORKSPACE_OVER_QUOTA, workspace=name, ask_again_ms=round(wait_s * 1000))
        return QuotaGrant(False, name, retry_after_s=self._spread(return_s))

    def _spread(self, wait_s: float) -> float:
        return wait_s + self._rng.uniform(0.0, RETRY_SPREAD_S)


def request_cost(quota: Quota, quota_tokens: int | None) -> float:
    """Return what a request costs; ``quota_tokens`` are its prompt and maximum output tokens."""
    match quota.unit:
        case QuotaUnit.REQUESTS:
            return 1.0
        case QuotaUnit.TOKENS:
            return float(quota.uncached_tokens if quota_tokens is None else quota_tokens)
