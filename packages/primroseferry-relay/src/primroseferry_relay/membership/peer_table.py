"""The gateways that live, by the reports that were heard of them."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .peer_report import GatewayState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId

    from .peer_report import PeerReport
    from .peer_report import PlacementNote

# A gateway that is silent for so long is not named to callers.
LIVE_S = 2.0
# In a large fleet reports come in turns; a gateway is silent when it missed so many turns.
LIVE_TURNS = 3
FAR_LIVE_TURNS = 2
# A gateway that is silent for so long is forgotten; the store or a peer may name it again.
FORGET_S = 30.0
# How long a view of the live gateways is used: each request asks for it several times, and who
# lives changes after seconds of silence.
VIEW_S = 0.05


@dataclass(slots=True)
class _Heard:
    report: PeerReport
    reported_s: float
    heard_s: float
    is_live: bool = True


@dataclass(frozen=True, slots=True)
class _View:
    """The gateways that live, and those of each region that take requests."""

    made_s: float
    live: tuple[_Heard, ...]
    ready: Mapping[RegionId, tuple[_Heard, ...]]
    regions: frozenset[RegionId]


class PeerTable:
    """What was heard of each other gateway, and when."""

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
        self._heard: dict[InstanceId, _Heard] = {}
        self._candidates: set[str] = set()
        self._near_live_s = LIVE_S
        self._far_live_s = LIVE_S
        self._view: _View | None = None
        self._lock = threading.Lock()

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Note addresses at which a gateway may listen for reports."""
        with self._lock:
            self._candidates.update(addresses)

    def set_turns(self, near_turn_s: float, far_turn_s: float) -> None:
        """Set how often gateways of this region, and those of others, are heard."""
        self._near_live_s = max(LIVE_S, LIVE_TURNS * near_turn_s)
        self._far_live_s = max(LIVE_S, FAR_LIVE_TURNS * far_turn_s)

    def hear_note(self, note: PlacementNote) -> bool:
        """Take in a sign of life; ``False`` where a report that is as new includes the note."""
        with self._lock:
            held = self._heard.get(note.instance)
            if held is None or held.report.incarnation != note.incarnation:
                return False
            held.heard_s = self._clock_s()
            return note.sequence >= held.report.sequence

    def hear(self, report: PeerReport) -> bool:
        """Take in a report; ``False`` where a newer one of the same incarnation is known."""
        if report.instance == self.own_instance:
            return False
        with self._lock:
            now_s = self._clock_s()
            held = self._heard.get(report.instance)
            was_live = False
            if held is not None and held.report.incarnation == report.incarnation:
                if report.sequence <= held.report.sequence:
                    return False
                was_live = held.is_live
                if held.report.state is not report.state or not was_live:
                    self._view = None
                held.report, held.reported_s, held.heard_s = report, now_s, now_s
                held.is_live = True
            else:
                self._heard[report.instance] = _Heard(report, now_s, now_s)
                self._view = None
            self._candidates.add(report.address.report)
            self._candidates.update(report.known)
        if not was_live:
            log_event(Event.PEER_JOINED, peer=report.instance, peer_state=report.state.value)
        return True

    def expire(self) -> list[InstanceId]:
        """Return the gateways that fell silent since the last call; forget those long gone."""
        now_s = self._clock_s()
        lost = []
        with self._lock:
            for instance, heard in list(self._heard.items()):
                silent_s = now_s - heard.heard_s
                if heard.is_live and silent_s > self._live_s(heard.report):
                    heard.is_live = False
                    lost.append(instance)
                if silent_s > FORGET_S:
                    self._candidates.discard(heard.report.address.report)
                    del self._heard[instance]
        for instance in lost:
            log_event(Event.PEER_LOST, peer=instance)
        return lost

    def live(self) -> list[PeerReport]:
        """Return the last report of each gateway that lives, without this one."""
        return [heard.report for heard in self._current().live]

    def newest_ready(self, region: RegionId) -> PeerReport | None:
        """Return the report that was heard last of a region's ready gateways."""
        heard = self._current().ready.get(region)
        return max(heard, key=lambda one: one.reported_s).report if heard else None

    def _current(self) -> _View:
        now_s = self._clock_s()
        view = self._view
        if view is not None and 0 <= now_s - view.made_s < VIEW_S:
            return view
        with self._lock:
            self._view = view = self._make_view(now_s)
        return view

    def _make_view(self, now_s: float) -> _View:
        live = tuple(
            heard
            for heard in self._heard.values()
            if now_s - heard.heard_s <= self._live_s(heard.report)
        )
        ready: dict[RegionId, list[_Heard]] = {}
        for heard in live:
            if heard.report.state is GatewayState.READY:
                ready.setdefault(heard.report.region, []).append(heard)
        return _View(
            now_s,
            live,
            {region: tuple(members) for region, members in ready.items()},
            frozenset(heard.report.region for heard in live) - {self.own_region},
        )

    def _live_s(self, report: PeerReport) -> float:
        return self._near_live_s if report.region == self.own_region else self._far_live_s

    def live_count(self) -> int:
        """Return how many gateways live, with this one."""
        return len(self._current().live) + 1

    def ready_peers(self, region: RegionId) -> list[PeerReport]:
        """Return the other gateways of a region that take requests."""
        return [heard.report for heard in self._current().ready.get(region, ())]

    def ready_in(self, region: RegionId) -> list[InstanceId]:
        """Return the gateways of a region that take requests, with this one where it does."""
        names = [report.instance for report in self.ready_peers(region)]
        if region == self.own_region and self.own_state is GatewayState.READY:
            names.append(self.own_instance)
        return names

    def was_heard(self, region: RegionId, within_s: float) -> bool:
        """Whether any gateway of a region was heard lately; this one counts for its own."""
        now_s = self._clock_s()
        with self._lock:
            return region == self.own_region or any(
                heard.report.region == region and now_s - heard.heard_s <= within_s
                for heard in self._heard.values()
            )

    def draining_fronts(self, region: RegionId) -> list[str]:
        """Return where the other gateways of a region that are stopping are reached."""
        return sorted(
            report.address.front
            for report in self.live()
            if report.region == region and report.state is GatewayState.DRAINING
        )

    def regions(self) -> frozenset[RegionId]:
        """Return the other regions of which a gateway lives."""
        return self._current().regions

    def report_addresses(self) -> list[str]:
        """Return every address at which a gateway may listen for reports."""
        with self._lock:
            return sorted(self._candidates)
