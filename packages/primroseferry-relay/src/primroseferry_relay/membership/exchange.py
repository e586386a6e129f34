"""The state exchange of a gateway, both as a member and as a collector of its region.

The class has no socket and no thread: the caller passes in received datagrams, calls ``tick`` when
it is due and provides a function that sends. Tests simulate hundreds of gateways in one process.
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
from primroseferry_policy.endpoint_profile import EndpointProfiles

from ..control.metadata_store import START
from ..endpoints.endpoint_point import endpoint_hash
from ..endpoints.run_notice import RunNotice
from .codec import decode
from .codec import digest_header
from .codec import encode
from .codec import encode_digest_body
from .codec import rounded
from .collector import Collector
from .datagrams import Blame
from .datagrams import Digest
from .datagrams import LeavingNotice
from .datagrams import MemberUpdate
from .datagrams import OriginQuery
from .datagrams import OriginReply
from .datagrams import OriginReport
from .datagrams import PermitReply
from .datagrams import PermitRequest
from .datagrams import Placement
from .datagrams import QuotaReply
from .datagrams import QuotaRequest
from .datagrams import QuotaTransfer
from .datagrams import QuotaTransferRequest
from .datagrams import Referral
from .datagrams import RegionSummary
from .datagrams import RemoteParts
from .datagrams import Roster
from .datagrams import RosterRequest
from .datagrams import SuspicionInventory
from .datagrams import Suspicions
from .follower import MAX_VIEW_AGE_S
from .follower import Follower
from .introductions import Introductions
from .limit_sync import LimitSync
from .peer import GatewayState
from .slowdown_sync import SlowdownSync
from .suspicion_sync import SuspicionSync

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import SuspicionReport

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointHash
    from ..relay_policy import PlacedRequest
    from .datagrams import Datagram
    from .datagrams import RemotePart
    from .follower import Target
    from .peer import ControlStatus
    from .peer import Peer
    from .peer import ServiceSummary
    from .peer_table import PeerTable
    from .quota_leases import QuotaLeases
    from .request_permits import RequestPermits
    from .stream_sync import StreamSync

# A placement triggers an update at once unless the previous one was sent within this time. Ended
# requests are reported with the next tick.
MIN_UPDATE_INTERVAL_S = 0.02
TICK_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.25
# Updates repeat each placement for this long because datagrams can be lost.
PLACEMENT_REPEAT_S = 0.3
MAX_REPEATED_PLACEMENTS = 20
# Interval between summaries to other regions.
SUMMARY_INTERVAL_S = 0.2
# Minimum time between two requests for the roster of the same region.
ROSTER_REQUEST_INTERVAL_S = 0.3
# A gateway that accepts no digests, or that follows only itself and has no followers, sends its
# update to ``SEARCH_SAMPLE`` random candidate addresses, at most once per ``SEARCH_INTERVAL_S``.
# Candidates include the seeds.
SEARCH_INTERVAL_S = 0.3
SEARCH_SAMPLE = 4
# Each summary is also sent to this many candidate addresses where no gateway is known to be live.
DISCOVERY_SAMPLE = 2
# Interval at which a collector looks for gateways of its region that follow another collector.
MERGE_INTERVAL_S = 3.0
# Own updates whose loads are kept, to subtract this gateway's share from a digest's totals.
MAX_REMEMBERED_UPDATES = 256


@dataclass(frozen=True, slots=True)
class LocalState:
    """The state that this gateway reports about itself."""

    peer: Peer
    control: ControlStatus
    loads: Mapping[EndpointId, OpenWork]


class ExchangeFeed(Protocol):
    """Receives what other gateways report."""

    def on_digest(self, digest: Digest, own_loads: Mapping[EndpointHash, OpenWork]) -> None:
        """Apply the region's loads; ``own_loads`` is this gateway's share of them."""

    def on_digest_timeout(self) -> None:
        """Handle the absence of accepted digests for ``2 * MAX_VIEW_AGE_S``."""

    def on_blame(self, blame: Blame) -> None:
        """Record a request that was running on an endpoint when it crashed."""

    def on_endpoint_leaving(self, run: EndpointRun) -> None:
        """Record an endpoint that announced to another gateway that it is leaving."""

    def on_run_notice(self, notice: RunNotice) -> None:
        """Apply what another gateway says of an endpoint's run that may have ended."""

    def tick(self) -> None:
        """Run periodic work; called every ``TICK_INTERVAL_S``."""


class Exchange:
    """Exchanges one gateway's state with its region and with other regions."""

    def __init__(
        self,
        peers: PeerTable,
        local_state: Callable[[], LocalState],
        summaries: Callable[[], Mapping[ServiceId, ServiceSummary]],
        feed: ExchangeFeed,
        send: Callable[[str, bytes], None],
        quarantine: Quarantine,
        permits: RequestPermits,
        streams: StreamSync,
        clock_s: Callable[[], float] = time.monotonic,
        seed: int | None = None,
        quotas: QuotaLeases | None = None,
        profiles: EndpointProfiles | None = None,
    ) -> None:
        self._peers = peers
        self._local_state = local_state
        self._summaries = summaries
        self._feed = feed
        self._send = send
        self._clock_s = clock_s
        self._random = random.Random(seed)
        self._own = local_state().peer
        self._collector = Collector(
            self._own.instance,
            self._own.incarnation,
            self._own.address.report,
            self._own.region,
            clock_s,
        )
        self._follower = Follower(self._own.instance, clock_s)
        self._sequence = 0
        self._update_sent_s = float("-inf")
        self._last_sent_loads: Mapping[EndpointHash, OpenWork] = {}
        self._last_sent_position = START
        self._sent_loads_by_sequence: dict[int, Mapping[EndpointHash, OpenWork]] = {}
        self._placements: deque[tuple[float, Placement]] = deque(maxlen=MAX_REPEATED_PLACEMENTS)
        self._placement_number = 0
        self._has_unsent_placement = False
        self._last_tick_s = float("-inf")
        self._summary_sent_s = float("-inf")
        self._merge_due_s = clock_s() + MERGE_INTERVAL_S
        self._search_sent_s = float("-inf")
        self._roster_requested_s: dict[RegionId, float] = {}
        self._sent_roster_versions: dict[RegionId, int] = {}
        self._remote_collectors: dict[RegionId, str] = {}
        self._introductions = Introductions()
        self._suspicion_sync = SuspicionSync(
            quarantine, lambda: self._own.address.report, send, clock_s
        )
        self._permits = permits
        self._limit_sync = LimitSync(permits.limits)
        permits.connect(lambda: self._own.address.report, send)
        self._slowdown_sync = SlowdownSync(profiles or EndpointProfiles(clock_s), clock_s)
        self._quotas = quotas
        if quotas is not None:
            quotas.connect(lambda: self._own.address.report, send)
        self._streams = streams
        streams.connect(lambda: self._own.address.report, send)
        self._is_view_lost = True
        self._primary_address = ""
        self._targets: list[Target] = []
        self._lock = threading.RLock()

    @property
    def member_count(self) -> int:
        """The number of members that report their state to this gateway, including itself."""
        return self._collector.size

    @property
    def primary(self) -> InstanceId | None:
        """The collector whose digests are currently accepted."""
        return self._follower.primary

    def receive(self, data: bytes) -> None:
        """Decode and handle one datagram; log it if it cannot be decoded."""
        datagram = decode(data)
        with self._lock:
            if datagram is None:
                log_event(Event.PEER_EXCHANGE_FAILED, reason="a datagram cannot be decoded")
            else:
                self._handle(datagram)

    def due_in_s(self) -> float:
        """Return the time in seconds until ``tick`` must be called, at least 0."""
        with self._lock:
            tick_s = self._last_tick_s + TICK_INTERVAL_S - self._clock_s()
            return max(0.0, min(tick_s, self._collector.due_in_s()))

    def tick(self) -> None:
        """Run all periodic work that is due."""
        with self._lock:
            now_s = self._clock_s()
            if now_s - self._last_tick_s >= TICK_INTERVAL_S:
                self._last_tick_s = now_s
                self._feed.tick()
                self._streams.tick()
                if self._quotas is not None:
                    self._quotas.issuer.tick()
                self._peers.expire()
                self._collector.expire()
                previous = [(target.peer.instance, target.wants_digest) for target in self._targets]
                self._follower.has_followers = self._collector.has_followers()
                self._targets = self._follower.choose(self._known_members(now_s))
                if previous != [
                    (target.peer.instance, target.wants_digest) for target in self._targets
                ]:
                    self._send_update(now_s)
                self._send_update_if_due(now_s)
                self._check_view_age()
                self._run_collector_duties(now_s)
            if self._collector.due_in_s() <= 0:
                self._send_digests()

    def send_placement(self, placed: PlacedRequest) -> None:
        """Report a request that was just placed on an engine to the region's collectors."""
        with self._lock:
            now_s = self._clock_s()
            self._placement_number += 1
            self._placements.append(
                (
                    now_s,
                    Placement(
                        self._placement_number,
                        endpoint_hash(placed.endpoint),
                        placed.work.uncached_tokens,
                        placed.parts,
                    ),
                )
            )
            self._has_unsent_placement = True
            if now_s - self._update_sent_s >= MIN_UPDATE_INTERVAL_S:
                self._send_update(now_s)

    def send_request_limits(self) -> None:
        """Report a request limit that an endpoint has just named, changed or lifted."""
        with self._lock:
            self._send_update(self._clock_s())

    def send_state(self) -> None:
        """Report this gateway's changed state to the region at once."""
        with self._lock:
            self._send_update(self._clock_s())
            if self._collector.has_subscribers():
                self._send_digests()

    def send_blame(self, blame: Blame) -> None:
        """Send a blame to every gateway, twice because datagrams can be lost."""
        data = encode(blame)
        for address in self._peers.report_addresses() * 2:
            self._send(address, data)

    def send_suspicions(self, suspicions: Sequence[SuspicionReport]) -> None:
        """Send a few suspicions to every gateway, twice because datagrams can be lost."""
        data = encode(Suspicions(tuple(suspicions)))
        for address in self._peers.report_addresses() * 2:
            self._send(address, data)

    def send_endpoint_leaving(self, run: EndpointRun) -> None:
        """Send a leaving endpoint to the region's gateways, twice because datagrams can be lost."""
        data = encode(LeavingNotice(run))
        for peer in self._peers.live_in(self._own.region) * 2:
            self._send(peer.address.report, data)

    def send_run_notice(self, addresses: Sequence[str], notice: RunNotice) -> None:
        """Send what this gateway knows of an endpoint's run that may have ended."""
        data = encode(notice)
        for address in addresses:
            self._send(address, data)

    def _handle(self, datagram: Datagram) -> None:
        match datagram:
            case MemberUpdate():
                self._handle_update(datagram)
            case Digest():
                self._handle_digest(datagram)
            case Roster():
                self._handle_roster(datagram)
            case RegionSummary():
                self._handle_summary(datagram)
            case RosterRequest(reply_to, regions):
                for region in regions:
                    roster = self._known_roster(region)
                    if roster is not None:
                        self._send(reply_to, encode(self._as_sender(roster)))
            case Referral(addresses):
                self._peers.add_candidates(addresses)
                for address in addresses:
                    self._send_update_to(address)
            case RemoteParts(parts):
                self._handle_remote_parts(parts)
            case Blame() as blame:
                self._feed.on_blame(blame)
            case LeavingNotice(run):
                self._feed.on_endpoint_leaving(run)
            case RunNotice() as notice:
                self._feed.on_run_notice(notice)
            case SuspicionInventory():
                self._suspicion_sync.on_inventory(datagram)
            case Suspicions():
                self._suspicion_sync.on_suspicions(datagram)
            case PermitRequest():
                self._permits.on_request(datagram)
            case PermitReply():
                self._permits.on_reply(datagram)
            case QuotaRequest() | QuotaReply() | QuotaTransferRequest() | QuotaTransfer():
                self._handle_quota(datagram)
            case OriginReport():
                self._streams.on_report(datagram)
            case OriginQuery():
                self._streams.on_query(datagram)
            case OriginReply():
                self._streams.on_reply(datagram)

    def _handle_quota(
        self, datagram: QuotaRequest | QuotaReply | QuotaTransferRequest | QuotaTransfer
    ) -> None:
        if self._quotas is None:
            return
        match datagram:
            case QuotaRequest():
                self._quotas.on_request(datagram)
            case QuotaReply():
                self._quotas.on_reply(datagram)
            case QuotaTransferRequest():
                self._quotas.issuer.on_transfer_request(datagram)
            case QuotaTransfer():
                self._quotas.issuer.on_transfer(datagram)

    def _handle_update(self, update: MemberUpdate) -> None:
        peer = update.peer
        if peer.instance == self._own.instance:
            return
        if peer.region != self._own.region:
            self._send_referral(peer)
            return
        self._collector.on_update(update)
        has_new_limits = self._permits.limits.merge(update.limits)
        if self._slowdown_sync.merge(update.slowdowns) or has_new_limits:
            self._collector.note_changed()
        if self._collector.due_in_s() <= 0:
            self._send_digests()

    def _handle_digest(self, digest: Digest) -> None:
        if not self._follower.accepts(digest):
            return
        self._is_view_lost = False
        self._primary_address = digest.address
        region = self._own.region
        if not self._peers.confirm(region, digest.roster, digest.control):
            self._request_roster(region, digest.address)
        for summary in digest.remote_regions:
            if not self._peers.put_summary(summary):
                self._request_roster(summary.region, digest.address)
        self._permits.limits.merge(digest.limits)
        self._slowdown_sync.merge(digest.slowdowns)
        own = self._sent_loads_by_sequence.get(digest.acked, {})
        self._feed.on_digest(digest, own)
        self._suspicion_sync.compare_version(digest.suspicions, digest.address)

    def _handle_roster(self, roster: Roster) -> None:
        region = self._own.region
        if roster.region != region:
            self._peers.put_roster(roster)
            # Only rosters sent by the region itself are passed on: two collectors that pass on
            # each other's copies would do so without end.
            is_from_region = any(peer.instance == roster.sender for peer in roster.peers)
            if is_from_region and self._collector.has_followers():
                self._push_roster(roster)
            return
        if roster.sender == self._follower.primary:
            self._peers.put_roster(roster)
            return
        # The roster of another collector: members that this gateway does not know yet become
        # candidates for collectors.
        self._introductions.add_unknown_peers(roster.peers, self._clock_s())

    def _handle_summary(self, summary: RegionSummary) -> None:
        if summary.region == self._own.region:
            return
        if not self._collector.has_subscribers():
            self._forward_to_collector(summary)
        self._remote_collectors[summary.region] = summary.collector
        self._peers.add_candidates((summary.collector, *summary.others))
        if not self._peers.put_summary(summary):
            self._request_roster(summary.region, summary.collector)
        self._collector.on_summary(summary)
        self._suspicion_sync.compare_version(summary.suspicions, summary.collector)

    def _handle_remote_parts(self, parts: tuple[RemotePart, ...]) -> None:
        if self._collector.has_subscribers():
            self._collector.on_remote_parts(parts)
            return
        self._forward_to_collector(RemoteParts(parts))

    def _forward_to_collector(self, datagram: RemoteParts | RegionSummary) -> None:
        """Forward a datagram of another region to the collector that this gateway follows."""
        if self._primary_address not in ("", self._own.address.report):
            self._send(self._primary_address, encode(datagram))

    def _send_update_if_due(self, now_s: float) -> None:
        local_state = self._local_state()
        loads = _by_hash(local_state.loads)
        has_changed = (
            self._has_unsent_placement
            or loads != self._last_sent_loads
            or local_state.control.position != self._last_sent_position
            or self._follower.wants_full
            or local_state.peer.state is not self._own.state
        )
        if has_changed or now_s - self._update_sent_s >= HEARTBEAT_INTERVAL_S:
            self._send_update(now_s, local_state)

    def _send_update(self, now_s: float, local_state: LocalState | None = None) -> None:
        update = self._next_update(now_s, local_state or self._local_state())
        others = [target for target in self._targets if target.peer.instance != self._own.instance]
        follows_itself = any(
            target.wants_digest
            for target in self._targets
            if target.peer.instance == self._own.instance
        )
        self._collector.on_update(replace(update, wants_digest=follows_itself))
        for wants_digest in (True, False):
            addresses = [
                target.peer.address.report
                for target in others
                if target.wants_digest is wants_digest
            ]
            if addresses:
                data = encode(replace(update, wants_digest=wants_digest))
                for address in addresses:
                    self._send(address, data)
        if others:
            self._follower.note_sent(update.sequence)
        is_own_primary = self._follower.primary == self._own.instance
        has_followers = self._collector.has_followers()
        if not others or self._is_view_lost or (is_own_primary and not has_followers):
            self._search_for_members(update, now_s)

    def _next_update(self, now_s: float, local_state: LocalState) -> MemberUpdate:
        self._own = local_state.peer
        self._sequence += 1
        self._update_sent_s = now_s
        self._has_unsent_placement = False
        self._last_sent_loads = _by_hash(local_state.loads)
        self._last_sent_position = local_state.control.position
        self._sent_loads_by_sequence[self._sequence] = self._last_sent_loads
        self._sent_loads_by_sequence.pop(self._sequence - MAX_REMEMBERED_UPDATES, None)
        while self._placements and now_s - self._placements[0][0] > PLACEMENT_REPEAT_S:
            self._placements.popleft()
        return MemberUpdate(
            local_state.peer,
            self._sequence,
            False,
            self._follower.wants_full,
            local_state.control,
            self._last_sent_loads,
            tuple(placement for _, placement in self._placements),
            self._limit_sync.for_update(),
            self._slowdown_sync.for_update(),
        )

    def _send_update_to(self, address: str) -> None:
        if address != self._own.address.report:
            update = self._next_update(self._clock_s(), self._local_state())
            self._send(address, encode(replace(update, wants_digest=True)))

    def _search_for_members(self, update: MemberUpdate, now_s: float) -> None:
        """Send the update to some candidate addresses in order to find gateways of the region."""
        if now_s - self._search_sent_s < SEARCH_INTERVAL_S:
            return
        self._search_sent_s = now_s
        data = encode(replace(update, wants_digest=True))
        for address in self._sample_candidates(SEARCH_SAMPLE, excluded=()):
            self._send(address, data)

    def _known_members(self, now_s: float) -> list[Peer]:
        """Return the region's gateways that can be collectors, including this one."""
        members = {peer.instance: peer for peer in self._introductions.unknown_peers(now_s)}
        for peer in self._peers.live_in(self._own.region):
            is_draining = peer.state is GatewayState.DRAINING
            introduced = members.get(peer.instance, peer)
            # A listed gateway that is stopping may have been introduced again after its restart.
            if not is_draining or introduced.incarnation == peer.incarnation:
                members[peer.instance] = peer
        members[self._own.instance] = self._own
        return [peer for peer in members.values() if peer.state is not GatewayState.DRAINING]

    def _check_view_age(self) -> None:
        if not self._is_view_lost and self._follower.view_age_s > 2 * MAX_VIEW_AGE_S:
            self._is_view_lost = True
            self._feed.on_digest_timeout()

    def _send_digests(self) -> None:
        receivers = self._collector.receivers()
        roster = self._region_roster().version
        changes, full = self._collector.next_digest(
            roster, self._suspicion_sync.version, self._limit_sync, self._slowdown_sync
        )
        changes_body = encode_digest_body(changes)
        full_body = b""
        own_address = self._own.address.report
        for receiver in receivers:
            if receiver.address == own_address:
                digest = full if receiver.needs_full else changes
                self._handle_digest(replace(digest, acked=receiver.acked))
                continue
            if receiver.needs_full and not full_body:
                full_body = encode_digest_body(full)
            body = full_body if receiver.needs_full else changes_body
            self._send(receiver.address, digest_header(receiver.acked) + body)
        self._push_changed_roster()
        self._send_remote_parts()

    def _push_changed_roster(self) -> None:
        roster = self._region_roster()
        if self._sent_roster_versions.get(roster.region) == roster.version:
            return
        self._sent_roster_versions[roster.region] = roster.version
        if self._follower.primary in (None, self._own.instance):
            self._peers.put_roster(roster)
        self._push_roster(roster)
        if self._represents_region():
            data = encode(roster)
            for address in self._remote_collectors.values():
                self._send(address, data)

    def _push_roster(self, roster: Roster) -> None:
        data = encode(self._as_sender(roster))
        for receiver in self._collector.subscribers():
            if receiver != self._own.address.report:
                self._send(receiver, data)

    def _represents_region(self) -> bool:
        """Whether this gateway reports to other regions.

        It does so if it follows itself and either has followers or has collected long enough to
        be warm.
        """
        follows_itself = self._follower.primary == self._own.instance
        return follows_itself and (self._collector.has_followers() or self._collector.is_warm())

    def _run_collector_duties(self, now_s: float) -> None:
        if not self._represents_region():
            return
        if now_s - self._summary_sent_s >= SUMMARY_INTERVAL_S:
            self._summary_sent_s = now_s
            summary = RegionSummary(
                self._own.region,
                self._own.address.report,
                self._collector.roster().version,
                self._collector.control(),
                self._summaries(),
                tuple(self._remote_collectors.values()),
                self._suspicion_sync.version,
            )
            data = encode(summary)
            for address in self._summary_addresses():
                self._send(address, data)
        if now_s >= self._merge_due_s:
            self._merge_due_s = now_s + MERGE_INTERVAL_S
            self._discover_unknown_peers()

    def _summary_addresses(self) -> list[str]:
        """Return one address per known remote region, and some to discover unknown regions."""
        found = []
        for region in sorted(self._peers.regions()):
            collector = self._remote_collectors.get(region)
            live = {peer.address.report for peer in self._peers.live_in(region)}
            if collector in live:
                found.append(collector)
            elif live:
                found.append(self._random.choice(sorted(live)))
        known = {peer.address.report for peer in self._peers.live()}
        return [*found, *self._sample_candidates(DISCOVERY_SAMPLE, known)]

    def _discover_unknown_peers(self) -> None:
        """Request the region's roster from a candidate that does not report to this collector."""
        known = {peer.address.report for peer in self._collector.roster().peers}
        request = RosterRequest(self._own.address.report, (self._own.region,))
        for address in self._sample_candidates(1, known):
            self._send(address, encode(request))

    def _sample_candidates(self, limit: int, excluded: Collection[str]) -> list[str]:
        """Return up to ``limit`` random addresses at which other gateways may listen."""
        own = self._own.address.report
        others = [
            address
            for address in self._peers.candidates()
            if address != own and address not in excluded
        ]
        return self._random.sample(others, min(limit, len(others)))

    def _send_remote_parts(self) -> None:
        parts = self._collector.take_outgoing_remote_parts()
        if not parts:
            return
        data = encode(RemoteParts(tuple(parts)))
        for region in sorted(self._peers.regions()):
            address = self._remote_collectors.get(region)
            if address is not None:
                self._send(address, data)

    def _send_referral(self, peer: Peer) -> None:
        """Send a gateway of another region the addresses of gateways of its own region."""
        roster = self._peers.roster(peer.region)
        known = [one.address.report for one in self._peers.live_in(peer.region)]
        if roster is not None and known:
            self._send(peer.address.report, encode(self._as_sender(roster)))
        addresses = self._introductions.refer(peer, known, self._clock_s())
        if addresses:
            self._send(peer.address.report, encode(Referral(addresses)))

    def _request_roster(self, region: RegionId, address: str) -> None:
        now_s = self._clock_s()
        if (
            not address
            or now_s - self._roster_requested_s.get(region, -1e9) < ROSTER_REQUEST_INTERVAL_S
        ):
            return
        if address == self._own.address.report:
            roster = self._known_roster(region)
            if roster is not None:
                self._peers.put_roster(roster)
            return
        self._roster_requested_s[region] = now_s
        self._send(address, encode(RosterRequest(self._own.address.report, (region,))))

    def _as_sender(self, roster: Roster) -> Roster:
        return replace(roster, sender=self._own.instance)

    def _known_roster(self, region: RegionId) -> Roster | None:
        if region == self._own.region and self._collector.has_subscribers():
            return self._region_roster()
        return self._peers.roster(region)

    def _region_roster(self) -> Roster:
        """Return the roster of this region that this gateway reports.

        A gateway that follows another collector, but still collects for a few members, reports
        that collector's roster if it is larger than its own.
        """
        collected = self._collector.roster()
        if self._follower.primary in (None, self._own.instance):
            return collected
        followed = self._peers.roster(self._own.region)
        is_live = bool(self._peers.live_in(self._own.region))
        if followed is None or not is_live or len(followed.peers) <= len(collected.peers):
            return collected
        return followed


def _by_hash(loads: Mapping[EndpointId, OpenWork]) -> dict[EndpointHash, OpenWork]:
    """Return loads keyed and rounded as in datagrams, so that own loads cancel out exactly."""
    return {endpoint_hash(endpoint): rounded(work) for endpoint, work in loads.items()}
