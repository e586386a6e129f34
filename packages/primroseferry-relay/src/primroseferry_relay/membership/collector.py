"""The state of a region, collected from its members' updates and sent to them in digests.

Its load grows with the region's requests: each placement costs two datagrams and a share of the
next digests, however many gateways there are. No gateway is appointed as collector: whichever
gateway receives updates collects them, and sends digests to the members that request them. The
class has no socket and no thread.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import msgpack
import xxhash
from primroseferry_policy.endpoint_loads import NO_WORK
from primroseferry_policy.far_parts import PartReportLimiter
from primroseferry_policy.part_copy import MIN_COPY_TOKENS
from primroseferry_policy.recent_sum import WINDOW_S
from primroseferry_policy.recent_sum import RecentSum

from ..control.metadata_store import START
from .datagrams import CachedParts
from .datagrams import Digest
from .datagrams import EndpointLoad
from .datagrams import RemotePart
from .datagrams import Roster
from .datagrams import RosterVersion
from .peer import ControlStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_policy.endpoint_loads import OpenWork
    from primroseferry_policy.prompt import PartId

    from ..endpoints.endpoint_point import EndpointHash
    from .datagrams import MemberUpdate
    from .datagrams import RegionSummary
    from .limit_sync import LimitSync
    from .peer import Peer
    from .slowdown_sync import SlowdownSync

# A member without an update for this long is dropped; members send at least four per second.
MEMBER_TIMEOUT_S = 2.0
# Time after the first update within which every member has sent its own.
WARMUP_S = 1.2
# The interval between digests grows with the number of members, within bounds: the collector's link
# carries digests in addition to requests, and the region must know a placement within 100 ms.
DIGEST_INTERVAL_PER_MEMBER_S = 0.0008
MIN_DIGEST_INTERVAL_S = 0.004
MAX_DIGEST_INTERVAL_S = 0.08
# Digests without changes are sent at this interval. They confirm that the collector is running and
# which roster is current.
IDLE_DIGEST_INTERVAL_S = 0.2
# Prompt parts that stay in use on an engine are reported again after this time.
PARTS_REPEAT_INTERVAL_S = 2.0
MAX_HOLDERS = 4
# Time for an update to reach the collector and for a digest to reach a member, with handling.
UPDATE_LATENCY_S = 0.015
# The rest of a burst of parts is sent with the following digests.
MAX_PARTS_IN_DIGEST = 100


@dataclass(slots=True)
class _Member:
    update: MemberUpdate
    received_s: float
    last_placement: int
    needs_full: bool = True


@dataclass(frozen=True, slots=True)
class Receiver:
    """A member that receives a digest; ``acked`` is its latest update that the digest includes."""

    address: str
    acked: int
    needs_full: bool


class Collector:
    """Collects the state of one region's members and builds digests of it."""

    def __init__(
        self,
        own_instance: InstanceId,
        incarnation: IncarnationId,
        address: str,
        region: RegionId,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own_instance = own_instance
        self._incarnation = incarnation
        self._address = address
        self._region = region
        self._clock_s = clock_s
        self._members: dict[InstanceId, _Member] = {}
        self._totals: dict[EndpointHash, OpenWork] = {}
        self._prefill_rates: dict[EndpointHash, RecentSum] = {}
        self._last_loads: dict[EndpointHash, EndpointLoad] = {}
        self._parts: deque[CachedParts] = deque()
        self._announced_parts: PartReportLimiter[tuple[EndpointHash, PartId]] = PartReportLimiter(
            clock_s, PARTS_REPEAT_INTERVAL_S
        )
        self._announced_remote_parts: PartReportLimiter[PartId] = PartReportLimiter(clock_s)
        self._remote_parts: deque[RemotePart] = deque()
        self._outgoing_remote_parts: list[RemotePart] = []
        self._summaries: dict[RegionId, RegionSummary] = {}
        self._collecting_since_s: float | None = None
        self._sequence = 0
        self._placement_rate = RecentSum(clock_s)
        self._digest_sent_s = float("-inf")
        self._has_changes = False
        self._roster: Roster | None = None

    @property
    def size(self) -> int:
        """The number of members that report to this collector."""
        return len(self._members)

    def on_update(self, update: MemberUpdate) -> None:
        """Apply one member's state; an update older than the latest one is ignored."""
        now_s = self._clock_s()
        instance = update.peer.instance
        current = self._members.get(instance)
        if current is not None and current.update.peer.incarnation == update.peer.incarnation:
            if update.sequence <= current.update.sequence:
                return
            last_placement = current.last_placement
            needs_full = update.wants_full or (
                current.needs_full or not current.update.wants_digest and update.wants_digest
            )
            is_same_peer = current.update.peer == update.peer
        else:
            last_placement, needs_full, is_same_peer = 0, True, False
        if self._collecting_since_s is None:
            self._collecting_since_s = now_s
        self._replace_loads(current.update.loads if current is not None else {}, update.loads)
        for placement in update.placements:
            if placement.number > last_placement:
                last_placement = placement.number
                self._record_placement(placement.endpoint, placement.uncached_tokens)
                self._record_parts(update, CachedParts(placement.endpoint, placement.parts))
        self._members[instance] = _Member(update, now_s, last_placement, needs_full)
        if not is_same_peer:
            self._roster = None
            self._has_changes = True
        if needs_full and update.wants_digest:
            self._has_changes = True

    def on_remote_parts(self, parts: Iterable[RemotePart]) -> None:
        """Queue prompt parts of engines in other regions for the next digest."""
        self._remote_parts.extend(parts)
        self._has_changes = True

    def on_summary(self, summary: RegionSummary) -> None:
        """Store the summary of another region for the next digest."""
        self._summaries[summary.region] = summary
        self._has_changes = True

    def expire(self) -> None:
        """Drop members that have not sent an update for ``MEMBER_TIMEOUT_S``."""
        now_s = self._clock_s()
        expired = [
            instance
            for instance, member in self._members.items()
            if now_s - member.received_s > MEMBER_TIMEOUT_S
        ]
        for instance in expired:
            self._replace_loads(self._members.pop(instance).update.loads, {})
            self._roster = None
            self._has_changes = True
        if not self._members:
            self._collecting_since_s = None

    def roster(self) -> Roster:
        """Return the roster of all members that have not timed out."""
        if self._roster is None:
            peers = tuple(
                self._members[instance].update.peer for instance in sorted(self._members, key=str)
            )
            self._roster = Roster(self._region, roster_version(peers), peers, self._own_instance)
        return self._roster

    def has_followers(self) -> bool:
        """Whether any other member requests digests from this gateway."""
        return any(
            member.update.peer.instance != self._own_instance for member in self._subscribed()
        )

    def is_warm(self) -> bool:
        """Whether collection has run long enough for every member to report its state."""
        since_s = self._collecting_since_s
        return since_s is not None and self._clock_s() - since_s >= WARMUP_S

    def has_subscribers(self) -> bool:
        """Whether any member, including this gateway, requests digests from this collector."""
        return any(True for _ in self._subscribed())

    def control(self) -> ControlStatus:
        """Return the region's newest store revision, its age and the gateways that have it."""
        now_s = self._clock_s()
        position = START
        age_ms = float("inf")
        holders: list[str] = []
        for member in self._members.values():
            control = member.update.control
            age_ms = min(age_ms, control.store_age_ms + (now_s - member.received_s) * 1000)
            if control.position > position:
                position, holders = control.position, []
            if control.position == position and len(holders) < MAX_HOLDERS:
                holders.append(member.update.peer.address.hop)
        return ControlStatus(position.revision, age_ms, tuple(holders), position.era, position.step)

    def due_in_s(self) -> float:
        """Return the seconds until the next digest, infinity if no member requests any."""
        if not self.has_subscribers():
            return float("inf")
        interval_s = IDLE_DIGEST_INTERVAL_S
        if self._has_changes:
            interval_s = self._digest_interval_s()
        return self._digest_sent_s + interval_s - self._clock_s()

    def subscribers(self) -> list[str]:
        """Return the datagram addresses of the members that request digests."""
        return [member.update.peer.address.report for member in self._subscribed()]

    def receivers(self) -> list[Receiver]:
        """Return the receivers of the next digest and mark pending full digests as sent."""
        chosen = []
        for member in self._subscribed():
            update = member.update
            chosen.append(Receiver(update.peer.address.report, update.sequence, member.needs_full))
            member.needs_full = False
        return chosen

    def note_changed(self) -> None:
        """Send the next digest as soon as one with changes may be sent."""
        self._has_changes = True

    def next_digest(
        self,
        roster: RosterVersion,
        suspicions: int | None = None,
        limits: LimitSync | None = None,
        slowdowns: SlowdownSync | None = None,
    ) -> tuple[Digest, Digest]:
        """Return a digest of the changes since the last one, and a full one of the same sequence.

        ``roster`` is the roster version that the receivers should have, ``suspicions`` the version
        of this gateway's suspicions, ``limits`` its observations of request limits, ``slowdowns``
        the services that report slowdowns.
        """
        now_s = self._clock_s()
        self._digest_sent_s = now_s
        self._has_changes = False
        self._sequence += 1
        loads = {load.endpoint: load for load in self._current_loads()}
        changed = [
            load
            for endpoint_hash, load in loads.items()
            if self._last_loads.get(endpoint_hash) != load
        ]
        ended = [
            EndpointLoad(endpoint_hash, NO_WORK, 0)
            for endpoint_hash in self._last_loads.keys() - loads.keys()
        ]
        self._last_loads = loads
        parts = [self._parts.popleft() for _ in range(min(len(self._parts), MAX_PARTS_IN_DIGEST))]
        remote = [
            self._remote_parts.popleft()
            for _ in range(min(len(self._remote_parts), MAX_PARTS_IN_DIGEST))
        ]
        summaries = tuple(self._summaries.values())
        self._summaries = {}
        changes = Digest(
            self._own_instance,
            self._incarnation,
            self._address,
            self._sequence,
            False,
            self.is_warm(),
            roster,
            self.control(),
            (*changed, *ended),
            tuple(parts),
            tuple(remote),
            summaries,
            self._estimated_unreported_placements(),
            suspicions,
            limits=limits.take_changes() if limits is not None else (),
            slowdowns=slowdowns.take_changes() if slowdowns is not None else (),
        )
        full = replace(
            changes,
            is_full=True,
            loads=tuple(loads.values()),
            limits=limits.for_full_digest() if limits is not None else (),
            slowdowns=slowdowns.for_full_digest() if slowdowns is not None else (),
        )
        return changes, full

    def take_outgoing_remote_parts(self) -> list[RemotePart]:
        """Return and clear the shared parts that are to be sent to other regions."""
        taken, self._outgoing_remote_parts = self._outgoing_remote_parts, []
        return taken

    def _subscribed(self) -> Iterator[_Member]:
        return (member for member in self._members.values() if member.update.wants_digest)

    def _replace_loads(
        self,
        before: Mapping[EndpointHash, OpenWork],
        after: Mapping[EndpointHash, OpenWork],
    ) -> None:
        if before == after:
            return
        self._has_changes = True
        for endpoint_hash in before.keys() | after.keys():
            change = after.get(endpoint_hash, NO_WORK) + -before.get(endpoint_hash, NO_WORK)
            total = self._totals.get(endpoint_hash, NO_WORK) + change
            if total == NO_WORK:
                self._totals.pop(endpoint_hash, None)
            else:
                self._totals[endpoint_hash] = total

    def _record_placement(self, endpoint: EndpointHash, uncached_tokens: int) -> None:
        self._prefill_rates.setdefault(endpoint, RecentSum(self._clock_s)).add(uncached_tokens)
        self._placement_rate.add(1)
        self._has_changes = True

    def _record_parts(self, update: MemberUpdate, cached: CachedParts) -> None:
        if not cached.parts:
            return
        if self._announced_parts.note((cached.endpoint, cached.parts[-1].part)):
            self._parts.append(cached)
        # Both collectors of a member receive its parts; only the one that sends it digests reports
        # them to other regions.
        shared = cached.parts[:-1]
        tokens = sum(part.tokens for part in shared)
        if (
            update.wants_digest
            and tokens >= MIN_COPY_TOKENS
            and self._announced_remote_parts.note(shared[-1].part)
        ):
            self._outgoing_remote_parts.append(RemotePart(cached.endpoint, shared[-1].part, tokens))

    def _estimated_unreported_placements(self) -> float:
        """Return the estimated number of placements in transit or waiting for the next digest."""
        mean_age_s = UPDATE_LATENCY_S + self._digest_interval_s() / 2
        return self._placement_rate.total() / WINDOW_S * mean_age_s

    def _digest_interval_s(self) -> float:
        return min(
            MAX_DIGEST_INTERVAL_S,
            max(MIN_DIGEST_INTERVAL_S, self.size * DIGEST_INTERVAL_PER_MEMBER_S),
        )

    def _current_loads(self) -> list[EndpointLoad]:
        loads = []
        for endpoint_hash in list(self._totals.keys() | self._prefill_rates.keys()):
            rate = self._prefill_rates.get(endpoint_hash)
            prefill_tokens = rate.total() if rate is not None else 0
            if rate is not None and rate.is_empty:
                del self._prefill_rates[endpoint_hash]
            work = self._totals.get(endpoint_hash, NO_WORK)
            if prefill_tokens or work != NO_WORK:
                loads.append(EndpointLoad(endpoint_hash, work, prefill_tokens))
        return loads


def roster_version(peers: Iterable[Peer]) -> RosterVersion:
    """Return a 63-bit hash of the gateways' names, incarnations, front addresses and states."""
    content = [
        [peer.instance, peer.incarnation, peer.address.front, peer.state.value] for peer in peers
    ]
    # The highest bit is dropped because some decoders read integers as signed.
    return RosterVersion(xxhash.xxh3_64_intdigest(msgpack.packb(content)) >> 1)
