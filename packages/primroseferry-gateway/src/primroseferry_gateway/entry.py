"""Selects the entry gateways and the idempotency key prefix for a caller."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_core.ids import IncarnationId
from primroseferry_once.keys import Owner
from primroseferry_once.keys import issue_prefix

if TYPE_CHECKING:
    from primroseferry_core.plans import PlanUse
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_platform.client_directory import Client
    from primroseferry_platform.instance_list import Instance

    from .fleet import FleetView
    from .work_gate import WorkGate

MAX_ENTRIES = 6
VALID_S = 30


class EntryDirectory:
    """Lists entry gateways, those of the caller's home region first, without stopping ones."""

    def __init__(self, identity: SelfIdentity, fleet: FleetView, gate: WorkGate) -> None:
        self._identity = identity
        self._fleet = fleet
        self._gate = gate

    def describe(self, client: Client, plan: PlanUse) -> dict[str, Any]:
        """Return at most ``MAX_ENTRIES`` gateways in order of preference and a new key prefix.

        The prefix names as owner the first listed gateway whose incarnation is known here, so that
        a caller that follows the order sends its keys straight to their owner.
        """
        gateways = self._ordered(client, plan)
        answer: dict[str, Any] = {
            "entries": [
                {"instance": row.instance, "region": row.region, "address": row.address}
                for row in gateways
            ],
            "valid_s": VALID_S,
        }
        owner = self._first_owner(gateways)
        if owner is not None:
            answer["idempotency_key_prefix"] = issue_prefix(owner)
        return answer

    def _ordered(self, client: Client, plan: PlanUse) -> list[Instance]:
        regions = sorted(plan.regions, key=lambda region: region != client.home_region)
        ordered: list[Instance] = []
        for region in regions:
            gateways = [
                row
                for row in self._fleet.live_gateways(region)
                if not (row.instance == self._identity.instance and self._gate.is_closed)
            ]
            random.shuffle(gateways)
            ordered += gateways
        return ordered[:MAX_ENTRIES]

    def _first_owner(self, gateways: list[Instance]) -> Owner | None:
        for row in gateways:
            if row.instance == self._identity.instance:
                return Owner(self._identity.incarnation, row.instance)
            fact = self._fleet.gateway_fact(row.instance)
            if fact is not None:
                return Owner(IncarnationId(fact.gateway.incarnation), row.instance)
        return None
