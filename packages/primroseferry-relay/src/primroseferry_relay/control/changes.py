"""Changes that the items of the store decode to, and the protocol of the decoder.

Each deployment supplies its own decoder.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import FailureDomainId

    from ..endpoints.endpoint import Endpoint
    from ..routes.route_table import RouteTable
    from .metadata_store import StoredItem


@dataclass(frozen=True, slots=True)
class RoutesChanged:
    """The complete route table was replaced."""

    table: RouteTable


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint was added, or its entry changed."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """An endpoint's entry was removed, or no longer describes a usable endpoint."""

    endpoint: EndpointId
    reason: str


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """A failure domain was closed for new work, or opened again."""

    domain: FailureDomainId
    is_closed: bool


@dataclass(frozen=True, slots=True)
class ItemIgnored:
    """An item that contains nothing usable, with the reason."""

    reason: str


ControlChange = RoutesChanged | EndpointChanged | EndpointRemoved | DomainEvacuated | ItemIgnored


class ControlAdapter(Protocol):
    """Decodes the store's items that operators and endpoints write."""

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The key prefixes in the store below which these items are kept."""

    def decode(self, item: StoredItem) -> ControlChange:
        """Return the change that an item describes.

        Never raises: an item that cannot be decoded gives ``ItemIgnored`` or ``EndpointRemoved``.
        """
