"""What a gateway sends and makes of what it gets, as a member and as a collector of its region.

The class keeps no socket and no thread: it is told what arrived and when to look, and sends through
a function. Tests play hundreds of gateways with it in one process.
"""

from __future__ import annotations

import random
import threading
import time
from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from ..endpoints.endpoint_point import endpoint_point
from .codec import decode
from .codec import digest_head
from .codec import encode
from .codec import encode_digest_body
from .codec import rounded
from .collector import Collector
from .datagrams import Blame
from .datagrams import Digest
from .datagrams import FarParts
from .datagrams import LeavingNote
from .datagrams import MemberUpdate
from .datagrams import Placement
from .datagrams import Referral
from .datagrams import RegionSummary
from .datagrams import Roster
from .datagrams import RosterWanted
from .datagrams import Suspicions
from .datagrams import SuspicionsKnown
from .follower import MAX_VIEW_AGE_S
from .follower import Follower
from .introductions import Introductions
from .peer import GatewayState
from .suspicion_sync import SuspicionSync

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import ToldSuspicion

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointPoint
    from ..relay_policy import Placed
    from .datagrams import Datagram
    from .datagrams import FarPart
    from .follower import Target
    from .peer import ControlFacts
    from .peer import Peer
    from .peer import ServiceSummary
    from .peer_table import PeerTable

# A placement is told at once unless an update went out so lately; what ends is told within a tick.
MIN_UPDATE_S = 0.02
TICK_S = 0.1
HEARTBEAT_S = 0.25
# Placements are repeated in updates for this long, because datagrams get lost.
REPEAT_S = 0.3
MAX_REPEATED = 20
# How often regions tell each other how they stand.
SUMMARY_S = 0.2
# A roster is asked for again after this time.
ROSTER_PAUSE_S = 0.3
# A gateway that no collector answers asks its seeds and some other addresses so often.
SEARCH_S = 0.3
SEARCH_SAMPLE = 4
# Addresses of gateways that are not known to live, told each time how the region stands.
UNKNOWN_SAMPLE = 2
# How often a collector looks for gateways of its region that follow others.
MERGE_S = 3.0
# Updates of one's own that are remembered, to take them out of what a digest adds up.
REMEMBERED_UPDATES = 256


@dataclass(frozen=True, slots=True)
class OwnFacts:
    """What this gateway tells of itself."""

    peer: Peer
    control: ControlFacts
    loads: Mapping[EndpointId, OpenWork]


class ExchangeFeed(Protocol):
    """Takes in what other gateways tell."""

    def hear_digest(self, digest: Digest, own_loads: Mapping[EndpointPoint, OpenWork]) -> None:
        """Take in the region's loads; ``own_loads`` are this gateway's share of them."""

    def lose_digests(self) -> None:
        """Note that nothing was heard of the region for too long."""

    def hear_blame(self, blame: Blame) -> None:
        """Take in a request that an endpoint died of."""

    def hear_leaving(self, run: EndpointRun) -> None:
        """Take in an endpoint that said to another gateway that it leaves."""

    def tick(self) -> None:
        """Do what is due many times a second."""


class Exchange:
    """One gateway's part in its region's exchange of state."""

    def __init__(
        self,
        peers: PeerTable,
        own_facts: Callable[[], OwnFacts],
        summaries: Callable[[], Mapping[ServiceId, ServiceSummary]],
        feed: ExchangeFeed,
        send: Callable[[str, bytes], None],
        quarantine: Quarantine,
        clock_s: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ) -> None:
        self._peers = peers
        self._own_facts = own_facts
        self._summaries = summaries
        self._feed = feed
        self._send = send
        self._clock_s = clock_s
        self._random = random.Random(seed)
        self._own = own_facts().peer
        self._collector = Collector(
            self._own.instance,
            self._own.incarnation,
            self._own.address.report,
            self._own.region,
            clock_s,
        )
        self._follower = Follower(self._own.instance, clock_s)
        self._sequence = 0
        self._update_s = float("-inf")
        self._told_loads: Mapping[EndpointPoint, OpenWork] = {}
        self._told_revision = 0
        self._sent_loads: dict[int, Mapping[EndpointPoint, OpenWork]] = {}
        self._placements: deque[tuple[float, Placement]] = deque(maxlen=MAX_REPEATED)
        self._placed = 0
        self._is_placed_untold = False
        self._tick_s = float("-inf")
        self._summary_s = float("-inf")
        self._merge_s = clock_s() + MERGE_S
        self._search_s = float("-inf")
        self._asked_roster_s: dict[RegionId, float] = {}
        self._sent_roster: dict[RegionId, int] = {}
        self._far_collectors: dict[RegionId, str] = {}
        self._introductions = Introductions()
        self._suspicions = SuspicionSync(
            quarantine, lambda: self._own.address.report, send, clock_s
        )
        self._is_view_lost = True
        self._primary_address = ""
        self._targets: list[Target] = []
        self._lock = threading.RLock()

    @property
    def collected(self) -> int:
        """How many members tell this gateway their state, itself included."""
        return self._collector.size

    @property
    def primary(self) -> InstanceId | None:
        """The collector whose digests are believed now."""
        return self._follower.primary

    def receive(self, data: bytes) -> None:
        """Take in one datagram."""
        datagram = decode(data)
        with self._lock:
            if datagram is None:
                log_event(Event.PEER_EXCHANGE_FAILED, reason="a datagram cannot be read")
            else:
                self._take(datagram)

    def due_in_s(self) -> float:
        """Return when ``tick`` is to be called next, at the latest."""
        with self._lock:
            tick_s = self._tick_s + TICK_S - self._clock_s()
            return max(0.0, min(tick_s, self._collector.due_in_s()))

    def tick(self) -> None:
        """Do what is due."""
        with self._lock:
            now_s = self._clock_s()
            if now_s - self._tick_s >= TICK_S:
                self._tick_s = now_s
                self._feed.tick()
                self._peers.expire()
                self._collector.expire()
                asked = [(one.peer.instance, one.wants_digest) for one in self._targets]
                self._follower.is_followed = self._collector.is_acting()
                self._targets = self._follower.choose(self._known_members(now_s))
                if asked != [(one.peer.instance, one.wants_digest) for one in self._targets]:
                    self._send_update(now_s)
                self._update_if_due(now_s)
                self._look_after_view()
                self._tell_far(now_s)
            if self._collector.due_in_s() <= 0:
                self._send_digests()

    def tell_placed(self, placed: Placed) -> None:
        """Tell the region of a request that an engine was just given."""
        with self._lock:
            now_s = self._clock_s()
            self._placed += 1
            self._placements.append(
                (
                    now_s,
                    Placement(
                        self._placed,
                        endpoint_point(placed.endpoint),
                        placed.work.unread_tokens,
                        placed.parts,
                    ),
                )
            )
            self._is_placed_untold = True
            if now_s - self._update_s >= MIN_UPDATE_S:
                self._send_update(now_s)

    def tell_state(self) -> None:
        """Tell the region at once that this gateway's state changed."""
        with self._lock:
            self._send_update(self._clock_s())
            if self._collector.serves():
                self._send_digests()

    def tell_blame(self, blame: Blame) -> None:
        """Tell every gateway of a request that an endpoint died of, twice: datagrams get lost."""
        data = encode(blame)
        for address in self._peers.report_addresses() * 2:
            self._send(address, data)

    def tell_suspicion(self, told: ToldSuspicion) -> None:
        """Tell every gateway what is held against a request, twice: datagrams get lost."""
        data = encode(Suspicions((told,)))
        for address in self._peers.report_addresses() * 2:
            self._send(address, data)

    def tell_leaving(self, run: EndpointRun) -> None:
        """Tell the region's gateways of an endpoint that leaves, twice: datagrams get lost."""
        data = encode(LeavingNote(run))
        for peer in self._peers.live_in(self._own.region) * 2:
            self._send(peer.address.report, data)

    def _take(self, datagram: Datagram) -> None:
        match datagram:
            case MemberUpdate():
                self._take_update(datagram)
            case Digest():
                self._take_digest(datagram)
            case Roster():
                self._take_roster(datagram)
            case RegionSummary():
                self._take_summary(datagram)
            case RosterWanted(reply_to, regions):
                for region in regions:
                    roster = self._known_roster(region)
                    if roster is not None:
                        self._send(reply_to, encode(self._as_sender(roster)))
            case Referral(addresses):
                self._peers.add_candidates(addresses)
                for address in addresses:
                    self._send_update_to(address)
            case FarParts(parts):
                self._take_far_parts(parts)
            case Blame() as blame:
                self._feed.hear_blame(blame)
            case LeavingNote(run):
                self._feed.hear_leaving(run)
            case SuspicionsKnown():
                self._suspicions.answer(datagram)
            case Suspicions():
                self._suspicions.hear(datagram)

    def _take_update(self, update: MemberUpdate) -> None:
        peer = update.peer
        if peer.instance == self._own.instance:
            return
        if peer.region != self._own.region:
            self._refer(peer)
            return
        self._collector.hear(update)
        if self._collector.due_in_s() <= 0:
            self._send_digests()

    def _take_digest(self, digest: Digest) -> None:
        if not self._follower.believes(digest):
            return
        self._is_view_lost = False
        self._primary_address = digest.address
        region = self._own.region
        if not self._peers.confirm(region, digest.roster, digest.control):
            self._ask_roster(region, digest.address)
        for summary in digest.far_regions:
            if not self._peers.put_summary(summary):
                self._ask_roster(summary.region, digest.address)
        own = self._sent_loads.get(digest.acked, {})
        self._feed.hear_digest(digest, own)
        self._suspicions.compare(digest.suspicions, digest.address)

    def _take_roster(self, roster: Roster) -> None:
        region = self._own.region
        if roster.region != region:
            self._peers.put_roster(roster)
            # Only what comes from the region itself is passed on: two collectors that pass each
            # other's copies on would never stop.
            is_first_hand = any(peer.instance == roster.sender for peer in roster.peers)
            if is_first_hand and self._collector.is_acting():
                self._push_roster(roster)
            return
        if roster.sender == self._follower.primary:
            self._peers.put_roster(roster)
            return
        # Another collector's view: those of its members that are not known may collect too.
        self._introductions.note_strangers(roster.peers, self._clock_s())

    def _take_summary(self, summary: RegionSummary) -> None:
        if summary.region == self._own.region:
            return
        if not self._collector.serves():
            self._pass_on(summary)
        self._far_collectors[summary.region] = summary.collector
        self._peers.add_candidates((summary.collector, *summary.others))
        if not self._peers.put_summary(summary):
            self._ask_roster(summary.region, summary.collector)
        self._collector.hear_summary(summary)
        self._suspicions.compare(summary.suspicions, summary.collector)

    def _take_far_parts(self, parts: tuple[FarPart, ...]) -> None:
        if self._collector.serves():
            self._collector.hear_far_parts(parts)
            return
        self._pass_on(FarParts(parts))

    def _pass_on(self, datagram: FarParts | RegionSummary) -> None:
        """Give what another region told to the collector that this gateway follows."""
        if self._primary_address not in ("", self._own.address.report):
            self._send(self._primary_address, encode(datagram))

    def _update_if_due(self, now_s: float) -> None:
        facts = self._own_facts()
        loads = _by_point(facts.loads)
        is_news = (
            self._is_placed_untold
            or loads != self._told_loads
            or facts.control.revision != self._told_revision
            or self._follower.wants_full
            or facts.peer.state is not self._own.state
        )
        if is_news or now_s - self._update_s >= HEARTBEAT_S:
            self._send_update(now_s, facts)

    def _send_update(self, now_s: float, facts: OwnFacts | None = None) -> None:
        update = self._next_update(now_s, facts or self._own_facts())
        others = [one for one in self._targets if one.peer.instance != self._own.instance]
        follows_itself = any(
            one.wants_digest for one in self._targets if one.peer.instance == self._own.instance
        )
        self._collector.hear(replace(update, wants_digest=follows_itself))
        for wants_digest in (True, False):
            addresses = [
                one.peer.address.report for one in others if one.wants_digest is wants_digest
            ]
            if addresses:
                data = encode(replace(update, wants_digest=wants_digest))
                for address in addresses:
                    self._send(address, data)
        if others:
            self._follower.note_sent(update.sequence)
        follows_nobody = self._follower.primary == self._own.instance
        is_followed = self._collector.is_acting()
        if not others or self._is_view_lost or (follows_nobody and not is_followed):
            self._search(update, now_s)

    def _next_update(self, now_s: float, facts: OwnFacts) -> MemberUpdate:
        self._own = facts.peer
        self._sequence += 1
        self._update_s = now_s
        self._is_placed_untold = False
        self._told_loads = _by_point(facts.loads)
        self._told_revision = facts.control.revision
        self._sent_loads[self._sequence] = self._told_loads
        self._sent_loads.pop(self._sequence - REMEMBERED_UPDATES, None)
        while self._placements and now_s - self._placements[0][0] > REPEAT_S:
            self._placements.popleft()
        return MemberUpdate(
            facts.peer,
            self._sequence,
            False,
            self._follower.wants_full,
            facts.control,
            self._told_loads,
            tuple(placement for _, placement in self._placements),
        )

    def _send_update_to(self, address: str) -> None:
        if address != self._own.address.report:
            update = self._next_update(self._clock_s(), self._own_facts())
            self._send(address, encode(replace(update, wants_digest=True)))

    def _search(self, update: MemberUpdate, now_s: float) -> None:
        """Look for the region's gateways, as long as none is known."""
        if now_s - self._search_s < SEARCH_S:
            return
        self._search_s = now_s
        data = encode(replace(update, wants_digest=True))
        for address in self._draw_candidates(SEARCH_SAMPLE, besides=()):
            self._send(address, data)

    def _known_members(self, now_s: float) -> list[Peer]:
        """Return the gateways of the region that may collect, this one included."""
        members = {
            peer.instance: peer
            for peer in self._peers.live_in(self._own.region)
            if peer.state is not GatewayState.DRAINING
        }
        for peer in self._introductions.strangers(now_s):
            if peer.instance != self._own.instance:
                members.setdefault(peer.instance, peer)
        if self._own.state is not GatewayState.DRAINING:
            members[self._own.instance] = self._own
        return list(members.values())

    def _look_after_view(self) -> None:
        if not self._is_view_lost and self._follower.view_age_s > 2 * MAX_VIEW_AGE_S:
            self._is_view_lost = True
            self._feed.lose_digests()

    def _send_digests(self) -> None:
        receivers = self._collector.receivers()
        roster = self._region_roster().version
        news, whole = self._collector.next_digest(roster, self._suspicions.version)
        news_body = encode_digest_body(news)
        whole_body = b""
        own_address = self._own.address.report
        for receiver in receivers:
            if receiver.address == own_address:
                digest = whole if receiver.needs_full else news
                self._take_digest(replace(digest, acked=receiver.acked))
                continue
            if receiver.needs_full and not whole_body:
                whole_body = encode_digest_body(whole)
            body = whole_body if receiver.needs_full else news_body
            self._send(receiver.address, digest_head(receiver.acked) + body)
        self._push_changed_roster()
        self._send_far_parts()

    def _push_changed_roster(self) -> None:
        roster = self._region_roster()
        if self._sent_roster.get(roster.region) == roster.version:
            return
        self._sent_roster[roster.region] = roster.version
        if self._follower.primary in (None, self._own.instance):
            self._peers.put_roster(roster)
        self._push_roster(roster)
        if self._speaks_for_region():
            data = encode(roster)
            for address in self._far_collectors.values():
                self._send(address, data)

    def _push_roster(self, roster: Roster) -> None:
        data = encode(self._as_sender(roster))
        for receiver in self._collector.subscribers():
            if receiver != self._own.address.report:
                self._send(receiver, data)

    def _speaks_for_region(self) -> bool:
        """Whether other regions are told by this gateway: it follows itself, and not just now."""
        follows_itself = self._follower.primary == self._own.instance
        return follows_itself and (self._collector.is_acting() or self._collector.is_warm())

    def _tell_far(self, now_s: float) -> None:
        if not self._speaks_for_region():
            return
        if now_s - self._summary_s >= SUMMARY_S:
            self._summary_s = now_s
            summary = RegionSummary(
                self._own.region,
                self._own.address.report,
                self._collector.roster().version,
                self._collector.control(),
                self._summaries(),
                tuple(self._far_collectors.values()),
                self._suspicions.version,
            )
            data = encode(summary)
            for address in self._far_addresses():
                self._send(address, data)
        if now_s >= self._merge_s:
            self._merge_s = now_s + MERGE_S
            self._look_for_strangers()

    def _far_addresses(self) -> list[str]:
        """Return one address in each other region, and some to find regions that are not known."""
        found = []
        for region in sorted(self._peers.regions()):
            collector = self._far_collectors.get(region)
            live = {peer.address.report for peer in self._peers.live_in(region)}
            if collector in live:
                found.append(collector)
            elif live:
                found.append(self._random.choice(sorted(live)))
        known = {peer.address.report for peer in self._peers.live()}
        return [*found, *self._draw_candidates(UNKNOWN_SAMPLE, known)]

    def _look_for_strangers(self) -> None:
        """Ask an address that does not follow this collector which gateways it knows."""
        known = {peer.address.report for peer in self._collector.roster().peers}
        wanted = RosterWanted(self._own.address.report, (self._own.region,))
        for address in self._draw_candidates(1, known):
            self._send(address, encode(wanted))

    def _draw_candidates(self, most: int, besides: Collection[str]) -> list[str]:
        """Return some addresses at which other gateways may listen."""
        own = self._own.address.report
        others = [one for one in self._peers.candidates() if one != own and one not in besides]
        return self._random.sample(others, min(most, len(others)))

    def _send_far_parts(self) -> None:
        parts = self._collector.take_far_out()
        if not parts:
            return
        data = encode(FarParts(tuple(parts)))
        for region in sorted(self._peers.regions()):
            address = self._far_collectors.get(region)
            if address is not None:
                self._send(address, data)

    def _refer(self, peer: Peer) -> None:
        """Name to a gateway of another region others of its region."""
        roster = self._peers.roster(peer.region)
        known = [one.address.report for one in self._peers.live_in(peer.region)]
        if roster is not None and known:
            self._send(peer.address.report, encode(self._as_sender(roster)))
        named = self._introductions.refer(peer, known, self._clock_s())
        if named:
            self._send(peer.address.report, encode(Referral(named)))

    def _ask_roster(self, region: RegionId, address: str) -> None:
        now_s = self._clock_s()
        if not address or now_s - self._asked_roster_s.get(region, -1e9) < ROSTER_PAUSE_S:
            return
        if address == self._own.address.report:
            roster = self._known_roster(region)
            if roster is not None:
                self._peers.put_roster(roster)
            return
        self._asked_roster_s[region] = now_s
        self._send(address, encode(RosterWanted(self._own.address.report, (region,))))

    def _as_sender(self, roster: Roster) -> Roster:
        return replace(roster, sender=self._own.instance)

    def _known_roster(self, region: RegionId) -> Roster | None:
        if region == self._own.region and self._collector.serves():
            return self._region_roster()
        return self._peers.roster(region)

    def _region_roster(self) -> Roster:
        """Return who lives in this region, as this gateway tells it.

        A gateway that follows another collector and only collects for a few strays knows the
        region by that one.
        """
        collected = self._collector.roster()
        if self._follower.primary in (None, self._own.instance):
            return collected
        followed = self._peers.roster(self._own.region)
        is_live = bool(self._peers.live_in(self._own.region))
        if followed is None or not is_live or len(followed.peers) <= len(collected.peers):
            return collected
        return followed


def _by_point(loads: Mapping[EndpointId, OpenWork]) -> dict[EndpointPoint, OpenWork]:
    """Return loads as datagrams name and round them, so that they cancel out exactly."""
    return {endpoint_point(endpoint): rounded(work) for endpoint, work in loads.items()}
