"""Permits to send requests to endpoints that named a request limit.

A region's gateways share the limit of an endpoint. One of them, chosen by rendezvous hashing,
issues a permit for each request from a token bucket; the others ask it by datagram. So the limit
goes to the gateways that have requests, whatever their number, and a lost datagram costs a permit
instead of exceeding the limit. While the issuer does not reply, the next gateway in the order
issues a part of the limit.
"""

from __future__ import annotations

import itertools
import math
import random
import threading
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from ..endpoints.endpoint_point import run_hash
from .codec import encode
from .datagrams import PermitReply
from .datagrams import PermitRequest
from .issuer_timeouts import IssuerTimeouts
from .permit_issuer import IssuerRole
from .permit_issuer import PermitDecision
from .permit_issuer import PermitIssuer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import InstanceId

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import RunHash
    from ..endpoints.request_limits import RequestLimits
    from .peer_table import PeerTable

# How long a request waits for a permit. The round trip within a region takes some milliseconds,
# and up to ten more at a gateway that handles datagrams in batches.
REPLY_TIMEOUT_S = 0.1
# A permit that arrives too late for its request may be used by another one until this time after
# it was asked for.
PERMIT_LIFETIME_S = 0.5
# An issuer counts as unresponsive after this many timeouts in a row, since single datagrams may be
# lost, over at least this time, since requests that wait during a short pause time out together.
MIN_TIMEOUTS = 4
MIN_UNRESPONSIVE_S = 0.3
# Wait after a timeout, and while no issuer is known.
UNKNOWN_WAIT_S = 0.1
MAX_BLOCKED_RUNS = 4_096
MAX_PENDING = 10_000


class PermitOutcome(Enum):
    """What became of a permit that a request asked for; the values are labels of a metric."""

    GRANTED = "granted"
    GRANTED_BY_STANDBY = "granted-by-standby"
    TAKEN_FROM_SPARE = "spare"
    DENIED = "denied"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class _DenialKey:
    """A denial holds for requests of the same urgency."""

    run: EndpointRun
    is_urgent: bool


@dataclass(slots=True)
class PendingPermit:
    """A permit that was asked for; ``outcome`` is ``None`` until there is one."""

    run: EndpointRun
    is_urgent: bool
    number: int
    role: IssuerRole
    issuer: InstanceId | None
    asked_s: float
    outcome: PermitOutcome | None = None
    done: threading.Event = field(default_factory=threading.Event)

    @property
    def is_granted(self) -> bool:
        """Whether the request may be sent."""
        return self.outcome not in (None, PermitOutcome.DENIED, PermitOutcome.TIMED_OUT)


class RequestPermits:
    """Asks for permits of one gateway's requests, and issues them to other gateways."""

    def __init__(
        self, limits: RequestLimits, peers: PeerTable, rng: random.Random | None = None
    ) -> None:
        rng = rng or random.Random()
        self.limits = limits
        self._peers = peers
        self._clock_s = limits.now_s
        self._issuer = PermitIssuer(self._clock_s, rng)
        self._own_address: Callable[[], str] = str
        self._send: Callable[[str, bytes], None] = lambda _address, _data: None
        # Replies to an earlier run of this process must not match.
        self._numbers = itertools.count(rng.getrandbits(31))
        self._pending: BoundedMap[int, PendingPermit] = BoundedMap(MAX_PENDING)
        self._blocked_until_s: BoundedMap[_DenialKey, float] = BoundedMap(MAX_BLOCKED_RUNS)
        self._spare_until_s: BoundedMap[EndpointRun, deque[float]] = BoundedMap(MAX_BLOCKED_RUNS)
        self._timeouts = IssuerTimeouts(peers, MIN_TIMEOUTS, MIN_UNRESPONSIVE_S)
        self._outcomes: Counter[PermitOutcome] = Counter()
        self._lock = threading.Lock()

    def connect(self, own_address: Callable[[], str], send: Callable[[str, bytes], None]) -> None:
        """Set the function that sends datagrams, and the address that gets the replies."""
        self._own_address, self._send = own_address, send

    def outcomes(self) -> Mapping[PermitOutcome, int]:
        """Return how many permits this gateway asked for had each outcome."""
        with self._lock:
            return dict(self._outcomes)

    def wait_s(self, run: EndpointRun, is_urgent: bool) -> float:
        """Return the seconds until it makes sense to ask for a permit, 0 if no limit is known."""
        if self.limits.limit_per_s(run) is None:
            return 0.0
        blocked_until_s = self._blocked_until_s.get(_DenialKey(run, is_urgent), 0.0)
        return max(0.0, blocked_until_s - self._clock_s())

    def acquire(self, run: EndpointRun, is_urgent: bool) -> bool:
        """Wait until a request may be sent to a run or is denied; return whether it may."""
        pending = self.ask(run, is_urgent)
        if pending is None:
            return True
        if not pending.done.wait(REPLY_TIMEOUT_S):
            self.time_out(pending)
        return pending.is_granted

    def ask(self, run: EndpointRun, is_urgent: bool) -> PendingPermit | None:
        """Ask for one permit without waiting for the reply; ``None`` if no limit is known."""
        limit_per_s = self.limits.limit_per_s(run)
        if limit_per_s is None:
            return None
        now_s = self._clock_s()
        hashed_run = run_hash(run)
        role, issuer = self._timeouts.choose(str(hashed_run), now_s)
        pending = PendingPermit(run, is_urgent, next(self._numbers), role, issuer, now_s)
        if self._take_spare(run, now_s):
            self._finish(pending, PermitOutcome.TAKEN_FROM_SPARE)
        elif issuer is None:
            self._settle(pending, PermitDecision(False, UNKNOWN_WAIT_S))
        elif issuer == self._peers.own_instance:
            decision = self._issuer.take(hashed_run, limit_per_s, role, is_urgent)
            self._settle(pending, decision)
        else:
            with self._lock:
                self._pending.put(pending.number, pending)
            request = PermitRequest(
                self._own_address(), pending.number, role, is_urgent, hashed_run, limit_per_s
            )
            self._send(self._peers.report_address(issuer), encode(request))
        return pending

    def time_out(self, pending: PendingPermit) -> None:
        """Give up waiting for a reply; repeated timeouts make the issuer count as unresponsive."""
        if pending.done.is_set():
            return
        self._block(pending, UNKNOWN_WAIT_S)
        self._finish(pending, PermitOutcome.TIMED_OUT)
        if pending.issuer is None:
            return
        if self._timeouts.note_timeout(pending.issuer, pending.asked_s, self._clock_s()):
            log_event(
                Event.PERMIT_ISSUER_TIMED_OUT, peer=pending.issuer, endpoint=pending.run.endpoint
            )

    def on_request(self, request: PermitRequest) -> None:
        """Issue a permit to another gateway, or tell it when to ask again."""
        limit_per_s = request.limit_per_s
        run = self.limits.find_run(request.run)
        own_per_s = self.limits.limit_per_s(run) if run is not None else None
        if own_per_s is not None:
            # One of the two may not have heard yet of a change.
            limit_per_s = min(limit_per_s, own_per_s)
        decision = self._issue(request.run, limit_per_s, request.role, request.is_urgent)
        ask_again_ms = math.ceil(decision.ask_again_s * 1000)
        reply = PermitReply(request.number, decision.is_granted, ask_again_ms)
        self._send(request.reply_to, encode(reply))

    def on_reply(self, reply: PermitReply) -> None:
        """Pass the reply on to the request that waits for it, or keep a permit that came late."""
        now_s = self._clock_s()
        decision = PermitDecision(reply.is_granted, reply.ask_again_ms / 1000)
        with self._lock:
            pending = self._pending.pop(reply.number, None)
            if pending is None:
                return
            if pending.issuer is not None:
                self._timeouts.note_reply(pending.issuer)
            if now_s - pending.asked_s > PERMIT_LIFETIME_S:
                return
            is_late = pending.done.is_set()
            if is_late and decision.is_granted:
                spare = self._spare_until_s.get(pending.run) or deque()
                spare.append(pending.asked_s + PERMIT_LIFETIME_S)
                self._spare_until_s.put(pending.run, spare)
        if not is_late:
            self._settle(pending, decision)

    def _issue(
        self, run: RunHash, limit_per_s: float, role: IssuerRole, is_urgent: bool
    ) -> PermitDecision:
        order = self._issuer_order(run)
        own = self._peers.own_instance
        is_responsible = order[:1] == [own]
        is_standby = role is IssuerRole.STANDBY and own in order[:2]
        if not is_responsible and not is_standby:
            return PermitDecision(False, UNKNOWN_WAIT_S)
        own_role = IssuerRole.PRIMARY if is_responsible else IssuerRole.STANDBY
        return self._issuer.take(run, limit_per_s, own_role, is_urgent)

    def _issuer_order(self, run: RunHash) -> list[InstanceId]:
        return self._peers.order_by_key(str(run))

    def _take_spare(self, run: EndpointRun, now_s: float) -> bool:
        with self._lock:
            spare = self._spare_until_s.get(run)
            while spare and spare[0] <= now_s:
                spare.popleft()
            if not spare:
                return False
            spare.popleft()
            return True

    def _settle(self, pending: PendingPermit, decision: PermitDecision) -> None:
        if decision.ask_again_s > 0:
            self._block(pending, decision.ask_again_s)
        if not decision.is_granted:
            self._finish(pending, PermitOutcome.DENIED)
        elif pending.role is IssuerRole.STANDBY:
            self._finish(pending, PermitOutcome.GRANTED_BY_STANDBY)
        else:
            self._finish(pending, PermitOutcome.GRANTED)

    def _block(self, pending: PendingPermit, wait_s: float) -> None:
        key = _DenialKey(pending.run, pending.is_urgent)
        with self._lock:
            self._blocked_until_s.put(key, self._clock_s() + wait_s)

    def _finish(self, pending: PendingPermit, outcome: PermitOutcome) -> None:
        with self._lock:
            if pending.outcome is not None:
                return
            pending.outcome = outcome
            self._outcomes[outcome] += 1
        pending.done.set()
