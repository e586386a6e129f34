"""Distributes facts and the plan revision among gateways by gossip.

Each round, a gateway exchanges with two fixed neighbours of its region: the next one by name, and
the one about the square root of the region's size further on. With fixed neighbours, an exchange
carries only the changes since the last round. Every ``RANDOM_PEER_ROUNDS`` rounds, the gateway also
exchanges with a random peer, which delivers facts that did not arrive through the neighbours. The
few gateways that bridge regions also exchange with one gateway of each other region. Urgent changes
are pushed immediately to a few random peers, each of which pushes them on, so that they reach the
whole region in a few round trips.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .peer_client import PeerError
from .proto.peer_pb2 import GATEWAY
from .proto.peer_pb2 import ExchangeReply
from .proto.peer_pb2 import ExchangeRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId

    from .fact_store import FactStore
    from .peer_client import PeerClient
    from .proto.peer_pb2 import Fact

ROUND_S = 1.0
RANDOM_PEER_ROUNDS = 10
FAILED_PEER_BACKOFF_S = 5.0
URGENT_FANOUT = 3
URGENT_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """A peer and its address (``ip:port``) for the peer protocol."""

    instance: InstanceId
    region: RegionId
    address: str


@dataclass(frozen=True, slots=True)
class SelfIdentity:
    """The identity under which this gateway appears to its peers."""

    instance: InstanceId
    incarnation: IncarnationId
    region: RegionId


class ExchangePartners(Protocol):
    """The gateways to exchange with, according to the current view of the fleet."""

    def region_peers(self) -> list[PeerAddress]:
        """Return the other gateways of the region."""

    def listed_addresses(self) -> set[str]:
        """Return the addresses of all other gateways that are listed."""

    def bridged_peers(self) -> list[PeerAddress]:
        """Return one gateway of each region to which this gateway is a bridge."""


class PlansRevision(Protocol):
    """The methods of the plans that the exchange uses."""

    def held_revision(self) -> int:
        """Return the revision in force on this gateway."""

    def note_peer_revision(self, revision: int, address: str) -> None:
        """Note that the peer at ``address`` holds ``revision``."""


@dataclass(slots=True)
class _PeerProgress:
    incarnation: str = ""
    seen_sequence: int = 0
    sent_sequence: int = 0
    backoff_until_s: float = 0.0


def neighbours(instance: str, peers: Sequence[PeerAddress]) -> list[PeerAddress]:
    """Return the peers with which ``instance`` exchanges each round, at most two.

    The next peer by name connects all gateways in a ring. The one a square root of the ring's size
    further on is a shortcut, which reduces the number of hops around the ring.
    """
    ordered = sorted(peers, key=lambda peer: (peer.instance <= instance, peer.instance))
    if not ordered:
        return []
    skip = round(math.sqrt(len(ordered) + 1)) - 1
    shortcut = ordered[skip]
    return [ordered[0]] if shortcut is ordered[0] else [ordered[0], shortcut]


class Exchanger:
    """Runs the exchange rounds of one gateway on the event loop."""

    def __init__(
        self,
        identity: SelfIdentity,
        client: PeerClient,
        facts: FactStore,
        partners: ExchangePartners,
        plans: PlansRevision,
    ) -> None:
        self._identity = identity
        self._client = client
        self._facts = facts
        self._partners = partners
        self._plans = plans
        self._progress: dict[str, _PeerProgress] = {}
        self._random = random.Random(identity.incarnation)
        self._urgent = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._joined: set[str] = set()
        self._round = 0
        self._bytes = 0
        facts.add_listener(self._note_joined)

    @property
    def message_bytes(self) -> int:
        """Bytes of all exchange messages sent and received, without HTTP/2 framing."""
        return self._bytes

    async def run(self) -> None:
        """Run exchange rounds until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            is_urgent = await self._wait_round()
            try:
                await self._run_round(is_urgent)
            except Exception as error:
                log_event(Event.PEER_EXCHANGE_FAILED, reason=repr(error))

    def push_soon(self) -> None:
        """Start an urgent round; safe on any thread."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._urgent.set)

    async def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Accept a peer's facts and reply with those that it does not have."""
        self._facts.accept(request.facts, received_from=request.incarnation)
        is_remote = request.region != self._identity.region
        sequence = self._facts.sequence
        since = request.since if request.since <= sequence else 0
        reply = ExchangeReply(
            incarnation=self._identity.incarnation,
            sequence=sequence,
            facts=self._facts.since(since, request.incarnation, is_peer_remote=is_remote),
            plans_revision=self._plans.held_revision(),
        )
        self._bytes += request.ByteSize() + reply.ByteSize()
        return reply

    async def _wait_round(self) -> bool:
        pause_s = ROUND_S * self._random.uniform(0.8, 1.2)
        try:
            await asyncio.wait_for(self._urgent.wait(), pause_s)
        except TimeoutError:
            return False
        await asyncio.sleep(URGENT_DELAY_S)
        self._urgent.clear()
        return True

    async def _run_round(self, is_urgent: bool) -> None:
        self._note_lost(self._facts.drop_expired())
        region_peers = self._partners.region_peers()
        if is_urgent:
            chosen = self._random.sample(region_peers, min(len(region_peers), URGENT_FANOUT))
        else:
            chosen = self._round_peers(region_peers)
        bridged = self._partners.bridged_peers()
        await asyncio.gather(*(self._exchange(peer) for peer in [*chosen, *bridged]))

    def _round_peers(self, region_peers: list[PeerAddress]) -> list[PeerAddress]:
        """Return this round's peers: the neighbours and, in some rounds, a random peer."""
        now_s = time.monotonic()
        usable = [
            peer
            for peer in region_peers
            if self._progress.get(peer.address, _PeerProgress()).backoff_until_s <= now_s
        ]
        self._round += 1
        chosen = neighbours(self._identity.instance, usable)
        if self._round % RANDOM_PEER_ROUNDS == 0:
            self._remove_unlisted()
        if region_peers and self._round % RANDOM_PEER_ROUNDS == 0:
            extra = self._random.choice(region_peers)
            if extra not in chosen:
                chosen.append(extra)
        return chosen

    def _remove_unlisted(self) -> None:
        """Close channels to gateways that are no longer listed and drop their progress."""
        listed = self._partners.listed_addresses()
        self._client.retain_only(listed)
        for address in self._progress.keys() - listed:
            del self._progress[address]

    def _note_joined(self, fact: Fact) -> None:
        if fact.kind == GATEWAY and fact.subject not in self._joined:
            self._joined.add(fact.subject)
            log_event(Event.PEER_JOINED, peer=fact.subject)

    def _note_lost(self, expired: list[Fact]) -> None:
        for fact in expired:
            if fact.kind == GATEWAY:
                self._joined.discard(fact.subject)
                log_event(Event.PEER_LOST, peer=fact.subject)

    async def _exchange(self, peer: PeerAddress) -> None:
        progress = self._progress.setdefault(peer.address, _PeerProgress())
        is_remote = peer.region != self._identity.region
        sequence = self._facts.sequence
        request = ExchangeRequest(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            region=self._identity.region,
            since=progress.seen_sequence,
            facts=self._facts.since(
                progress.sent_sequence, progress.incarnation, is_peer_remote=is_remote
            ),
            plans_revision=self._plans.held_revision(),
        )
        try:
            reply = await self._client.exchange(peer.address, request)
        except PeerError as error:
            progress.backoff_until_s = time.monotonic() + FAILED_PEER_BACKOFF_S
            log_event(Event.PEER_EXCHANGE_FAILED, peer=peer.instance, reason=str(error))
            return
        progress.backoff_until_s = 0.0
        self._bytes += request.ByteSize() + reply.ByteSize()
        if reply.incarnation != progress.incarnation:
            self._progress[peer.address] = _PeerProgress(incarnation=reply.incarnation)
        else:
            progress.sent_sequence = sequence
            progress.seen_sequence = reply.sequence
        self._facts.accept(reply.facts, received_from=reply.incarnation)
        self._plans.note_peer_revision(reply.plans_revision, peer.address)
