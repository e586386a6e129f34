"""The live gateways of each region, according to the rosters of the regions' collectors."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import InstanceId
from primroseferry_core.logs import log_event
from primroseferry_policy.recent_maximum import RecentMaximum

from .datagrams import Roster
from .datagrams import RosterVersion
from .peer import ControlStatus
from .peer import GatewayState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

    from ..control.metadata_store import StorePosition
    from .datagrams import RegionSummary
    from .peer import Peer
    from .peer import ServiceSummary

# The gateways of a roster that has not been confirmed for this long no longer count as live.
# Collectors confirm it with each digest within a region, several times per second, and with each
# summary between regions, about every 0.2 s.
LOCAL_CONFIRMATION_TIMEOUT_S = 2.0
REMOTE_CONFIRMATION_TIMEOUT_S = 3.0
# Peers named in one log line. Joined peers are logged together, so that a starting fleet does not
# write one line per pair of gateways.
MAX_LOGGED_NAMES = 5
# A gateway knows the others of its region within this time after its start. If it finds none, it
# assumes that it is the only one.
DISCOVERY_TIMEOUT_S = 2.0
# How long the number of the region's gateways is remembered after some of them were lost.
REGION_SIZE_RETENTION_S = 60.0
UNKNOWN_ROSTER = RosterVersion(0)


@dataclass(slots=True)
class _Region:
    """State of one region: peers by name, and the ready ones in the roster's order."""

    roster: Roster
    confirmed_s: float
    ready: tuple[Peer, ...] = ()
    by_name: Mapping[InstanceId, Peer] = field(default_factory=dict)
    summary: RegionSummary | None = None
    control: ControlStatus = ControlStatus(0, float("inf"))
    received_s: float = float("-inf")
    has_timed_out: bool = False


class PeerTable:
    """The other gateways, and the state that their regions report.

    A roster contains all live gateways of a region, including this one in its own region.
    """

    def __init__(
        self,
        own_instance: InstanceId,
        own_region: RegionId,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.own_instance = own_instance
        self.own_region = own_region
        self.own_state = GatewayState.STARTING
        self._clock_s = clock_s
        self._started_s = clock_s()
        self._regions: dict[RegionId, _Region] = {}
        self._candidates: set[str] = set()
        self._region_size = RecentMaximum(REGION_SIZE_RETENTION_S, clock_s)
        self._lock = threading.Lock()

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Add addresses at which a gateway may listen for datagrams."""
        with self._lock:
            self._candidates.update(addresses)

    def candidates(self) -> list[str]:
        """Return the addresses at which a gateway may listen, whether or not one is live there."""
        with self._lock:
            return sorted(self._candidates)

    def put_roster(self, roster: Roster) -> None:
        """Replace a region's roster; log peers that joined or were lost."""
        now_s = self._clock_s()
        others = {
            peer.instance: peer for peer in roster.peers if peer.instance != self.own_instance
        }
        with self._lock:
            known = self._regions.get(roster.region)
            before = known.by_name if known is not None and not known.has_timed_out else {}
            entry = known or _Region(roster, now_s)
            entry.roster, entry.confirmed_s, entry.by_name = roster, now_s, others
            entry.ready = tuple(
                peer for peer in others.values() if peer.state is GatewayState.READY
            )
            entry.has_timed_out = False
            self._regions[roster.region] = entry
            self._note_region_size(roster.region)
        _log_peers(Event.PEER_JOINED, roster.region, others.keys() - before.keys())
        _log_peers(Event.PEER_LOST, roster.region, before.keys() - others.keys())

    def confirm(self, region: RegionId, version: RosterVersion, control: ControlStatus) -> bool:
        """Confirm a region's roster; return ``False`` if ``version`` is not that of the known one.

        ``control`` is stored in both cases if the region is known.
        """
        with self._lock:
            known = self._regions.get(region)
            if known is None:
                return False
            known.control, known.received_s = control, self._clock_s()
            if known.roster.version != version:
                return False
            known.confirmed_s = known.received_s
            self._note_region_size(region)
            return True

    def put_summary(self, summary: RegionSummary) -> bool:
        """Store another region's summary; return ``False`` if its roster is not known."""
        is_known = self.confirm(summary.region, summary.roster, summary.control)
        with self._lock:
            known = self._regions.get(summary.region)
            if known is not None:
                known.summary = summary
        return is_known

    def roster(self, region: RegionId) -> Roster | None:
        """Return the last roster of a region, regardless of its age."""
        known = self._regions.get(region)
        return known.roster if known is not None else None

    def expire(self) -> list[RegionId]:
        """Return the regions whose rosters timed out since the last call."""
        now_s = self._clock_s()
        with self._lock:
            lost = [
                region
                for region, known in self._regions.items()
                if not known.has_timed_out and not self._is_confirmed(region, known, now_s)
            ]
            for region in lost:
                self._regions[region].has_timed_out = True
        for region in lost:
            log_event(Event.PEER_LOST, region=region, peers="all: the region stopped responding")
        return lost

    def live(self) -> list[Peer]:
        """Return all other live gateways."""
        return [peer for known in self._confirmed().values() for peer in known.by_name.values()]

    def live_in(self, region: RegionId) -> list[Peer]:
        """Return the other live gateways of a region."""
        known = self._confirmed().get(region)
        return list(known.by_name.values()) if known is not None else []

    def live_count(self) -> int:
        """Return the number of live gateways, including this one."""
        return sum(len(known.by_name) for known in self._confirmed().values()) + 1

    def ready_peers(self, region: RegionId) -> list[Peer]:
        """Return the other gateways of a region that accept requests."""
        known = self._confirmed().get(region)
        return list(known.ready) if known is not None else []

    def ready_in(self, region: RegionId) -> list[InstanceId]:
        """Return the gateways of a region that accept requests, including this one if it does."""
        names = [peer.instance for peer in self.ready_peers(region)]
        if region == self.own_region and self.own_state is GatewayState.READY:
            names.append(self.own_instance)
        return names

    def is_chosen(self, key: str) -> bool:
        """Whether rendezvous hashing assigns ``key`` to this gateway.

        Candidates are the ready gateways of its region. A gateway that has just started is not
        chosen, since it may not know all others yet. The same holds for one that knows no more than
        a third of the region's recent gateways: of the parts into which a region is split, two at
        the most choose a gateway.
        """
        if self._is_discovering or self.order_by_key(key)[:1] != [self.own_instance]:
            return False
        size = len(self.live_in(self.own_region)) + 1
        with self._lock:
            return 3 * size > self._region_size.add(size)

    def own_rank(self, key: str) -> int | None:
        """Return ``rank_among_live``, or ``None`` if this gateway has just started.

        It may not know all others yet.
        """
        return None if self._is_discovering else self.rank_among_live(key)

    def rank_among_live(self, key: str) -> int:
        """Return this gateway's place among all live ones in the rendezvous order of ``key``."""
        own = str(self.own_instance)
        return rendezvous_order(key, [*(str(peer.instance) for peer in self.live()), own]).index(
            own
        )

    def order_by_key(self, key: str) -> list[InstanceId]:
        """Return the ready gateways of the own region in the rendezvous order of ``key``.

        The result is empty if this gateway has just started and knows no other one yet. If no
        gateway is ready, all live ones are returned.
        """
        others = self.live_in(self.own_region)
        if self._is_discovering and not others:
            return []
        names = self.ready_in(self.own_region)
        if not names:
            names = [self.own_instance, *(peer.instance for peer in others)]
        return [InstanceId(name) for name in rendezvous_order(key, list(map(str, names)))]

    def known_region_share(self) -> float:
        """Return the live part of the own region's recent gateways, this one included.

        A gateway behind a network partition knows only some of them, or none.
        """
        size = len(self.live_in(self.own_region)) + 1
        with self._lock:
            return size / self._region_size.add(size)

    @property
    def _is_discovering(self) -> bool:
        return self._clock_s() - self._started_s < DISCOVERY_TIMEOUT_S

    def _note_region_size(self, region: RegionId) -> None:
        if region == self.own_region:
            self._region_size.add(len(self._regions[region].by_name) + 1)

    def report_address(self, instance: InstanceId) -> str:
        """Return the datagram address of a live gateway of the own region, or an empty string."""
        known = self._confirmed().get(self.own_region)
        peer = known.by_name.get(instance) if known is not None else None
        return peer.address.report if peer is not None else ""

    @property
    def known_regions(self) -> frozenset[RegionId]:
        """All other regions that ever reported, with or without live gateways."""
        return frozenset(region for region in self._regions if region != self.own_region)

    def summary(self, region: RegionId, service: ServiceId) -> ServiceSummary | None:
        """Return another region's summary of a service, ``None`` if there is none."""
        known = self._confirmed().get(region)
        if known is None or known.summary is None:
            return None
        return known.summary.services.get(service)

    def was_confirmed(self, region: RegionId, within_s: float) -> bool:
        """Whether a region was confirmed within ``within_s`` seconds; true for the own region."""
        known = self._regions.get(region)
        if region == self.own_region:
            return True
        return known is not None and self._clock_s() - known.confirmed_s <= within_s

    def age_s(self, region: RegionId) -> float:
        """Return the seconds since a known region last reported to this gateway."""
        known = self._regions.get(region)
        return self._clock_s() - known.confirmed_s if known is not None else float("inf")

    def draining_fronts(self, region: RegionId) -> list[str]:
        """Return the front addresses of the other gateways of a region that are draining."""
        return sorted(
            peer.address.front
            for peer in self.live_in(region)
            if peer.state is GatewayState.DRAINING
        )

    def regions(self) -> frozenset[RegionId]:
        """Return the other regions that have a live gateway."""
        return frozenset(
            region
            for region, known in self._confirmed().items()
            if region != self.own_region and known.by_name
        )

    def peers_ahead_of(self, position: StorePosition) -> list[str]:
        """Return the addresses of gateways that know the store's history beyond ``position``.

        If the own region has any, only those are returned.
        """
        own = self._regions.get(self.own_region)
        if own is not None and own.control.position > position:
            return list(own.control.holders)
        return [
            holder
            for known in self._confirmed().values()
            if known.control.position > position
            for holder in known.control.holders
        ]

    def control_holders(self) -> list[str]:
        """Return the addresses of gateways with the control items that are known to be latest."""
        return [holder for known in self._confirmed().values() for holder in known.control.holders]

    def store_age_ms(self) -> float:
        """Return the milliseconds since the store answered any gateway of this region.

        The value is the one last reported, plus the time since; infinity if none was reported.
        """
        known = self._regions.get(self.own_region)
        if known is None:
            return float("inf")
        return known.control.store_age_ms + (self._clock_s() - known.received_s) * 1000

    @property
    def is_cut_off(self) -> bool:
        """Whether this gateway may be on the smaller side of a network partition.

        That is so if it hears from no gateway of a region, or has lost half of its own region.
        """
        confirmed = self._confirmed()
        with self._lock:
            lost = [
                region
                for region, known in self._regions.items()
                if known.by_name and region not in confirmed
            ]
            own = confirmed.get(self.own_region)
            size = len(own.by_name) + 1 if own is not None else 1
            return bool(lost) or 2 * size <= self._region_size.add(size)

    def report_addresses(self) -> list[str]:
        """Return the datagram addresses of all other live gateways."""
        return sorted(peer.address.report for peer in self.live())

    def _confirmed(self) -> dict[RegionId, _Region]:
        now_s = self._clock_s()
        with self._lock:
            return {
                region: known
                for region, known in self._regions.items()
                if self._is_confirmed(region, known, now_s)
            }

    def _is_confirmed(self, region: RegionId, known: _Region, now_s: float) -> bool:
        limit_s = (
            LOCAL_CONFIRMATION_TIMEOUT_S
            if region == self.own_region
            else REMOTE_CONFIRMATION_TIMEOUT_S
        )
        return now_s - known.confirmed_s <= limit_s


def _log_peers(event: Event, region: RegionId, names: Iterable[InstanceId]) -> None:
    """Write one log line for all ``names``, or none if there are none."""
    changed = sorted(names)
    if changed:
        shown = ",".join(changed[:MAX_LOGGED_NAMES])
        log_event(event, region=region, count=len(changed), peers=shown)
