"""Two example deployments with three regions each, for the demo."""

from __future__ import annotations

from .deployment import DeploymentShape
from .deployment import EndpointShape

LINK_DELAY_MS = 55.0

TERANGA_PLANS = """
revision: 0
customers:
  - {customer: dakar-shop, plan: franchise}
  - {customer: thies-shop, plan: franchise}
plans:
  - plan: franchise
    regions: [dakar, thies, saint-louis]
    urgency: normal
    accepted_cost: 4
    weights: {cost: 3, tail_latency: 1, share_sent_away: 3}
    models:
      - {model: dossier, max_open_requests: 60}
      - {model: question, max_open_requests: 60}
    services:
      - service: orders
        max_open_requests: 60
        operations:
          - operation: POST /orders
            execution: at-most-once
            lookup_path: /runs/by-key/{key}
          - {operation: GET /stock, execution: idempotent}
"""

LAMAA_PLANS = """
revision: 0
customers:
  - {customer: casablanca-bay, plan: member}
  - {customer: tanger-bay, plan: member}
plans:
  - plan: member
    regions: [casablanca, marrakech, tanger]
    urgency: high
    accepted_cost: 4
    weights: {cost: 1, tail_latency: 4, share_sent_away: 1}
    models:
      - {model: draft, max_open_requests: 60}
    services:
      - service: bookings
        max_open_requests: 60
        operations:
          - operation: POST /bookings
            execution: at-most-once
            lookup_path: /runs/by-key/{key}
          - operation: POST /payments
            execution: at-most-once
            lookup_path: /runs/by-key/{key}
          - {operation: GET /loyalty, execution: idempotent}
"""


def teranga_kura(gateways_per_region: int = 2) -> DeploymentShape:
    """Return three regions of Senegal with 6 engines and 3 order services."""
    regions = ("dakar", "thies", "saint-louis")
    models = {"dakar": ("dossier", "dossier", "question"), "thies": ("dossier", "question")}
    engines = [
        EndpointShape(f"{region}-{model}-{number}", region, model, options=("--price", price))
        for region, price in (("dakar", "1.0"), ("thies", "1.2"), ("saint-louis", "0.8"))
        for number, model in enumerate(models.get(region, ("dossier",)), start=1)
    ]
    services = [EndpointShape(f"{region}-orders", region, "orders", False) for region in regions]
    return DeploymentShape(
        regions=regions,
        gateways_per_region=gateways_per_region,
        endpoints=(*engines, *services),
        plans=TERANGA_PLANS,
        clients={
            "dakar-token": {"customer": "dakar-shop", "region": "dakar"},
            "thies-token": {"customer": "thies-shop", "region": "thies"},
        },
        link_delay_ms=LINK_DELAY_MS,
    )


def lamaa(gateways_per_region: int = 2) -> DeploymentShape:
    """Return three regions of Morocco with 5 engines and 3 booking and loyalty services."""
    regions = ("casablanca", "marrakech", "tanger")
    counts = {"casablanca": 2, "marrakech": 2, "tanger": 1}
    engines = [
        EndpointShape(f"{region}-draft-{number}", region, "draft")
        for region, count in counts.items()
        for number in range(1, count + 1)
    ]
    services = [
        EndpointShape(f"{region}-bookings", region, "bookings", False) for region in regions
    ]
    return DeploymentShape(
        regions=regions,
        gateways_per_region=gateways_per_region,
        endpoints=(*engines, *services),
        plans=LAMAA_PLANS,
        clients={
            "casablanca-token": {"customer": "casablanca-bay", "region": "casablanca"},
            "tanger-token": {"customer": "tanger-bay", "region": "tanger"},
        },
        link_delay_ms=LINK_DELAY_MS,
    )
