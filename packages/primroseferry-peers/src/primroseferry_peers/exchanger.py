"""Spreads facts and the number of the plan revision among gateways.

Each round a gateway exchanges with two fixed neighbours of its region, the next one by name and
one about the square root of the region's size further on, so that an exchange carries only what
changed since the last round. Now and then it exchanges with a random peer too, which heals whatever
the neighbours missed. The few gateways that bridge regions also exchange with one gateway of each
other region. An urgent change is pushed to a few random peers at once, each of which pushes it on,
so that it crosses a region in a few round trips.
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
FAILED_PEER_REST_S = 5.0
URGENT_FANOUT = 3
URGENT_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer is reached."""

    instance: InstanceId
    region: RegionId
    address: str


@dataclass(frozen=True, slots=True)
class SelfIdentity:
    """Who this gateway is to its peers."""

    instance: InstanceId
    incarnation: IncarnationId
    region: RegionId


class ExchangePartners(Protocol):
    """Whom to exchange with, as the fleet stands now."""

    def region_peers(self) -> list[PeerAddress]:
        """Return the other gateways of the region."""

    def listed_addresses(self) -> set[str]:
        """Return the addresses of all other gateways that are listed."""

    def bridged_peers(self) -> list[PeerAddress]:
        """Return one gateway of each other region if this gateway bridges, else nothing."""


class PlansRevision(Protocol):
    """What the exchange needs of the plans."""

    def held_revision(self) -> int:
        """Return the revision in force here."""

    def hear_revision(self, revision: int, address: str) -> None:
        """Note that the peer at ``address`` holds ``revision``."""


@dataclass(slots=True)
class _PeerProgress:
    incarnation: str = ""
    seen_sequence: int = 0
    sent_sequence: int = 0
    rest_until_s: float = 0.0


def neighbours(me: str, peers: Sequence[PeerAddress]) -> list[PeerAddress]:
    """Return the peers with which ``me`` exchanges each round.

    The next one by name joins all into a ring; the one a square root of the size further on makes
    the way around it short.
    """
    ordered = sorted(peers, key=lambda peer: (peer.instance <= me, peer.instance))
    if not ordered:
        return []
    skip = round(math.sqrt(len(ordered) + 1)) - 1
    far = ordered[skip]
    return [ordered[0]] if far is ordered[0] else [ordered[0], far]


class Exchanger:
    """Runs the rounds of one gateway on the event loop."""

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
        facts.listen(self._note_joined)

    @property
    def message_bytes(self) -> int:
        """Bytes of all messages sent and received in exchanges, without HTTP/2 framing."""
        return self._bytes

    async def run(self) -> None:
        """Exchange until cancelled."""
        self._loop = asyncio.get_running_loop()
        while True:
            is_urgent = await self._wait_round()
            try:
                await self._run_round(is_urgent)
            except Exception as error:
                log_event(Event.PEER_EXCHANGE_FAILED, reason=repr(error))

    def push_soon(self) -> None:
        """Start an urgent round from any thread."""
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._urgent.set)

    async def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Take in a peer's facts and answer with those it lacks."""
        self._facts.accept(request.facts, heard_from=request.incarnation)
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
        """Return this round's neighbours, and at times a random peer."""
        now_s = time.monotonic()
        usable = [
            peer
            for peer in region_peers
            if self._progress.get(peer.address, _PeerProgress()).rest_until_s <= now_s
        ]
        self._round += 1
        chosen = neighbours(self._identity.instance, usable)
        if self._round % RANDOM_PEER_ROUNDS == 0:
            self._forget_unlisted()
        if region_peers and self._round % RANDOM_PEER_ROUNDS == 0:
            extra = self._random.choice(region_peers)
            if extra not in chosen:
                chosen.append(extra)
        return chosen

    def _forget_unlisted(self) -> None:
        """Close what is kept for gateways that were replaced."""
        listed = self._partners.listed_addresses()
        self._client.forget_all_but(listed)
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
            progress.rest_until_s = time.monotonic() + FAILED_PEER_REST_S
            log_event(Event.PEER_EXCHANGE_FAILED, peer=peer.instance, reason=str(error))
            return
        progress.rest_until_s = 0.0
        self._bytes += request.ByteSize() + reply.ByteSize()
        if reply.incarnation != progress.incarnation:
            self._progress[peer.address] = _PeerProgress(incarnation=reply.incarnation)
        else:
            progress.sent_sequence = sequence
            progress.seen_sequence = reply.sequence
        self._facts.accept(reply.facts, heard_from=reply.incarnation)
        self._plans.hear_revision(reply.plans_revision, peer.address)
