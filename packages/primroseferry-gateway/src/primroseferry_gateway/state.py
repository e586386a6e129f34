"""The state dump of a gateway. It contains no content of requests."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from primroseferry_once.table import OnceTable
    from primroseferry_peers.exchanger import Exchanger
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore

    from .decisions import DecisionLog
    from .fleet import FleetView
    from .metrics import Metrics
    from .plan_manager import PlanManager
    from .policy_state import PolicyState
    from .settings import GatewaySettings
    from .work_gate import WorkGate


class StateDump:
    """Collects the state and the gauges of one gateway."""

    def __init__(
        self,
        identity: SelfIdentity,
        settings: GatewaySettings,
        plans: PlanManager,
        fleet: FleetView,
        facts: FactStore,
        exchanger: Exchanger,
        gate: WorkGate,
        policy: PolicyState,
        table: OnceTable,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._plans = plans
        self._fleet = fleet
        self._facts = facts
        self._exchanger = exchanger
        self._gate = gate
        self._policy = policy
        self._table = table
        self._decisions = decisions
        self._metrics = metrics

    def update_metrics(self) -> None:
        """Set the gauges that are derived from the state."""
        self._metrics.set_state(
            self._gate.open_requests, self._plans.held_revision(), len(self._facts)
        )

    def dump(self) -> dict[str, Any]:
        """Return the complete state as JSON values."""
        return {
            "gateway": {
                "instance": self._identity.instance,
                "incarnation": self._identity.incarnation,
                "region": self._identity.region,
                "is_draining": self._gate.is_closed,
                "open_requests": self._gate.open_requests,
            },
            "settings": asdict(self._settings),
            "plans": {
                "revision": self._plans.held_revision(),
                "is_loaded": self._plans.is_loaded,
                "rejected": self._plans.rejected,
            },
            "instances": [
                {**asdict(row), "kind": row.kind.value, "state": row.state.value}
                for row in self._fleet.instances()
            ],
            "endpoints": [self._describe_endpoint(row.endpoint) for row in self._endpoints()],
            "region_loads": {
                serves: [asdict(load) for load in self._fleet.region_loads(serves)]
                for serves in self._fleet.served_in_any_region()
            },
            "circuits": {
                name: state.value for name, state in self._policy.breakers.states().items()
            },
            "capacity": [
                {"plan": key.plan, "target": key.target, "open_requests": count}
                for key, count in self._policy.capacity.open_requests().items()
            ],
            "retry_budget": self._policy.budget.available,
            "quarantined": self._policy.quarantine.quarantined(),
            "once": {
                "records": len(self._table),
                "open": self._table.count_open(),
                "owned_incarnations": self._table.owned_incarnations(),
            },
            "facts": len(self._facts),
            "exchange_bytes": self._exchanger.message_bytes,
            "traces": len(self._decisions),
        }

    def _endpoints(self) -> list[Any]:
        return self._fleet.region_endpoints()

    def _describe_endpoint(self, endpoint: Any) -> dict[str, Any]:
        states = self._policy.breakers.states()
        return {
            "endpoint": endpoint,
            "is_leaving": self._fleet.is_leaving(endpoint),
            "own_open": self._policy.loads.own_open(endpoint),
            "circuit": states[endpoint].value if endpoint in states else "closed",
            "ramp_share": self._policy.breakers.ramp_share(endpoint),
            **asdict(self._policy.loads.estimate(endpoint)),
        }
