"""Applies the items of the store: routes, endpoints, evacuations, gateways and quarantines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from ..membership.peer import GatewayState
from .changes import DomainEvacuated
from .changes import EndpointChanged
from .changes import EndpointRemoved
from .changes import ItemIgnored
from .changes import RoutesChanged
from .quarantine_records import QUARANTINE_PREFIX
from .registration import GATEWAY_PREFIX
from .version_records import VERSION_PREFIX

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseferry_core.ids import FailureDomainId

    from ..endpoints.catalog import EndpointCatalog
    from ..membership.peer_table import PeerTable
    from ..relay_policy import RelayPolicy
    from ..routes.route_table import RouteTable
    from .changes import ControlAdapter
    from .metadata_store import StoredItem
    from .quarantine_records import QuarantineRecords
    from .version_records import VersionRecords


class ControlFeed:
    """Applies each new item once, in the order of arrival."""

    def __init__(
        self,
        adapter: ControlAdapter,
        catalog: EndpointCatalog,
        peers: PeerTable,
        policy: RelayPolicy,
        records: QuarantineRecords,
        versions: VersionRecords,
    ) -> None:
        self._adapter = adapter
        self._catalog = catalog
        self._peers = peers
        self._policy = policy
        catalog.on_removed = policy.forget
        self._records = records
        self._versions = versions
        self._table: RouteTable | None = None
        self._evacuated: set[FailureDomainId] = set()

    def table(self) -> RouteTable | None:
        """Return the current route table, ``None`` before the first one."""
        return self._table

    def apply(self, item: StoredItem) -> None:
        """Apply one item. Items that cannot be decoded are logged and ignored."""
        if item.key.startswith(GATEWAY_PREFIX):
            if item.value is not None:
                self._peers.add_candidates([item.value.decode("latin-1")])
            return
        if item.key.startswith(QUARANTINE_PREFIX):
            self._records.apply(item)
            return
        if item.key.startswith(VERSION_PREFIX):
            self._versions.apply(item)
            return
        match self._adapter.decode(item):
            case RoutesChanged(table):
                self._apply_routes(table, item)
            case EndpointChanged(endpoint):
                known = self._catalog.find(endpoint.endpoint)
                self._catalog.put(endpoint)
                # After the entry: no attempt on the run of before begins any more.
                if known is not None and known.run != endpoint.run:
                    self._policy.forget(endpoint.endpoint)
                self._policy.loads.set_address(endpoint.endpoint, endpoint.address)
            case EndpointRemoved(endpoint, _reason):
                self._catalog.remove(endpoint)
            case DomainEvacuated(domain, is_closed):
                if is_closed:
                    self._evacuated.add(domain)
                else:
                    self._evacuated.discard(domain)
                self._catalog.set_evacuated(frozenset(self._evacuated))
            case ItemIgnored(reason):
                log_event(Event.CONTROL_ITEM_IGNORED, key=item.key, reason=reason)

    def apply_listing(self, prefix: str, keys: Collection[str]) -> None:
        """Apply the keys of a complete listing of a prefix."""
        if QUARANTINE_PREFIX.startswith(prefix):
            self._records.apply_listing(keys)
        if VERSION_PREFIX.startswith(prefix):
            self._versions.apply_listing(keys)
        if not prefix:
            self._catalog.on_listed()

    def _apply_routes(self, table: RouteTable, item: StoredItem) -> None:
        if self._table is not None and table.revision < self._table.revision:
            log_event(
                Event.STALE_ROUTES_REJECTED,
                revision=table.revision,
                held_revision=self._table.revision,
            )
            return
        is_first = self._table is None
        self._table = table
        self._policy.has_workspaces = table.workspaces is not None
        log_event(Event.ROUTES_APPLIED, revision=table.revision, store_revision=item.revision)
        if is_first and self._peers.own_state is GatewayState.STARTING:
            self._peers.own_state = GatewayState.READY
            log_event(Event.GATEWAY_READY, revision=table.revision)
