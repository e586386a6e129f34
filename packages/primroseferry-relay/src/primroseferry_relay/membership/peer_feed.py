"""Applies the state that other gateways report to this gateway's policy and catalog."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.far_parts import PartPrefill

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_policy.endpoint_loads import OpenWork

    from ..control.peer_sync import PeerSync
    from ..endpoints.catalog import EndpointCatalog
    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointHash
    from ..endpoints.run_notice import RunNotice
    from ..endpoints.run_verification import RunVerification
    from ..relay_policy import RelayPolicy
    from ..routes.route_table import RouteTable
    from .datagrams import Blame
    from .datagrams import CachedParts
    from .datagrams import Digest


class PeriodicTask(Protocol):
    """Work that is due now and then and never blocks."""

    def tick(self) -> None:
        """Do what is due."""


class PeerFeed:
    """Applies loads, cached parts, blames and leaving endpoints reported by other gateways.

    ``tasks`` are run with each ``tick``.
    """

    def __init__(
        self,
        catalog: EndpointCatalog,
        policy: RelayPolicy,
        sync: PeerSync,
        current_table: Callable[[], RouteTable | None],
        runs: RunVerification,
        tasks: Sequence[PeriodicTask],
    ) -> None:
        self._catalog = catalog
        self._policy = policy
        self._sync = sync
        self._current_table = current_table
        self._runs = runs
        self._tasks = (runs, *tasks)

    def on_digest(self, digest: Digest, own_loads: Mapping[EndpointHash, OpenWork]) -> None:
        """Apply the region's loads; ``own_loads`` is this gateway's share of them."""
        resolved = [(self._catalog.find_by_hash(load.endpoint), load) for load in digest.loads]
        known = [(name, load) for name, load in resolved if name is not None]
        own = {
            name: work
            for endpoint_hash, work in own_loads.items()
            if (name := self._catalog.find_by_hash(endpoint_hash)) is not None
        }
        self._policy.loads.update_region(
            {name: load.work for name, load in known}, own, digest.is_full
        )
        self._policy.loads.unreported_placements = digest.unreported_placements
        self._policy.prefill_load.update_region(
            {name: load.prefill_tokens_per_s for name, load in known}, digest.is_full
        )
        for cached in digest.parts:
            self._record_parts(cached)
        for part in digest.remote_parts:
            endpoint = self._catalog.find_by_hash(part.endpoint)
            if endpoint is not None:
                self._policy.remote_parts.note(PartPrefill(endpoint, part.part, part.tokens))

    def on_digest_timeout(self) -> None:
        """Discard the loads of other gateways because they are too old."""
        self._policy.loads.update_region({}, {}, is_full=True)
        self._policy.prefill_load.update_region({}, is_full=True)

    def on_blame(self, blame: Blame) -> None:
        """Record a request that was running on an endpoint when it crashed."""
        log_event(Event.BLAME_RECEIVED, fingerprint=blame.fingerprint, death=blame.death)
        self._policy.quarantine.blame(blame.fingerprint, [blame.death])

    def on_endpoint_leaving(self, run: EndpointRun) -> None:
        """Record an endpoint that announced to another gateway that it is leaving."""
        self._catalog.note_leaving(run)

    def on_run_notice(self, notice: RunNotice) -> None:
        """Apply what another gateway says of an endpoint's run that may have ended."""
        self._runs.on_notice(notice)

    def tick(self) -> None:
        """Fetch newer control items from peers, and run the other tasks."""
        self._sync.tick()
        for task in self._tasks:
            task.tick()

    def _record_parts(self, cached: CachedParts) -> None:
        name = self._catalog.find_by_hash(cached.endpoint)
        tokens = self._cache_tokens(name) if name is not None else None
        if name is not None and tokens is not None:
            self._policy.parts.record_prefill(name, cached.parts, tokens)

    def _cache_tokens(self, name: EndpointId) -> int | None:
        table = self._current_table()
        endpoint = self._catalog.find(name)
        service = table.services.get(endpoint.service) if table and endpoint else None
        return service.engine.cache_tokens if service and service.engine else None
