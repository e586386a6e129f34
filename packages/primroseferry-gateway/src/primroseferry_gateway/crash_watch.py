"""Blames requests for crashed endpoints and reports this to every reachable gateway."""

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
    from primroseferry_policy.probation import SuspectIsolation
    from primroseferry_policy.quarantine import Quarantine

    from .fleet import FleetView

BLAME_TTL_MS = 600_000


class CrashWatch:
    """The quarantine of this gateway, merged with those of its peers through facts."""

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
        """Raise ``REQUEST_QUARANTINED`` if the request has crashed endpoints."""
        if self._quarantine.is_quarantined(fingerprint):
            raise problem_error(
                ErrorKind.REQUEST_QUARANTINED,
                "two endpoints crashed while running this request; change the request or retry it "
                f"after {BLAME_TTL_MS // 60_000} minutes",
            )

    def refuse_quarantined_and_leave(
        self, fingerprint: Fingerprint, probation: SuspectIsolation, endpoint: EndpointId
    ) -> None:
        """Like :meth:`refuse_quarantined`, but frees ``endpoint`` before it raises."""
        if self._quarantine.is_quarantined(fingerprint):
            probation.leave(endpoint)
            self.refuse_quarantined(fingerprint)

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Whether the request was running on an endpoint that crashed and has no answer since."""
        return self._quarantine.is_suspected(fingerprint)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Record a complete answer: the request does not crash endpoints."""
        self._quarantine.clear(fingerprint)

    def blame(self, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Record that the endpoint crashed while running the request; inform peers at once."""
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

    def record_peer_blame(self, fact: Fact) -> None:
        """Apply a blame received from a peer and forward it at once."""
        self._quarantine.blame(Fingerprint(fact.subject), list(fact.blame.endpoints))
        self._exchanger.push_soon()

    def isolation_order(self, endpoints: Sequence[EndpointId]) -> list[EndpointId]:
        """Return the endpoints on which suspects of this gateway are isolated.

        Each endpoint is assigned to one live gateway of the region, so that two gateways do not
        isolate suspects on the same one. Without an assigned endpoint, all are returned.
        """
        live = [str(row.instance) for row in self._fleet.live_gateways(self._identity.region)]
        me = str(self._identity.instance)
        mine = [
            endpoint
            for endpoint in endpoints
            if rendezvous_order(f"isolation/{endpoint}", {*live, me})[0] == me
        ]
        return mine or list(endpoints)
