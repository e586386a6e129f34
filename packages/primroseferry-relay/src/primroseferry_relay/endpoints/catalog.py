"""The endpoints that may be given work, as far as this gateway knows.

An entry that goes missing stops new work at once, with one exception: entries lapse while the
store is away, and those of live endpoints are back shortly after its return. A removal that is seen
within ``RETURN_S`` of the store's return therefore takes effect only when the entry is still
missing after that.

An endpoint that says in an answer that it leaves is given no new work from then on, whatever its
entry says. The mark belongs to one run of its process and outlives its entry, which may lapse and
come back.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.recent_map import RecentMap

from .endpoint import Endpoint
from .endpoint import EndpointState
from .endpoint_point import endpoint_point

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId

    from .endpoint import EndpointRun
    from .endpoint_point import EndpointPoint

# How long entries may take to come back after an outage of the store, as its operators state.
RETURN_S = 2.0
# Runs of endpoints that said that they leave; a fleet replaces far fewer in an hour.
MAX_LEAVING = 4_096


@dataclass(slots=True)
class _Listed:
    endpoint: Endpoint
    cold_until_s: float
    missing_until_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Place:
    """What requests look endpoints up by."""

    service: ServiceId
    region: RegionId


class EndpointCatalog:
    """Entries by id, and the failure domains that are closed for work."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._listed: dict[EndpointId, _Listed] = {}
        # Names in the order of their arrival, so that a look-up does not grow with the fleet.
        self._by_place: dict[_Place, dict[EndpointId, None]] = {}
        self._by_point: dict[EndpointPoint, EndpointId] = {}
        self._missing: set[EndpointId] = set()
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._returned_s = float("-inf")
        self._leaving: RecentMap[EndpointRun, None] = RecentMap(MAX_LEAVING)
        self._lock = threading.Lock()
        # Gets a run that is no longer listed, and whether it had said that it leaves.
        self.on_run_ended: Callable[[Endpoint, bool], None] = lambda _endpoint, _was_leaving: None

    def note_store_returned(self) -> None:
        """Note that the store answers again after an outage."""
        with self._lock:
            self._returned_s = self._clock_s()

    def put(self, endpoint: Endpoint) -> None:
        """Take in a new or changed entry."""
        with self._lock:
            held = self._listed.get(endpoint.endpoint)
            cold_until_s = self._clock_s() + endpoint.cold_left_ms / 1000
            if held is None or held.endpoint.run != endpoint.run:
                change = "new"
                if held is not None:
                    self._tell_run_ended(held.endpoint)
            else:
                is_changed = held.endpoint.state is not endpoint.state
                change = endpoint.state.value if is_changed else ""
                if endpoint.cold_left_ms == held.endpoint.cold_left_ms:
                    cold_until_s = held.cold_until_s
            self._forget(endpoint.endpoint)
            self._listed[endpoint.endpoint] = _Listed(endpoint, cold_until_s)
            self._by_place.setdefault(_place(endpoint), {})[endpoint.endpoint] = None
            self._by_point[endpoint_point(endpoint.endpoint)] = endpoint.endpoint
        if change:
            log_event(
                Event.ENDPOINT_LISTED,
                endpoint=endpoint.endpoint,
                service=endpoint.service,
                address=endpoint.address,
                change=change,
                cold_ms=endpoint.cold_left_ms,
            )

    def remove(self, endpoint: EndpointId) -> None:
        """Take in that an entry is gone."""
        with self._lock:
            self._remove(endpoint, self._clock_s())

    def replace_all(self, endpoints: Iterable[Endpoint]) -> None:
        """Take in a whole list: what is not on it is gone."""
        listed = {endpoint.endpoint: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            self.put(endpoint)
        with self._lock:
            now_s = self._clock_s()
            for name in list(self._listed.keys() - listed.keys()):
                self._remove(name, now_s)

    def set_cold(self, endpoint: EndpointId, cold_ms: float) -> None:
        """Note that an endpoint said itself how long it stays cold."""
        with self._lock:
            held = self._listed.get(endpoint)
            if held is not None:
                held.cold_until_s = self._clock_s() + cold_ms / 1000

    def note_leaving(self, run: EndpointRun) -> bool:
        """Note that an endpoint says that it leaves; ``True`` where that is news."""
        with self._lock:
            if run in self._leaving:
                return False
            self._leaving.put(run, None)
        log_event(Event.ENDPOINT_LEAVING, endpoint=run.endpoint, started_ms=run.started_ms)
        return True

    def is_leaving(self, run: EndpointRun) -> bool:
        """Whether a run of an endpoint says itself, or in its entry, that it leaves."""
        with self._lock:
            held = self._listed.get(run.endpoint)
            if held is not None and held.endpoint.run == run:
                return held.endpoint.state is not EndpointState.READY or run in self._leaving
            return run in self._leaving

    def set_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Close exactly these failure domains for work."""
        with self._lock:
            changed = domains ^ self._evacuated
            self._evacuated = domains
        for domain in changed:
            log_event(Event.DOMAIN_EVACUATED, failure_domain=domain, closed=int(domain in domains))

    def usable(self, service: ServiceId, region: RegionId) -> list[Endpoint]:
        """Return the endpoints of a service in a region that take new work, cold ones too."""
        with self._lock:
            self._expire()
            names = self._by_place.get(_Place(service, region), {})
            return [
                endpoint
                for name in names
                if self._takes_work(endpoint := self._listed[name].endpoint)
            ]

    def find(self, endpoint: EndpointId) -> Endpoint | None:
        """Return the entry of an endpoint, ``None`` where it has none."""
        with self._lock:
            held = self._listed.get(endpoint)
            return held.endpoint if held is not None else None

    def at_point(self, point: EndpointPoint) -> EndpointId | None:
        """Return the endpoint that datagrams name so, ``None`` where none is listed."""
        return self._by_point.get(point)

    def may_use(self, endpoint: Endpoint) -> bool:
        """Whether exactly this run of an endpoint still takes new work."""
        with self._lock:
            self._expire()
            held = self._listed.get(endpoint.endpoint)
            if held is None or held.endpoint.run != endpoint.run:
                return False
            return self._takes_work(held.endpoint)

    def is_cold(self, endpoint: EndpointId) -> bool:
        """Whether the endpoint is still cold."""
        with self._lock:
            held = self._listed.get(endpoint)
            return held is not None and held.cold_until_s > self._clock_s()

    def entries(self) -> Mapping[EndpointId, Endpoint]:
        """Return every listed endpoint by its id."""
        with self._lock:
            return {name: held.endpoint for name, held in self._listed.items()}

    @property
    def evacuated(self) -> frozenset[FailureDomainId]:
        """The failure domains that are closed for work."""
        return self._evacuated

    def _takes_work(self, endpoint: Endpoint) -> bool:
        if endpoint.state is not EndpointState.READY or endpoint.run in self._leaving:
            return False
        return endpoint.failure_domain not in self._evacuated

    def _remove(self, endpoint: EndpointId, now_s: float) -> None:
        held = self._listed.get(endpoint)
        if held is None:
            return
        if held.missing_until_s is None and now_s < self._returned_s + RETURN_S:
            held.missing_until_s = self._returned_s + RETURN_S
            self._missing.add(endpoint)
            return
        if held.missing_until_s is not None and now_s < held.missing_until_s:
            return
        self._forget(endpoint)
        self._tell_run_ended(held.endpoint)
        log_event(Event.ENDPOINT_GONE, endpoint=endpoint)

    def _tell_run_ended(self, endpoint: Endpoint) -> None:
        is_draining = endpoint.state is not EndpointState.READY
        self.on_run_ended(endpoint, is_draining or endpoint.run in self._leaving)

    def _forget(self, endpoint: EndpointId) -> None:
        held = self._listed.pop(endpoint, None)
        self._missing.discard(endpoint)
        if held is not None:
            del self._by_place[_place(held.endpoint)][endpoint]
            self._by_point.pop(endpoint_point(endpoint), None)

    def _expire(self) -> None:
        now_s = self._clock_s()
        for name in list(self._missing):
            missing_until_s = self._listed[name].missing_until_s
            if missing_until_s is not None and now_s >= missing_until_s:
                self._remove(name, now_s)


def _place(endpoint: Endpoint) -> _Place:
    return _Place(endpoint.service, endpoint.region)
