"""What is made of the reports and notes of other gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_policy.prompt import last_shared_part

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_policy.far_parts import PartReading

    from ..control.peer_sync import PeerSync
    from ..endpoints.catalog import EndpointCatalog
    from ..endpoints.catalog import EndpointRun
    from ..relay_policy import RelayPolicy
    from ..routes.route_table import RouteTable
    from .peer_report import Blame
    from .peer_report import PeerReport
    from .peer_report import PlacementNote
    from .peer_table import PeerTable


class PeerFeed:
    """Brings loads, cached parts and blames of other gateways into this one's policy."""

    def __init__(
        self,
        peers: PeerTable,
        catalog: EndpointCatalog,
        policy: RelayPolicy,
        sync: PeerSync,
        tables: Callable[[], RouteTable | None],
    ) -> None:
        self._peers = peers
        self._catalog = catalog
        self._policy = policy
        self._sync = sync
        self._tables = tables

    def hear(self, report: PeerReport) -> None:
        """Take in the loads of a gateway of this region."""
        if report.region != self._peers.own_region:
            return
        self._policy.loads.hear_peer(report.instance, report.loads)

    def hear_note(self, note: PlacementNote) -> None:
        """Take in a request that a gateway of this region gave to an endpoint."""
        placed = note.placed
        self._policy.loads.hear_begin(note.instance, placed.endpoint, placed.work)
        table = self._tables()
        endpoint = self._catalog.find(placed.endpoint)
        service = table.services.get(endpoint.service) if table and endpoint else None
        if service is not None and service.engine is not None:
            tokens = service.engine.cache_tokens
            self._policy.parts.note_read(placed.endpoint, placed.parts, tokens)
            shared = last_shared_part(placed.parts)
            if shared is not None:
                self._policy.told_parts.note(shared.part)
            self._policy.reading.note(placed.endpoint, placed.work.unread_tokens)

    def hear_blame(self, blame: Blame) -> None:
        """Take in a request that an endpoint died of."""
        self._policy.quarantine.blame(blame.fingerprint, [blame.death])

    def hear_leaving(self, run: EndpointRun) -> None:
        """Take in an endpoint that said to another gateway that it leaves."""
        self._catalog.note_leaving(run)

    def hear_reading(self, reading: PartReading) -> None:
        """Take in which engine of another region was given shared parts."""
        self._policy.far_parts.note(reading)

    def tick(self) -> None:
        """Drop what gateways told that are gone, and look whether a peer knows more."""
        for instance in self._peers.expire():
            self._policy.loads.forget_peer(instance)
        self._sync.tick()
