"""The endpoints that this gateway knows, and which of them may receive requests.

The removal of an entry takes effect at once, with one exception. Entries expire during an outage of
the store, and endpoints that still run register again shortly after the store returns. A removal
within ``REREGISTRATION_GRACE_S`` after the store's return therefore takes effect only at the end of
this time, and only if the entry is still missing.

An endpoint that reports in an answer that it is leaving receives no new requests from then on,
whatever its entry says. This report applies to one run of its process. It is kept when the entry is
removed, because an entry may expire and be registered again.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .endpoint import Endpoint
from .endpoint import EndpointState
from .endpoint_point import endpoint_hash
from .software_version import UNKNOWN_VERSION
from .version_history import VersionHistory

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import RegionId
    from primroseferry_core.ids import ServiceId
    from primroseferry_core.ids import SoftwareVersion

    from .endpoint import EndpointRun
    from .endpoint_point import EndpointHash
    from .software_version import VersionHash

# How long entries may take to return after an outage of the store, as stated by its operators.
REREGISTRATION_GRACE_S = 2.0
# An endpoint counts as cold for this much longer than it says. By then it was asked whether it has
# started again meanwhile.
COLD_MARGIN_S = 0.3
# How many runs that reported to be leaving are remembered. A fleet replaces far fewer endpoints in
# an hour.
MAX_LEAVING_RUNS = 4_096


@dataclass(slots=True)
class _CatalogEntry:
    endpoint: Endpoint
    cold_until_s: float
    # The same by the endpoint's own answer, which is newer than its entry.
    answered_cold_until_s: float = float("-inf")
    remove_at_s: float | None = None
    gone_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class _ServiceInRegion:
    """The key by which requests look up endpoints."""

    service: ServiceId
    region: RegionId


class EndpointCatalog:
    """The listed endpoints, and the failure domains that receive no new requests."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._clock_s = clock_s
        self._entries: dict[EndpointId, _CatalogEntry] = {}
        # Ids in order of registration; with this index, a look-up does not grow with the fleet.
        self._by_service_and_region: dict[_ServiceInRegion, dict[EndpointId, None]] = {}
        self._by_hash: dict[EndpointHash, dict[EndpointId, None]] = {}
        self._pending_removals: set[EndpointId] = set()
        self._versions = VersionHistory(clock_s)
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._store_returned_s = float("-inf")
        self._leaving: BoundedMap[EndpointRun, None] = BoundedMap(MAX_LEAVING_RUNS)
        self._lock = threading.Lock()
        # Called with each endpoint whose removal takes effect.
        self.on_removed: Callable[[EndpointId], None] = lambda _endpoint: None
        # Called with a run that is no longer listed, and whether it was leaving, by its own report
        # or by an entry that was not in the ready state.
        self.on_run_ended: Callable[[Endpoint, bool], None] = lambda _endpoint, _was_leaving: None
        # Called when the entries are those of a complete listing of the store.
        self.on_listed: Callable[[], None] = lambda: None

    def note_store_recovered(self) -> None:
        """Record that the store answers again after an outage."""
        with self._lock:
            self._store_returned_s = self._clock_s()

    def put(self, endpoint: Endpoint) -> None:
        """Add or update an entry."""
        with self._lock:
            entry = self._entries.get(endpoint.endpoint)
            now_s = self._clock_s()
            left_ms = endpoint.warmup_left_ms
            cold_until_s = now_s + left_ms / 1000 if left_ms > 0 else float("-inf")
            answered_s = float("-inf")
            gone_at_s = None
            if endpoint.gone_after_ms is not None:
                gone_at_s = now_s + endpoint.gone_after_ms / 1000
            if entry is None or entry.endpoint.run != endpoint.run:
                change = "new"
                if entry is not None:
                    self._report_run_ended(entry.endpoint)
            else:
                is_changed = entry.endpoint.state is not endpoint.state
                change = endpoint.state.value if is_changed else ""
                answered_s = entry.answered_cold_until_s
                if left_ms == entry.endpoint.warmup_left_ms:
                    cold_until_s = entry.cold_until_s
                elif left_ms <= 0:
                    cold_until_s = min(now_s, entry.cold_until_s)
                cold_until_s = max(cold_until_s, answered_s)
                # The same entry may be read again, from a listing or from another gateway.
                if endpoint.gone_after_ms == entry.endpoint.gone_after_ms:
                    gone_at_s = entry.gone_at_s
            self._delete(endpoint.endpoint)
            self._entries[endpoint.endpoint] = _CatalogEntry(
                endpoint, cold_until_s, answered_s, gone_at_s=gone_at_s
            )
            self._versions.add(endpoint)
            self._by_service_and_region.setdefault(_service_in_region(endpoint), {})[
                endpoint.endpoint
            ] = None
            self._by_hash.setdefault(endpoint_hash(endpoint.endpoint), {})[endpoint.endpoint] = None
        if change:
            log_event(
                Event.ENDPOINT_LISTED,
                endpoint=endpoint.endpoint,
                service=endpoint.service,
                address=endpoint.address,
                version=endpoint.version,
                change=change,
                cold_ms=endpoint.warmup_left_ms,
            )

    def remove(self, endpoint: EndpointId) -> None:
        """Remove an entry, at once or at the end of the grace time after a store outage."""
        with self._lock:
            self._remove(endpoint, self._clock_s())

    def replace_all(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace all entries: add or update the given ones and remove the others."""
        listed = {endpoint.endpoint: endpoint for endpoint in endpoints}
        for endpoint in listed.values():
            self.put(endpoint)
        with self._lock:
            now_s = self._clock_s()
            for name in list(self._entries.keys() - listed.keys()):
                self._remove(name, now_s)

    def set_cold(self, run: EndpointRun, cold_ms: float) -> None:
        """Record for how many ms an endpoint reports that it stays cold, if ``run`` is listed."""
        with self._lock:
            entry = self._entries.get(run.endpoint)
            if entry is None or entry.endpoint.run != run:
                return
            now_s = self._clock_s()
            if cold_ms <= 0 and entry.cold_until_s <= now_s:
                return
            is_news = cold_ms > 0 and entry.cold_until_s + COLD_MARGIN_S <= now_s
            entry.cold_until_s = entry.answered_cold_until_s = now_s + cold_ms / 1000
        if is_news:
            log_event(
                Event.ENDPOINT_COLD,
                endpoint=run.endpoint,
                started_ms=run.started_ms,
                cold_ms=cold_ms,
            )

    def note_leaving(self, run: EndpointRun) -> bool:
        """Record that an endpoint is leaving; return ``True`` if this was not known before."""
        with self._lock:
            if run in self._leaving:
                return False
            self._leaving.put(run, None)
        log_event(Event.ENDPOINT_LEAVING, endpoint=run.endpoint, started_ms=run.started_ms)
        return True

    def is_leaving(self, run: EndpointRun) -> bool:
        """Whether a run reported that it is leaving, or its entry is not in the ready state."""
        with self._lock:
            entry = self._entries.get(run.endpoint)
            if entry is not None and entry.endpoint.run == run:
                return entry.endpoint.state is not EndpointState.READY or run in self._leaving
            return run in self._leaving

    def gone_at_s(self, run: EndpointRun) -> float | None:
        """Return when a listed run is gone, in seconds of the clock; ``None`` if not known."""
        with self._lock:
            entry = self._entries.get(run.endpoint)
            return entry.gone_at_s if entry is not None and entry.endpoint.run == run else None

    def set_evacuated(self, domains: frozenset[FailureDomainId]) -> None:
        """Stop new requests to exactly these failure domains; reopen all others."""
        with self._lock:
            changed = domains ^ self._evacuated
            self._evacuated = domains
        for domain in changed:
            log_event(Event.DOMAIN_EVACUATED, failure_domain=domain, closed=int(domain in domains))

    def available_endpoints(self, service: ServiceId, region: RegionId) -> list[Endpoint]:
        """Return the endpoints of a service in a region that accept new requests, cold or not."""
        with self._lock:
            self._expire()
            names = self._by_service_and_region.get(_ServiceInRegion(service, region), {})
            return [
                endpoint
                for name in names
                if self._accepts_requests(endpoint := self._entries[name].endpoint)
            ]

    def find(self, endpoint: EndpointId) -> Endpoint | None:
        """Return the entry of an endpoint, ``None`` if it has none."""
        with self._lock:
            entry = self._entries.get(endpoint)
            return entry.endpoint if entry is not None else None

    def is_listed(self, run: EndpointRun) -> bool:
        """Whether the entry of an endpoint describes exactly this run."""
        listed = self.find(run.endpoint)
        return listed is not None and listed.run == run

    def find_by_hash(self, endpoint_hash: EndpointHash) -> EndpointId | None:
        """Return the endpoint with this hash in datagrams, ``None`` if none is listed."""
        with self._lock:
            return next(iter(self._by_hash.get(endpoint_hash, {})), None)

    def is_available(self, endpoint: Endpoint) -> bool:
        """Whether exactly this run of an endpoint still accepts new requests."""
        with self._lock:
            self._expire()
            entry = self._entries.get(endpoint.endpoint)
            if entry is None or entry.endpoint.run != endpoint.run:
                return False
            return self._accepts_requests(entry.endpoint)

    def written_version(self, endpoint: Endpoint) -> VersionHash:
        """Return the software version of an answer of an endpoint that was chosen before.

        It is unknown if the entry under its name describes another run or version by now.
        """
        known = self.find(endpoint.endpoint)
        if known is None or (known.run, known.version) == (endpoint.run, endpoint.version):
            return endpoint.version_hash
        return UNKNOWN_VERSION

    def serves_version(self, service: ServiceId, region: RegionId, version: VersionHash) -> bool:
        """Whether a region has an endpoint of a software version that accepts new requests."""
        return any(
            endpoint.version_hash == version
            for endpoint in self.available_endpoints(service, region)
        )

    def services(self) -> set[ServiceId]:
        """Return the services that have or had endpoints."""
        with self._lock:
            return {key.service for key in self._by_service_and_region}

    def listed_versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the software versions of a service's listed endpoints."""
        with self._lock:
            return self._versions.listed(service)

    def recent_versions(self, service: ServiceId) -> set[VersionHash]:
        """Return the software versions that a stream of a service may have begun at."""
        with self._lock:
            return self._versions.recent(service)

    def is_version_active(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint's version may begin streams while others can."""
        with self._lock:
            return self._versions.is_active(endpoint.service, endpoint.version)

    @property
    def version_history_age_s(self) -> float:
        """Seconds since this gateway first knew of endpoints."""
        return self._versions.age_s

    def is_cold(self, endpoint: EndpointId) -> bool:
        """Whether the endpoint is still cold, by its entry or its latest report."""
        with self._lock:
            entry = self._entries.get(endpoint)
            return entry is not None and entry.cold_until_s + COLD_MARGIN_S > self._clock_s()

    def ended_warmups(self) -> list[Endpoint]:
        """Return the endpoints that still count as cold, though their warm-up is over."""
        with self._lock:
            now_s = self._clock_s()
            return [
                entry.endpoint
                for entry in self._entries.values()
                if entry.cold_until_s <= now_s < entry.cold_until_s + COLD_MARGIN_S
            ]

    def entries(self) -> Mapping[EndpointId, Endpoint]:
        """Return every listed endpoint by its id."""
        with self._lock:
            return {name: entry.endpoint for name, entry in self._entries.items()}

    @property
    def evacuated(self) -> frozenset[FailureDomainId]:
        """The failure domains that receive no new requests."""
        return self._evacuated

    def _accepts_requests(self, endpoint: Endpoint) -> bool:
        if endpoint.state is not EndpointState.READY or endpoint.run in self._leaving:
            return False
        return endpoint.failure_domain not in self._evacuated

    def _remove(self, endpoint: EndpointId, now_s: float) -> None:
        entry = self._entries.get(endpoint)
        if entry is None:
            return
        if entry.remove_at_s is None and now_s < self._store_returned_s + REREGISTRATION_GRACE_S:
            entry.remove_at_s = self._store_returned_s + REREGISTRATION_GRACE_S
            self._pending_removals.add(endpoint)
            return
        if entry.remove_at_s is not None and now_s < entry.remove_at_s:
            return
        self._delete(endpoint)
        self._report_run_ended(entry.endpoint)
        self.on_removed(endpoint)
        log_event(Event.ENDPOINT_UNLISTED, endpoint=endpoint)

    def _report_run_ended(self, endpoint: Endpoint) -> None:
        is_draining = endpoint.state is not EndpointState.READY
        self.on_run_ended(endpoint, is_draining or endpoint.run in self._leaving)

    def _delete(self, endpoint: EndpointId) -> None:
        entry = self._entries.pop(endpoint, None)
        self._pending_removals.discard(endpoint)
        if entry is not None:
            self._versions.remove(entry.endpoint)
            del self._by_service_and_region[_service_in_region(entry.endpoint)][endpoint]
            point = endpoint_hash(endpoint)
            del self._by_hash[point][endpoint]
            if not self._by_hash[point]:
                del self._by_hash[point]

    def _expire(self) -> None:
        now_s = self._clock_s()
        for name in list(self._pending_removals):
            remove_at_s = self._entries[name].remove_at_s
            if remove_at_s is not None and now_s >= remove_at_s:
                self._remove(name, now_s)


def _service_in_region(endpoint: Endpoint) -> _ServiceInRegion:
    return _ServiceInRegion(endpoint.service, endpoint.region)
