"""The state of a region, gathered from its members' updates and told to them in digests.

It answers load that grows with the region's requests: each placement costs two datagrams and a
share of the next digests, however many gateways there are. No gateway is appointed: whoever gets
updates collects, and tells those that ask for digests. The class keeps no socket and no thread.
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
from primroseferry_policy.far_parts import ToldParts
from primroseferry_policy.part_copy import MIN_COPY_TOKENS
from primroseferry_policy.recent_sum import WINDOW_S
from primroseferry_policy.recent_sum import RecentSum

from .datagrams import Digest
from .datagrams import EndpointLoad
from .datagrams import FarPart
from .datagrams import HeldParts
from .datagrams import Roster
from .datagrams import RosterVersion
from .peer import ControlFacts

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

    from ..endpoints.endpoint_point import EndpointPoint
    from .datagrams import MemberUpdate
    from .datagrams import RegionSummary
    from .peer import Peer

# A member that is silent for so long is gone: it sends four times a second or more.
MEMBER_LIVE_S = 2.0
# After the first update every member has the time to send its own.
WARM_S = 1.2
# The pause between digests for each receiver, and its bounds: the collector's link carries them
# beside its requests, and a placement is to be known within 100 ms.
DIGEST_S_PER_MEMBER = 0.0008
MIN_DIGEST_S = 0.004
MAX_DIGEST_S = 0.08
# Without news a digest still says that the collector lives and who does.
IDLE_DIGEST_S = 0.2
# Parts that stay in use on an engine are told again after this time.
PARTS_PAUSE_S = 2.0
MAX_HOLDERS = 4
# The way of an update to the collector and of a digest to a member, with their handling.
UPDATE_WAY_S = 0.015
# Parts in one digest; a burst is told over the next ones.
MAX_PARTS_IN_DIGEST = 100


@dataclass(slots=True)
class _Member:
    update: MemberUpdate
    heard_s: float
    last_placement: int
    needs_full: bool = True


@dataclass(frozen=True, slots=True)
class Receiver:
    """A member that a digest goes to, with the last of its updates that the digest includes."""

    address: str
    acked: int
    needs_full: bool


class Collector:
    """What the members of one region told."""

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
        self._totals: dict[EndpointPoint, OpenWork] = {}
        self._reading: dict[EndpointPoint, RecentSum] = {}
        self._told: dict[EndpointPoint, EndpointLoad] = {}
        self._parts: deque[HeldParts] = deque()
        self._told_parts: ToldParts[tuple[EndpointPoint, PartId]] = ToldParts(
            clock_s, PARTS_PAUSE_S
        )
        self._far_told: ToldParts[PartId] = ToldParts(clock_s)
        self._far_parts: deque[FarPart] = deque()
        self._far_out: list[FarPart] = []
        self._summaries: dict[RegionId, RegionSummary] = {}
        self._collecting_since_s: float | None = None
        self._sequence = 0
        self._placed = RecentSum(clock_s)
        self._digest_s = float("-inf")
        self._is_dirty = False
        self._roster: Roster | None = None

    @property
    def size(self) -> int:
        """How many members are known."""
        return len(self._members)

    def hear(self, update: MemberUpdate) -> None:
        """Take in one member's state."""
        now_s = self._clock_s()
        name = update.peer.instance
        held = self._members.get(name)
        if held is not None and held.update.peer.incarnation == update.peer.incarnation:
            if update.sequence <= held.update.sequence:
                return
            last_placement = held.last_placement
            needs_full = update.wants_full or (
                held.needs_full or not held.update.wants_digest and update.wants_digest
            )
            is_same = held.update.peer == update.peer
        else:
            last_placement, needs_full, is_same = 0, True, False
        if self._collecting_since_s is None:
            self._collecting_since_s = now_s
        self._replace_loads(held.update.loads if held is not None else {}, update.loads)
        for placed in update.placements:
            if placed.number > last_placement:
                last_placement = placed.number
                self._note_placed(placed.endpoint, placed.unread_tokens)
                self._note_parts(update, HeldParts(placed.endpoint, placed.parts))
        self._members[name] = _Member(update, now_s, last_placement, needs_full)
        if not is_same:
            self._roster = None
            self._is_dirty = True
        if needs_full and update.wants_digest:
            self._is_dirty = True

    def hear_far_parts(self, parts: Iterable[FarPart]) -> None:
        """Take in what engines of other regions were given, to be told in the next digest."""
        self._far_parts.extend(parts)
        self._is_dirty = True

    def hear_summary(self, summary: RegionSummary) -> None:
        """Take in how another region stands, to be told in the next digest."""
        self._summaries[summary.region] = summary
        self._is_dirty = True

    def expire(self) -> None:
        """Drop members that fell silent."""
        now_s = self._clock_s()
        gone = [
            name for name, member in self._members.items() if now_s - member.heard_s > MEMBER_LIVE_S
        ]
        for name in gone:
            self._replace_loads(self._members.pop(name).update.loads, {})
            self._roster = None
            self._is_dirty = True
        if not self._members:
            self._collecting_since_s = None

    def roster(self) -> Roster:
        """Return the members that live."""
        if self._roster is None:
            peers = tuple(
                self._members[name].update.peer for name in sorted(self._members, key=str)
            )
            self._roster = Roster(self._region, roster_version(peers), peers, self._own_instance)
        return self._roster

    def is_acting(self) -> bool:
        """Whether any other member asks this gateway for digests."""
        return any(
            member.update.peer.instance != self._own_instance for member in self._subscribed()
        )

    def is_warm(self) -> bool:
        """Whether every member had the time to tell its state."""
        since_s = self._collecting_since_s
        return since_s is not None and self._clock_s() - since_s >= WARM_S

    def serves(self) -> bool:
        """Whether any member, this gateway included, takes its digests from here."""
        return any(True for _ in self._subscribed())

    def control(self) -> ControlFacts:
        """Return how far the region is with the items of the store."""
        now_s = self._clock_s()
        revision = 0
        age_ms = float("inf")
        holders: list[str] = []
        for member in self._members.values():
            facts = member.update.control
            age_ms = min(age_ms, facts.store_age_ms + (now_s - member.heard_s) * 1000)
            if facts.revision > revision:
                revision, holders = facts.revision, []
            if facts.revision == revision and len(holders) < MAX_HOLDERS:
                holders.append(member.update.peer.address.hop)
        return ControlFacts(revision, age_ms, tuple(holders))

    def due_in_s(self) -> float:
        """Return when the next digest is due, infinite where nobody wants one."""
        if not self.serves():
            return float("inf")
        pause_s = IDLE_DIGEST_S
        if self._is_dirty:
            pause_s = self._pause_s()
        return self._digest_s + pause_s - self._clock_s()

    def subscribers(self) -> list[str]:
        """Return where the members listen that ask for digests."""
        return [member.update.peer.address.report for member in self._subscribed()]

    def receivers(self) -> list[Receiver]:
        """Return whom the next digest goes to; full ones are then counted as sent."""
        chosen = []
        for member in self._subscribed():
            update = member.update
            chosen.append(Receiver(update.peer.address.report, update.sequence, member.needs_full))
            member.needs_full = False
        return chosen

    def next_digest(
        self, roster: RosterVersion, suspicions: int | None = None
    ) -> tuple[Digest, Digest]:
        """Return what changed since the last digest, and all, with the same number.

        ``roster`` is the one that the receivers are to know, ``suspicions`` the version of what
        this gateway holds against requests.
        """
        now_s = self._clock_s()
        self._digest_s = now_s
        self._is_dirty = False
        self._sequence += 1
        loads = {load.endpoint: load for load in self._current_loads()}
        changed = [load for point, load in loads.items() if self._told.get(point) != load]
        ended = [EndpointLoad(point, NO_WORK, 0) for point in self._told.keys() - loads.keys()]
        self._told = loads
        parts = [self._parts.popleft() for _ in range(min(len(self._parts), MAX_PARTS_IN_DIGEST))]
        far = [
            self._far_parts.popleft() for _ in range(min(len(self._far_parts), MAX_PARTS_IN_DIGEST))
        ]
        summaries = tuple(self._summaries.values())
        self._summaries = {}
        news = Digest(
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
            tuple(far),
            summaries,
            self._unseen_placements(),
            suspicions,
        )
        whole = replace(news, is_full=True, loads=tuple(loads.values()))
        return news, whole

    def take_far_out(self) -> list[FarPart]:
        """Return the shared parts that other regions are to be told of now."""
        taken, self._far_out = self._far_out, []
        return taken

    def _subscribed(self) -> Iterator[_Member]:
        return (member for member in self._members.values() if member.update.wants_digest)

    def _replace_loads(
        self,
        before: Mapping[EndpointPoint, OpenWork],
        after: Mapping[EndpointPoint, OpenWork],
    ) -> None:
        if before == after:
            return
        self._is_dirty = True
        for point in before.keys() | after.keys():
            change = after.get(point, NO_WORK) + -before.get(point, NO_WORK)
            total = self._totals.get(point, NO_WORK) + change
            if total == NO_WORK:
                self._totals.pop(point, None)
            else:
                self._totals[point] = total

    def _note_placed(self, endpoint: EndpointPoint, unread_tokens: int) -> None:
        self._reading.setdefault(endpoint, RecentSum(self._clock_s)).add(unread_tokens)
        self._placed.add(1)
        self._is_dirty = True

    def _note_parts(self, update: MemberUpdate, held: HeldParts) -> None:
        if not held.parts:
            return
        if self._told_parts.note((held.endpoint, held.parts[-1].part)):
            self._parts.append(held)
        # Both collectors of a member hear of the parts; the one that it takes digests from tells.
        shared = held.parts[:-1]
        tokens = sum(part.tokens for part in shared)
        if (
            update.wants_digest
            and tokens >= MIN_COPY_TOKENS
            and self._far_told.note(shared[-1].part)
        ):
            self._far_out.append(FarPart(held.endpoint, shared[-1].part, tokens))

    def _unseen_placements(self) -> float:
        """Return how many placements are on their way here or wait for the next digest."""
        mean_age_s = UPDATE_WAY_S + self._pause_s() / 2
        return self._placed.total() / WINDOW_S * mean_age_s

    def _pause_s(self) -> float:
        return min(MAX_DIGEST_S, max(MIN_DIGEST_S, self.size * DIGEST_S_PER_MEMBER))

    def _current_loads(self) -> list[EndpointLoad]:
        loads = []
        for point in list(self._totals.keys() | self._reading.keys()):
            given = self._reading.get(point)
            reading = given.total() if given is not None else 0
            if given is not None and given.is_empty:
                del self._reading[point]
            work = self._totals.get(point, NO_WORK)
            if reading or work != NO_WORK:
                loads.append(EndpointLoad(point, work, reading))
        return loads


def roster_version(peers: Iterable[Peer]) -> RosterVersion:
    """Return a hash of who is there and in which state."""
    content = [
        [peer.instance, peer.incarnation, peer.address.front, peer.state.value] for peer in peers
    ]
    # The highest bit is left out: the wire's whole numbers are read as signed ones by some.
    return RosterVersion(xxhash.xxh3_64_intdigest(msgpack.packb(content)) >> 1)
