"""Measures the control traffic's cost and writes ``docs/design/capacity-of-exchanges.md``."""

from __future__ import annotations

import json
import os
import sys
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.plan_format import parse_stored
from primroseferry_core.plan_format import parse_yaml
from primroseferry_core.plan_format import to_stored
from primroseferry_once.keys import ScopedKey
from primroseferry_once.table import NewOperation
from primroseferry_once.table import OnceTable
from primroseferry_once.table import StoredAnswer
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from process_usage import CURRENT_MEMORY
from process_usage import cpu_s
from process_usage import memory_mb

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_standins.deployment import Deployment

PAGE = Path(__file__).parent.parent / "docs" / "design" / "capacity-of-exchanges.md"
WINDOW_S = 12.0
SETTLE_TIME_S = 6.0
GATEWAYS = (2, 4, 8, 16)
ENDPOINTS = (10, 40, 100)
REGIONS = (2, 5, 10)
CUSTOMERS = (10, 100, 470)
TABLE_RECORDS = 20_000
ANSWER_BYTES = 200
CHANGES_PER_DAY = 2_900
DAY_S = 86_400
TARGET_GATEWAYS = 40
TARGET_ENDPOINTS = 80
TARGET_REGIONS = 10
CPU_LIMIT_SHARE = 0.038
MEMORY_LIMIT_MB = 256.0
BYTES_LIMIT_PER_S = 9_000.0
ONCE_SHARE_OF_REQUESTS = 0.02
REQUESTS_PER_S_PER_NODE = 24
MEAN_BRIDGED_REGIONS = (TARGET_REGIONS - 1) * 2 / TARGET_GATEWAYS
MAX_BRIDGED_REGIONS = 3


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost per gateway: the mean over the gateways of a run, or the maximum (``most``).

    ``memory_mb`` is a maximum. ``key_value_calls_per_min`` counts the calls of all gateways.
    """

    cpu_share: float
    cpu_share_most: float
    memory_mb: float
    bytes_per_s: float
    bytes_per_s_most: float
    key_value_calls_per_min: float


def main() -> int:
    """Measure the cost, fit it to the design size and write the page."""
    began_s = time.monotonic()
    by_gateways = [_measure(_shape(1, count, 4)) for count in GATEWAYS]
    by_endpoints = [_measure(_shape(1, 4, count)) for count in ENDPOINTS]
    by_regions = [_measure(_shape(count, 2, 1)) for count in REGIONS]
    propagation_s = _plan_propagation_s()
    page = _page(by_gateways, by_endpoints, by_regions, propagation_s, time.monotonic() - began_s)
    print(page)
    PAGE.write_text(page)
    return 0


def _shape(regions: int, gateways: int, endpoints: int) -> DeploymentShape:
    names = tuple(f"region-{number}" for number in range(regions))
    return DeploymentShape(
        regions=names,
        gateways_per_region=gateways,
        endpoints=tuple(
            EndpointShape(f"{name}-engine-{number}", name, "m")
            for name in names
            for number in range(endpoints)
        ),
        plans=_plans(100, names),
        clients={"one": {"customer": "customer-0", "region": names[0]}},
        gateway_options=("--log-level", "error"),
    )


def _plans(customers: int, regions: Sequence[str]) -> str:
    rows = "\n".join(
        f"  - {{customer: customer-{number}, plan: plan-{number % 8}}}"
        for number in range(customers)
    )
    models = "\n".join(
        f"      - {{model: model-{number}, max_open_requests: 100}}" for number in range(8)
    )
    plans = "\n".join(
        f"  - plan: plan-{number}\n    regions: [{', '.join(regions)}]\n    urgency: normal\n"
        f"    accepted_cost: 2\n    models:\n{models}"
        for number in range(8)
    )
    return f"revision: 0\ncustomers:\n{rows}\nplans:\n{plans}\n"


def _measure(shape: DeploymentShape) -> Cost:
    with start_deployment(shape) as deployment:
        time.sleep(SETTLE_TIME_S)
        gateways = list(deployment.gateways.values())
        deployment.key_value.fault(reset_counts=True)
        bytes_before = [gateway_state(row)["exchange_bytes"] for row in gateways]
        cpu_before = [cpu_s(row) for row in gateways]
        time.sleep(WINDOW_S)
        cpu = [
            (cpu_s(row) - before) / WINDOW_S
            for row, before in zip(gateways, cpu_before, strict=True)
        ]
        bytes_per_s = [
            (gateway_state(row)["exchange_bytes"] - before) / WINDOW_S
            for row, before in zip(gateways, bytes_before, strict=True)
        ]
        counts = deployment.key_value.control("/state")["counts"]
        memory = [memory_mb(row, CURRENT_MEMORY) for row in gateways]
    cost = Cost(
        cpu_share=float(np.mean(cpu)),
        cpu_share_most=max(cpu),
        memory_mb=max(memory),
        bytes_per_s=float(np.mean(bytes_per_s)),
        bytes_per_s_most=max(bytes_per_s),
        key_value_calls_per_min=sum(counts.values()) * 60 / WINDOW_S,
    )
    print(len(shape.regions), shape.gateways_per_region, len(shape.endpoints), cost, flush=True)
    return cost


def _plan_propagation_s() -> float:
    """Return the time until a change of plans is in force at 16 gateways of one region."""
    with start_deployment(_shape(1, 16, 1)) as deployment:
        text = _plans(101, ("region-0",)).replace("revision: 0", "revision: 1")
        began_s = time.monotonic()
        deployment.apply_plans(text)
        wait_until(
            lambda: _lowest_revision(deployment) == 2, "the plans to be in force at every gateway"
        )
        return time.monotonic() - began_s


def _lowest_revision(deployment: Deployment) -> int:
    rows = deployment.gateways.values()
    return min(int(gateway_state(row)["plans"]["revision"]) for row in rows)


def _document_sizes() -> list[str]:
    lines = []
    for customers in CUSTOMERS:
        regions = [f"region-{number}" for number in range(TARGET_REGIONS)]
        document = parse_yaml(_plans(customers, regions))
        stored = to_stored(document)
        began_s = time.process_time()
        for _ in range(20):
            parse_stored(stored)
        parse_ms = (time.process_time() - began_s) * 1000 / 20
        per_s = len(stored) * CHANGES_PER_DAY / DAY_S
        lines.append(f"| {customers} | {len(stored)} | {parse_ms:.1f} | {per_s:.0f} |")
    return lines


def _bytes_per_record() -> float:
    """Return the memory of one settled record of the at-most-once table."""
    tracemalloc.start()
    table = OnceTable(IncarnationId("0" * 16), retention_s=DAY_S)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(TABLE_RECORDS):
        key = IdempotencyKey(f"pf1~{'0' * 16}~gateway-1~{number:012x}-order")
        begun = table.begin(ScopedKey(CustomerId("shop"), key), Fingerprint(f"{number:032x}"))
        assert isinstance(begun, NewOperation)
        table.dispatch(begun.record)
        body = json.dumps({"number": number}).ljust(ANSWER_BYTES).encode()
        table.finish(begun.record, StoredAnswer(201, "application/json", body))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / TABLE_RECORDS


def _page(
    by_gateways: list[Cost],
    by_endpoints: list[Cost],
    by_regions: list[Cost],
    propagation_s: float,
    elapsed_s: float,
) -> str:
    record_bytes = _bytes_per_record()
    rows = _extrapolate(by_gateways, by_endpoints, by_regions)
    orders_per_day = REQUESTS_PER_S_PER_NODE * ONCE_SHARE_OF_REQUESTS * DAY_S
    table_mb = orders_per_day * record_bytes / 1e6
    lines = [
        "# Capacity",
        "",
        f"Written by `make capacity`, {elapsed_s:.0f} s on one machine with",
        f"{os.cpu_count()} cores.",
        "The cost of control traffic for a gateway at the design size: 400 gateways for 800",
        "endpoints in",
        f"10 regions, so {TARGET_GATEWAYS} gateways and {TARGET_ENDPOINTS} endpoints in a region.",
        "Control traffic is everything but callers' requests; the gateways below serve none. Bytes",
        "are those",
        "of exchanges between gateways, sent and received, without HTTP/2 framing (about",
        "100 bytes a",
        "call, 4 calls a second).",
        "",
        "## Measured",
        "",
        "| regions | gateways a region | endpoints a region | CPU, mean (most) | memory, most "
        "| bytes/s, mean (most) | key-value calls/min |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *(_row(1, count, 4, cost) for count, cost in zip(GATEWAYS, by_gateways, strict=True)),
        *(_row(1, 4, count, cost) for count, cost in zip(ENDPOINTS, by_endpoints, strict=True)),
        *(_row(count, 2, 1, cost) for count, cost in zip(REGIONS, by_regions, strict=True)),
        "",
        "## Extrapolated to the design size",
        "",
        "Straight lines fitted to the rows above: a constant base, and slopes by",
        "gateways and endpoints of the region and by regions. Each of the 9 other regions has two",
        f"bridges among {TARGET_GATEWAYS} gateways, so a gateway bridges to",
        f"{MEAN_BRIDGED_REGIONS:.2f} regions",
        f"on average, and the most loaded one is taken to have {MAX_BRIDGED_REGIONS}; with two",
        "gateways a",
        "region, as measured, both bridge to all. Engines are idle here: under load, a load",
        "report is sent on",
        "each change of a tenth of the slots, which is not in these figures. Polling is",
        "counted as if",
        "4 gateways shared it, which is more than 40 do.",
        "",
        "| cost | base | a gateway | an endpoint | a region | design size | budget | verdict |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        *rows,
        "",
        f"A change of plans is in force at 16 gateways of a region {propagation_s:.2f} s after",
        "`apply` started; the limit is 10 s. In a round, each gateway with the change pushes it to",
        "three more. 40 gateways need one more round, other regions a bridge exchange and a link's "
        "delay.",
        "",
        "## Plans",
        "",
        "| customers | stored bytes | CPU ms to read | bytes/s a node at 2,900 changes a day |",
        "| --- | --- | --- | --- |",
        *_document_sizes(),
        "",
        "## Roles",
        "",
        "| role | holders | state | messages | carried by |",
        "| --- | --- | --- | --- | --- |",
        "| gateway | all | facts of its region and sums of others | 2 exchanges/s started, "
        "2 answered "
        "| `FactStore`, `Exchanger` |",
        "| watch holder | 2 a region | none more | 6 watches/min: 120 a minute for 10 regions, of "
        "2,000 reads/s | `PlanManager` |",
        "| bridge | 2 for each other region | none more | an exchange more a round | "
        "`FleetView.bridged_peers` |",
        "| poller | 2 an endpoint | last report of each | 4 endpoints for each of 40 gateways, 8 "
        "calls/s | `LoadPoller` |",
        "| key owner | all | the once table, below | none; 1 write for a caller's own key "
        "| `OnceTable`, `claim_key` |",
        "| order-giver | 1 a region | fencing number | 1 read an engine a second, 1 write when the "
        "role moves | `EngineOrders` |",
        "",
        f"The once table takes {record_bytes:.0f} bytes a record with answers of",
        f"{ANSWER_BYTES} bytes.",
        f"Were {ONCE_SHARE_OF_REQUESTS:.0%} of {REQUESTS_PER_S_PER_NODE} requests a second",
        "at-most-once,",
        f"a node would keep {orders_per_day:.0f} records for a retention of a day: "
        f"{table_mb:.0f} MB. "
        + (
            "That fits beside the memory above."
            if table_mb < MEMORY_LIMIT_MB - by_gateways[-1].memory_mb
            else "That does not fit beside the memory above: shorten "
            "`PRIMROSEFERRY_ONCE_RETENTION_S`, or keep answers only as long as callers retry."
        ),
        "",
        "The data path (first token, gaps, CPU a token) is measured by `make bench`, see",
        "`design/data-path.md`: 7,250 tokens a second a node at 22.7 us are 0.16 of a core.",
        "",
    ]
    return "\n".join(lines)


def _row(regions: int, gateways: int, endpoints: int, cost: Cost) -> str:
    return (
        f"| {regions} | {gateways} | {endpoints} | {cost.cpu_share:.2%} "
        f"({cost.cpu_share_most:.2%}) "
        f"| {cost.memory_mb:.0f} MB | {cost.bytes_per_s:.0f} ({cost.bytes_per_s_most:.0f}) "
        f"| {cost.key_value_calls_per_min:.0f} |"
    )


def _extrapolate(
    by_gateways: list[Cost], by_endpoints: list[Cost], by_regions: list[Cost]
) -> list[str]:
    measures = (
        ("CPU, share of a core", "cpu_share", CPU_LIMIT_SHARE, "{:.4f}", MEAN_BRIDGED_REGIONS),
        ("memory, MB", "memory_mb", MEMORY_LIMIT_MB, "{:.2f}", TARGET_REGIONS - 1),
        ("exchanges, bytes/s", "bytes_per_s", BYTES_LIMIT_PER_S, "{:.1f}", MEAN_BRIDGED_REGIONS),
        ("exchanges, most", "bytes_per_s_most", BYTES_LIMIT_PER_S, "{:.1f}", MAX_BRIDGED_REGIONS),
        ("CPU, most", "cpu_share_most", CPU_LIMIT_SHARE, "{:.4f}", MAX_BRIDGED_REGIONS),
    )
    rows = []
    for name, attribute, limit, number_format, bridged in measures:
        gateway, base = _fit(GATEWAYS, [getattr(cost, attribute) for cost in by_gateways])
        endpoint, _ = _fit(ENDPOINTS, [getattr(cost, attribute) for cost in by_endpoints])
        region, _ = _fit(REGIONS, [getattr(cost, attribute) for cost in by_regions])
        total = (
            base + gateway * TARGET_GATEWAYS + endpoint * (TARGET_ENDPOINTS - 4) + region * bridged
        )
        values = [
            number_format.format(value) for value in (base, gateway, endpoint, region, total, limit)
        ]
        verdict = "within" if total <= limit else "**over**"
        rows.append(f"| {name} | {' | '.join(values)} | {verdict} |")
    return rows


def _fit(counts: Sequence[int], values: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the straight line through the values."""
    slope, intercept = np.polyfit(np.array(counts, dtype=float), np.array(values), 1)
    return float(slope), float(intercept)


if __name__ == "__main__":
    sys.exit(main())
