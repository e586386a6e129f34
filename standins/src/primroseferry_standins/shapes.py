"""Deployments that several tests start."""

from __future__ import annotations

from .deployment import DeploymentShape
from .deployment import EndpointShape

LINK_DELAY_MS = 55.0

FRANCHISE_PLANS = """
revision: 0
customers:
  - {customer: shop, plan: franchise}
  - {customer: kiosk, plan: home-only}
plans:
  - plan: franchise
    regions: [dakar, thies]
    urgency: normal
    accepted_cost: 10
    weights: {cost: 2, tail_latency: 1, share_sent_away: 2}
    models:
      - {model: small, max_open_requests: 100}
    services:
      - service: orders
        max_open_requests: 50
        operations:
          - operation: POST /orders
            execution: at-most-once
            lookup_path: /runs/by-key/{key}
          - {operation: POST /payments, execution: at-most-once}
          - {operation: GET /stock, execution: idempotent}
  - plan: home-only
    regions: [saint-louis]
    urgency: high
    accepted_cost: 10
    models:
      - {model: small, max_open_requests: 100}
"""

FRANCHISE_CLIENTS = {
    "shop-token": {"customer": "shop", "region": "dakar"},
    "kiosk-token": {"customer": "kiosk", "region": "saint-louis"},
    "stranger-token": {"customer": "stranger", "region": "dakar"},
}


def three_regions(
    gateways_per_region: int = 2, gateway_options: tuple[str, ...] = ()
) -> DeploymentShape:
    """Return a deployment of three regions with links between them.

    Dakar has two engines and an order service, Thiès an order service, Saint-Louis an engine.
    """
    return DeploymentShape(
        regions=("dakar", "thies", "saint-louis"),
        gateways_per_region=gateways_per_region,
        endpoints=(
            EndpointShape("dakar-engine-1", "dakar", "small"),
            EndpointShape("dakar-engine-2", "dakar", "small"),
            EndpointShape("dakar-orders-1", "dakar", "orders", is_engine=False),
            EndpointShape("thies-orders-1", "thies", "orders", is_engine=False),
            EndpointShape("saint-louis-engine-1", "saint-louis", "small"),
        ),
        plans=FRANCHISE_PLANS,
        clients=FRANCHISE_CLIENTS,
        link_delay_ms=LINK_DELAY_MS,
        gateway_options=gateway_options,
    )


def single_region(
    gateways: int = 1, gateway_options: tuple[str, ...] = (), plans: str = FRANCHISE_PLANS
) -> DeploymentShape:
    """Return a deployment of one region, Dakar, with one engine and one order service."""
    return DeploymentShape(
        regions=("dakar",),
        gateways_per_region=gateways,
        endpoints=(
            EndpointShape("dakar-engine-1", "dakar", "small"),
            EndpointShape("dakar-orders-1", "dakar", "orders", is_engine=False),
        ),
        plans=plans,
        clients=FRANCHISE_CLIENTS,
        gateway_options=gateway_options,
    )
