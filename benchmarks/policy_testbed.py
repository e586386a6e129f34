"""Runs a deployment under one routing policy and measures the answers at its callers."""

from __future__ import annotations

import http.client
import json
import threading
import time
import zlib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import numpy as np
from arrivals import LAMAA_KINDS
from arrivals import TERANGA_KINDS
from arrivals import record_arrivals
from primroseferry_core.plans import Weights
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment

if TYPE_CHECKING:
    from arrivals import Arrival
    from arrivals import RequestKind
    from primroseferry_standins.deployment import Deployment

REGIONS = ("north", "middle", "south")
PRICES = {"north": "1.0", "middle": "1.3", "south": "0.7"}
GATEWAYS_PER_REGION = 2
SLOTS = 4
STEP_MS = 12.0
CALLER_THREADS = 200
ANSWER_TIMEOUT_S = 10.0
LINK_DELAY_MS = 55.0
TOKEN = "caller"


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer's workload and deployment.

    ``engines`` is the number of engines in each region, ``weights`` are those of its plan.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    engines: tuple[int, ...]
    weights: Weights
    capacity_per_s: float


CUSTOMERS = (
    Customer("Teranga Kura", TERANGA_KINDS, (2, 2, 2), Weights(3, 1, 3), 65.0),
    Customer("Lamaa", LAMAA_KINDS, (2, 2, 1), Weights(1, 4, 1), 62.0),
)


@dataclass(slots=True)
class Outcome:
    """The result of one request, as measured by its caller."""

    arrival: Arrival
    is_done: bool = False
    is_refused: bool = False
    first_token_ms: float = 0.0
    answer_ms: float = 0.0
    request_id: str = ""

    @property
    def is_in_time(self) -> bool:
        """Whether the answer was complete within the time that the caller set."""
        return self.is_done and self.answer_ms <= self.arrival.kind.needed_within_ms


@dataclass(slots=True)
class PolicyTestbed:
    """A running deployment whose engines can be replaced.

    ``engines_started`` numbers the engines, so that a replacement gets a new name.
    """

    customer: Customer
    deployment: Deployment
    engines_started: int = 0
    outcomes: list[Outcome] = field(default_factory=list)

    def engine_names(self, region: str) -> list[str]:
        """Return the names of one region's engines that have not been removed."""
        return [
            name for name in self.deployment.endpoints if self.deployment.regions[name] == region
        ]

    def add_engine(self, region: str) -> str:
        """Start an engine with a cold cache and publish it in the instance list."""
        self.engines_started += 1
        name = f"{region}-engine-{self.engines_started}"
        self.deployment.add_endpoint(engine_shape(name, region))
        return name

    def remove_engine(self, name: str) -> None:
        """Kill an engine and remove it from the instance list."""
        self.deployment.endpoints.pop(name).kill()
        self.deployment.unpublish(name)

    def restore(self) -> None:
        """Replace missing engines, heal the links and clear the faults of all engines."""
        self.deployment.cut("north", "middle", "none")
        for name, process in list(self.deployment.endpoints.items()):
            if not process.is_running():
                self.remove_engine(name)
        for region, count in zip(REGIONS, self.customer.engines, strict=True):
            while len(self.engine_names(region)) < count:
                self.add_engine(region)
        for process in self.deployment.endpoints.values():
            process.fault(load_lag_ms=0, crash_marker="")

    def tokens_sent(self) -> int:
        """Return the number of tokens that the running engines have sent."""
        rows = self.deployment.endpoints.values()
        return sum(row.control("/state")["tokens_sent"] for row in rows if row.is_running())

    def serving_regions(self) -> dict[str, str]:
        """Map each request id to the region whose engine started the request.

        If several engines started it, the one that was added last counts.
        """
        regions = {}
        for name, process in self.deployment.endpoints.items():
            for line in process.log_lines():
                if started := line.get("started"):
                    regions[started["request_id"]] = self.deployment.regions[name]
        return regions

    def replay(self, arrivals: list[Arrival], retries: int = 0) -> list[Outcome]:
        """Send every request at its arrival time, independent of the other requests (open loop)."""
        began_s = time.monotonic()
        outcomes = [Outcome(arrival) for arrival in arrivals]
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            for outcome in outcomes:
                pause_s = began_s + outcome.arrival.at_s - time.monotonic()
                if pause_s > 0:
                    time.sleep(pause_s)
                pool.submit(self._send_with_retries, outcome, retries)
        return outcomes

    def _send_with_retries(self, outcome: Outcome, retries: int) -> None:
        region = REGIONS[outcome.arrival.region]
        gateways = self.deployment.gateways_of(region)
        began_s = time.monotonic()
        for attempt in range(retries + 1):
            first = zlib.crc32(outcome.arrival.prompt.encode())
            address = gateways[(first + attempt) % len(gateways)].address
            self._send_once(outcome, address, began_s)
            if outcome.is_done:
                return

    def _send_once(self, outcome: Outcome, address: str, began_s: float) -> None:
        kind = outcome.arrival.kind
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S)
        body = {
            "model": "m",
            "messages": [{"role": "user", "content": outcome.arrival.prompt}],
            "max_tokens": kind.answer_tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "X-Needed-Within-Ms": str(kind.needed_within_ms),
        }
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
            response = connection.getresponse()
            first_token_s = time.monotonic()
            content = response.read()
        except (OSError, http.client.HTTPException):
            return
        finally:
            connection.close()
        outcome.request_id = response.getheader("X-Request-Id", "")
        outcome.is_refused = response.status != 200
        outcome.is_done = response.status == 200 and b"primroseferry" in content
        if outcome.is_done:
            outcome.first_token_ms = (first_token_s - began_s) * 1000
            outcome.answer_ms = (time.monotonic() - began_s) * 1000


def engine_shape(name: str, region: str) -> EndpointShape:
    """Return an engine with the slots, step time, price and cache size of this benchmark."""
    options = ("--slots", str(SLOTS), "--step-ms", str(STEP_MS), "--price", PRICES[region])
    return EndpointShape(name, region, "m", options=(*options, "--cache-blocks", "40"))


def start_policy_testbed(customer: Customer, policy: str) -> PolicyTestbed:
    """Start one customer's deployment with gateways that use the routing policy ``policy``."""
    weights = customer.weights
    plans = f"""
revision: 0
customers: [{{customer: one, plan: only}}]
plans:
  - plan: only
    regions: [{", ".join(REGIONS)}]
    urgency: normal
    accepted_cost: 2
    weights: {{cost: {weights.cost}, tail_latency: {weights.tail_latency},
              share_sent_away: {weights.share_sent_away}}}
    models: [{{model: m, max_open_requests: 5000}}]
"""
    testbed = PolicyTestbed(customer, None)  # type: ignore[arg-type]
    endpoints = []
    for region, count in zip(REGIONS, customer.engines, strict=True):
        for _ in range(count):
            testbed.engines_started += 1
            endpoints.append(engine_shape(f"{region}-engine-{testbed.engines_started}", region))
    shape = DeploymentShape(
        regions=REGIONS,
        gateways_per_region=GATEWAYS_PER_REGION,
        endpoints=tuple(endpoints),
        plans=plans,
        clients={TOKEN: {"customer": "one", "region": REGIONS[0]}},
        link_delay_ms=LINK_DELAY_MS,
        gateway_options=("--routing-policy", policy, "--log-level", "error"),
    )
    testbed.deployment = start_deployment(shape)
    return testbed


def arrivals_of_day(customer: Customer, load: float, day_s: float, seed: int) -> list[Arrival]:
    """Return a day of arrivals at ``load`` times the deployment's capacity."""
    rate_per_s = customer.capacity_per_s * load
    return record_arrivals(customer.kinds, len(REGIONS), rate_per_s, day_s, seed)


def run_after(delay_s: float, action: object) -> threading.Timer:
    """Run ``action`` after a delay on a separate thread."""
    timer = threading.Timer(delay_s, action)  # type: ignore[arg-type]
    timer.daemon = True
    timer.start()
    return timer


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, or 0 if there are no values."""
    return float(np.percentile(values, share)) if values else 0.0
