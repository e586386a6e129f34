"""Blames requests for dead endpoints and tells every gateway that can be reached."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.logs import log_event
from primroseferry_peers.proto.peer_pb2 import CRASH_BLAME
from primroseferry_peers.proto.peer_pb2 import BlameFact
from primroseferry_peers.proto.peer_pb2 import Fact

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_peers.exchanger import Exchanger
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore
    from primroseferry_policy.probation import Probation
    from primroseferry_policy.quarantine import Quarantine

    from .fleet import FleetView

BLAME_TTL_MS = 600_000


class CrashWatch:
    """The quarantine of this gateway, joined with those of its peers through facts."""

    def __init__(
        self,
        identity: SelfIdentity,
        quarantine: Quarantine,
        facts: FactStore,
        exchanger: Exchanger,
        fleet: FleetView,
    ) -> None:
        self._identity = identity
        self._quarantine = quarantine
        self._facts = facts
        self._exchanger = exchanger
        self._fleet = fleet

    def refuse_quarantined(self, fingerprint: Fingerprint) -> None:
        """Raise ``REQUEST_QUARANTINED`` where endpoints died of the request."""
        if self._quarantine.is_quarantined(fingerprint):
            raise problem_error(
                ErrorKind.REQUEST_QUARANTINED,
                "two endpoints died while they ran this request; it is not run again before "
                f"{BLAME_TTL_MS // 60_000} minutes have passed, change it or come back then",
            )

    def refuse_quarantined_and_leave(
        self, fingerprint: Fingerprint, probation: Probation, endpoint: EndpointId
    ) -> None:
        """Like :meth:`refuse_quarantined`, after a wait for ``endpoint``, which is freed."""
        if self._quarantine.is_quarantined(fingerprint):
            probation.leave(endpoint)
            self.refuse_quarantined(fingerprint)

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Whether the request was running on an endpoint that died and was not answered since."""
        return self._quarantine.is_suspected(fingerprint)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Note a whole answer: the request does not crash endpoints."""
        self._quarantine.clear(fingerprint)

    def blame(self, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Note that the endpoint died while it ran the request, and tell the fleet at once."""
        log_event(Event.FINGERPRINT_BLAMED, fingerprint=fingerprint, endpoint=endpoint)
        death = f"{endpoint}@{int(time.time())}"
        endpoints = self._quarantine.blame(fingerprint, [death])
        fact = Fact(
            kind=CRASH_BLAME,
            subject=fingerprint,
            region=self._identity.region,
            fleet_wide=True,
            version=len(endpoints),
            ttl_ms=BLAME_TTL_MS,
            blame=BlameFact(endpoints=endpoints),
        )
        self._facts.accept([fact])
        self._exchanger.push_soon()

    def hear(self, fact: Fact) -> None:
        """Take in a blame told by a peer and pass it on at once."""
        self._quarantine.blame(Fingerprint(fact.subject), list(fact.blame.endpoints))
        self._exchanger.push_soon()

    def isolation_order(self, endpoints: Sequence[EndpointId]) -> list[EndpointId]:
        """Return the endpoints, those first on which other gateways will not isolate suspects."""
        live = [str(row.instance) for row in self._fleet.live_gateways(self._identity.region)]
        me = str(self._identity.instance)
        mine = [
            endpoint
            for endpoint in endpoints
            if rendezvous_order(f"isolation/{endpoint}", {*live, me})[0] == me
        ]
        return mine or list(endpoints)
