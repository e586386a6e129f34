"""The gateways that live, region by region, by the rosters of their collectors."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.logs import log_event

from .datagrams import Roster
from .datagrams import RosterVersion
from .peer import ControlFacts
from .peer import GatewayState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

    from .datagrams import RegionSummary
    from .peer import Peer
    from .peer import ServiceSummary

# A roster that was not confirmed for so long says nothing of who lives. Collectors confirm several
# times a second within a region, and twice a second between regions.
NEAR_CONFIRMED_S = 2.0
FAR_CONFIRMED_S = 3.0
# Names of peers in one log line; a fleet that starts must not write a line for each pair.
MAX_LOGGED_NAMES = 5
# A gateway that sees no other of its region for so long after its start is the only one.
ALONE_AFTER_S = 2.0
UNKNOWN_ROSTER = RosterVersion(0)


@dataclass(slots=True)
class _Region:
    """What is known of one region; peers are kept by name, and those ready in their order."""

    roster: Roster
    confirmed_s: float
    ready: tuple[Peer, ...] = ()
    by_name: Mapping[InstanceId, Peer] = field(default_factory=dict)
    summary: RegionSummary | None = None
    control: ControlFacts = ControlFacts(0, float("inf"))
    told_s: float = float("-inf")
    is_silent: bool = False


class PeerTable:
    """The other gateways, with what their regions tell of themselves.

    A roster holds every gateway of a region that lives, this one included where it is its own.
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
        self._lock = threading.Lock()

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Note addresses at which a gateway may listen for datagrams."""
        with self._lock:
            self._candidates.update(addresses)

    def candidates(self) -> list[str]:
        """Return the addresses at which a gateway may listen, whether it lives or not."""
        with self._lock:
            return sorted(self._candidates)

    def put_roster(self, roster: Roster) -> None:
        """Take in who lives in a region."""
        now_s = self._clock_s()
        others = {
            peer.instance: peer for peer in roster.peers if peer.instance != self.own_instance
        }
        with self._lock:
            held = self._regions.get(roster.region)
            before = held.by_name if held is not None and not held.is_silent else {}
            kept = held or _Region(roster, now_s)
            kept.roster, kept.confirmed_s, kept.by_name = roster, now_s, others
            kept.ready = tuple(peer for peer in others.values() if peer.state is GatewayState.READY)
            kept.is_silent = False
            self._regions[roster.region] = kept
        _log_names(Event.PEER_JOINED, roster.region, others.keys() - before.keys())
        _log_names(Event.PEER_LOST, roster.region, before.keys() - others.keys())

    def confirm(self, region: RegionId, version: RosterVersion, control: ControlFacts) -> bool:
        """Note that a region's collector still sees a roster; ``False`` where it is another."""
        with self._lock:
            held = self._regions.get(region)
            if held is None:
                return False
            held.control, held.told_s = control, self._clock_s()
            if held.roster.version != version:
                return False
            held.confirmed_s = held.told_s
            return True

    def put_summary(self, summary: RegionSummary) -> bool:
        """Take in how another region stands; ``False`` where its roster is not known."""
        is_known = self.confirm(summary.region, summary.roster, summary.control)
        with self._lock:
            held = self._regions.get(summary.region)
            if held is not None:
                held.summary = summary
        return is_known

    def roster(self, region: RegionId) -> Roster | None:
        """Return the last roster of a region, however old."""
        held = self._regions.get(region)
        return held.roster if held is not None else None

    def expire(self) -> list[RegionId]:
        """Return the regions that fell silent since the last call."""
        now_s = self._clock_s()
        with self._lock:
            lost = [
                region
                for region, held in self._regions.items()
                if not held.is_silent and not self._is_confirmed(region, held, now_s)
            ]
            for region in lost:
                self._regions[region].is_silent = True
        for region in lost:
            log_event(Event.PEER_LOST, region=region, peers="all: the region fell silent")
        return lost

    def live(self) -> list[Peer]:
        """Return each other gateway that lives."""
        return [peer for held in self._confirmed().values() for peer in held.by_name.values()]

    def live_in(self, region: RegionId) -> list[Peer]:
        """Return the other gateways of a region that live."""
        held = self._confirmed().get(region)
        return list(held.by_name.values()) if held is not None else []

    def live_count(self) -> int:
        """Return how many gateways live, with this one."""
        return sum(len(held.by_name) for held in self._confirmed().values()) + 1

    def ready_peers(self, region: RegionId) -> list[Peer]:
        """Return the other gateways of a region that take requests."""
        held = self._confirmed().get(region)
        return list(held.ready) if held is not None else []

    def ready_in(self, region: RegionId) -> list[InstanceId]:
        """Return the gateways of a region that take requests, with this one where it does."""
        names = [peer.instance for peer in self.ready_peers(region)]
        if region == self.own_region and self.own_state is GatewayState.READY:
            names.append(self.own_instance)
        return names

    def is_chosen(self, key: str) -> bool:
        """Whether this gateway is the one of its region's ready ones that a key falls to.

        One that has just started and sees no other does not know yet whether it is alone.
        """
        is_young = self._clock_s() - self._started_s < ALONE_AFTER_S
        if is_young and not self.live_in(self.own_region):
            return False
        order = rendezvous_order(key, [str(name) for name in self.ready_in(self.own_region)])
        return bool(order) and order[0] == self.own_instance

    def summary(self, region: RegionId, service: ServiceId) -> ServiceSummary | None:
        """Return how another region's service stands."""
        held = self._confirmed().get(region)
        if held is None or held.summary is None:
            return None
        return held.summary.services.get(service)

    def was_heard(self, region: RegionId, within_s: float) -> bool:
        """Whether any gateway of a region was heard lately; this one counts for its own."""
        held = self._regions.get(region)
        if region == self.own_region:
            return True
        return held is not None and self._clock_s() - held.confirmed_s <= within_s

    def draining_fronts(self, region: RegionId) -> list[str]:
        """Return where the other gateways of a region that are stopping are reached."""
        return sorted(
            peer.address.front
            for peer in self.live_in(region)
            if peer.state is GatewayState.DRAINING
        )

    def regions(self) -> frozenset[RegionId]:
        """Return the other regions of which a gateway lives."""
        return frozenset(
            region
            for region, held in self._confirmed().items()
            if region != self.own_region and held.by_name
        )

    def ahead_of(self, revision: int) -> list[str]:
        """Return where gateways are asked that hold newer control items, nearest region first."""
        own = self._regions.get(self.own_region)
        if own is not None and own.control.revision > revision:
            return list(own.control.holders)
        return [
            holder
            for held in self._confirmed().values()
            if held.control.revision > revision
            for holder in held.control.holders
        ]

    def store_age_ms(self) -> float:
        """Return how long ago the store answered any gateway of this region, as told."""
        held = self._regions.get(self.own_region)
        if held is None:
            return float("inf")
        return held.control.store_age_ms + (self._clock_s() - held.told_s) * 1000

    def report_addresses(self) -> list[str]:
        """Return where every gateway that lives listens for datagrams, without this one."""
        return sorted(peer.address.report for peer in self.live())

    def _confirmed(self) -> dict[RegionId, _Region]:
        now_s = self._clock_s()
        with self._lock:
            return {
                region: held
                for region, held in self._regions.items()
                if self._is_confirmed(region, held, now_s)
            }

    def _is_confirmed(self, region: RegionId, held: _Region, now_s: float) -> bool:
        limit_s = NEAR_CONFIRMED_S if region == self.own_region else FAR_CONFIRMED_S
        return now_s - held.confirmed_s <= limit_s


def _log_names(event: Event, region: RegionId, names: Iterable[InstanceId]) -> None:
    """Write one line for any number of gateways."""
    changed = sorted(names)
    if changed:
        shown = ",".join(changed[:MAX_LOGGED_NAMES])
        log_event(event, region=region, count=len(changed), peers=shown)
