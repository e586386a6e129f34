"""What is made of what other gateways tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.far_parts import PartReading

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_policy.endpoint_loads import OpenWork

    from ..control.peer_sync import PeerSync
    from ..control.quarantine_records import QuarantineRecords
    from ..endpoints.catalog import EndpointCatalog
    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.endpoint_point import EndpointPoint
    from ..relay_policy import RelayPolicy
    from ..routes.route_table import RouteTable
    from .datagrams import Blame
    from .datagrams import Digest
    from .datagrams import HeldParts


class PeerFeed:
    """Brings loads, cached parts and blames of other gateways into this one's policy."""

    def __init__(
        self,
        catalog: EndpointCatalog,
        policy: RelayPolicy,
        sync: PeerSync,
        tables: Callable[[], RouteTable | None],
        records: QuarantineRecords,
    ) -> None:
        self._catalog = catalog
        self._policy = policy
        self._sync = sync
        self._tables = tables
        self._records = records

    def hear_digest(self, digest: Digest, own_loads: Mapping[EndpointPoint, OpenWork]) -> None:
        """Take in the region's loads; ``own_loads`` are this gateway's share of them."""
        named = [(self._catalog.at_point(load.endpoint), load) for load in digest.loads]
        known = [(name, load) for name, load in named if name is not None]
        own = {
            name: work
            for point, work in own_loads.items()
            if (name := self._catalog.at_point(point)) is not None
        }
        self._policy.loads.hear_region(
            {name: load.work for name, load in known}, own, digest.is_full
        )
        self._policy.loads.unseen_placements = digest.unseen_placements
        self._policy.reading.hear_region(
            {name: load.reading_tokens_per_s for name, load in known}, digest.is_full
        )
        for held in digest.parts:
            self._note_parts(held)
        for part in digest.far_parts:
            endpoint = self._catalog.at_point(part.endpoint)
            if endpoint is not None:
                self._policy.far_parts.note(PartReading(endpoint, part.part, part.tokens))

    def lose_digests(self) -> None:
        """Forget the loads that others told, because they are too old."""
        self._policy.loads.hear_region({}, {}, is_full=True)
        self._policy.reading.hear_region({}, is_full=True)

    def hear_blame(self, blame: Blame) -> None:
        """Take in a request that an endpoint died of."""
        log_event(Event.BLAME_HEARD, fingerprint=blame.fingerprint, death=blame.death)
        self._policy.quarantine.blame(blame.fingerprint, [blame.death])

    def hear_leaving(self, run: EndpointRun) -> None:
        """Take in an endpoint that said to another gateway that it leaves."""
        self._catalog.note_leaving(run)

    def tick(self) -> None:
        """Look whether peers know more of the store, and whether the store is to be told."""
        self._sync.tick()
        self._records.tick()

    def _note_parts(self, held: HeldParts) -> None:
        name = self._catalog.at_point(held.endpoint)
        tokens = self._cache_tokens(name) if name is not None else None
        if name is not None and tokens is not None:
            self._policy.parts.note_read(name, held.parts, tokens)

    def _cache_tokens(self, name: EndpointId) -> int | None:
        table = self._tables()
        endpoint = self._catalog.find(name)
        service = table.services.get(endpoint.service) if table and endpoint else None
        return service.engine.cache_tokens if service and service.engine else None
