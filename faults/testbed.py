"""The deployment under test, with the records that its callers and operators make."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import xxhash
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import OutcomeUnknownError
from primroseferry_cli.plan_store import PlansAccepted
from primroseferry_cli.plan_store import PlanStoreError
from primroseferry_core.plan_format import parse_yaml
from primroseferry_core.plan_format import to_yaml
from primroseferry_standins.caller import CallFailedError
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.engine import answer_words

from .history import ChatAnswered
from .history import EndpointLeft
from .history import EndpointStarted
from .history import ExecutionStatus
from .history import Forwarded
from .history import LinkCarried
from .history import OrderAnswered
from .history import Permission
from .history import PlanReported
from .history import PlansStored
from .history import RevisionInForce
from .history import ServiceRan

if TYPE_CHECKING:
    from primroseferry_standins.caller import Answer
    from primroseferry_standins.deployment import Deployment
    from primroseferry_standins.process import Process

    from .history import Record

REGIONS = ("dakar", "thies", "saint-louis")
CONTENT_MARKER = "zq"
SHOP_TOKEN = "shop-token"
ORDERS_PATH = "/v1/services/orders/orders"
CHAT_TOKENS = 12
CALL_TIMEOUT_S = 12.0
NEEDED_WITHIN_MS = "9000"
SETTLE_TIMEOUT_S = 40.0
PERMISSIONS = (
    Permission(f"{CONTENT_MARKER}shop", ("dakar", "thies")),
    Permission(f"{CONTENT_MARKER}kiosk", ("saint-louis",)),
)
PLANS = """
revision: 0
customers:
  - {customer: shop, plan: franchise}
  - {customer: kiosk, plan: home-only}
plans:
  - plan: franchise
    regions: [dakar, thies]
    urgency: normal
    accepted_cost: 10
    models:
      - {model: small, max_open_requests: 100}
    services:
      - service: orders
        max_open_requests: 100
        operations:
          - {operation: POST /orders, execution: at-most-once}
  - plan: home-only
    regions: [saint-louis]
    urgency: high
    accepted_cost: 10
    models:
      - {model: small, max_open_requests: 100}
"""


def deployment_shape() -> DeploymentShape:
    """Return the shape of the deployment under test.

    The engines for ``shop`` are in Dakar and the order service is in Thiès, so that requests cross
    a link.
    """
    return DeploymentShape(
        regions=REGIONS,
        gateways_per_region=2,
        endpoints=(
            EndpointShape("dakar-engine-1", "dakar", "small"),
            EndpointShape("dakar-engine-2", "dakar", "small"),
            EndpointShape("dakar-engine-3", "dakar", "small"),
            EndpointShape("thies-orders-1", "thies", "orders", is_engine=False),
            EndpointShape("thies-orders-2", "thies", "orders", is_engine=False),
            EndpointShape("saint-louis-engine-1", "saint-louis", "small"),
        ),
        plans=PLANS,
        clients={
            "shop-token": {"customer": "shop", "region": "dakar"},
            "kiosk-token": {"customer": "kiosk", "region": "saint-louis"},
        },
        link_delay_ms=10.0,
        gateway_options=("--token-gap-timeout-ms", "1500", "--drain-timeout-ms", "8000"),
    )


@dataclass(slots=True)
class Testbed:
    """A running deployment and the records made so far.

    ``runs`` counts the restarts of each gateway. ``ended_processes`` holds name, run and process of
    the replaced gateways, ``ended_endpoints`` name and process of the replaced endpoints.
    """

    deployment: Deployment
    records: list[Record] = field(default_factory=list)
    ended_processes: list[tuple[str, int, Process]] = field(default_factory=list)
    ended_endpoints: list[tuple[str, Process]] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    next_number: int = 0

    def unique_word(self, owner: str) -> str:
        """Return a marked word of content that no other request contains."""
        self.next_number += 1
        digest = xxhash.xxh3_64_hexdigest(f"{self.next_number}".encode())[:6]
        return f"{CONTENT_MARKER}{owner}-{self.next_number}-{digest}"

    def send_order(self, gateway: str, key: str, word: str) -> OrderAnswered:
        """Send an order once, and record and return its result."""
        sent_s = time.time()
        try:
            answer = request(
                self.deployment.gateways[gateway].address,
                "POST",
                ORDERS_PATH,
                {"lot": word},
                SHOP_TOKEN,
                timeout_s=CALL_TIMEOUT_S,
                Idempotency_Key=key,
                X_Needed_Within_Ms=NEEDED_WITHIN_MS,
            )
        except CallFailedError:
            record = OrderAnswered(key, sent_s, time.time(), ExecutionStatus.NO_ANSWER, 0, "")
        else:
            record = _order_record(key, sent_s, answer)
        self.records.append(record)
        return record

    def send_chat(self, gateway: str, word: str, token: str = SHOP_TOKEN) -> ChatAnswered:
        """Request a streamed chat, and record and return its answer."""
        expected = answer_words(word, CHAT_TOKENS)
        address = self.deployment.gateways[gateway].address
        try:
            answer = chat(
                address,
                token,
                "small",
                word,
                CHAT_TOKENS,
                timeout_s=CALL_TIMEOUT_S,
                X_Needed_Within_Ms=NEEDED_WITHIN_MS,
            )
        except CallFailedError:
            record = ChatAnswered(word, expected, (), is_complete=False, is_refused=False)
        else:
            record = _chat_record(word, expected, answer)
        self.records.append(record)
        return record

    def change_plans(self, author: str) -> bool:
        """Change the urgency of a plan as an operator does; return whether it was accepted."""
        with open_plan_store(self.deployment.key_value.address) as store:
            try:
                text = to_yaml(store.read().document)
                old, new = ("normal", "low") if "urgency: normal" in text else ("low", "normal")
                desired = parse_yaml(text.replace(f"urgency: {old}", f"urgency: {new}"))
                outcome = store.apply(desired, author)
            except OutcomeUnknownError:
                return False
            except PlanStoreError:
                return False
        if isinstance(outcome, PlansAccepted):
            self.records.append(PlanReported(str(outcome.change_id), is_accepted=True))
            return True
        return False

    def record_leaving(self, endpoint: str) -> None:
        """Record that an endpoint is reported as leaving from now on."""
        self.records.append(EndpointLeft(endpoint, time.time()))

    def replace_gateway(self, name: str) -> None:
        """Start a new process for a gateway, after killing the old one if it still runs."""
        process = self.deployment.gateways[name]
        if process.is_running():
            process.kill()
        self.ended_processes.append((name, self.runs.get(name, 0), process))
        self.runs[name] = self.runs.get(name, 0) + 1
        self.deployment.add_gateway(name, self.deployment.regions[name])

    def replace_endpoint(self, name: str, new_name: str) -> None:
        """Kill an endpoint, remove it from the directory and start ``new_name`` in its place."""
        process = self.deployment.endpoints.pop(name)
        process.kill()
        self.ended_endpoints.append((name, process))
        self.deployment.unpublish(name)
        region = self.deployment.regions[name]
        serves = "orders" if "orders" in name else "small"
        self.deployment.add_endpoint(EndpointShape(new_name, region, serves, serves == "small"))

    def stored_revision(self) -> int:
        """Return the plan revision stored in the key-value service."""
        with open_plan_store(self.deployment.key_value.address) as store:
            return store.read().document.revision

    def collect(self) -> list[Record]:
        """Return the records of callers, operators, process logs, links and the plan store."""
        records = list(self.records)
        for name, process in [*self.ended_endpoints, *self.deployment.endpoints.items()]:
            records += self._endpoint_records(name, process)
        current = [
            (name, self.runs.get(name, 0), process)
            for name, process in self.deployment.gateways.items()
        ]
        for name, run, process in self.ended_processes + current:
            records += _gateway_records(name, run, process)
        for (from_region, to_region), process in self.deployment.links.items():
            marked = process.control("/state")["marked"]
            records += [LinkCarried(from_region, to_region, word) for word in marked]
        with open_plan_store(self.deployment.key_value.address) as store:
            history = store.read().document.history
        records.append(PlansStored(tuple(str(change.change_id) for change in history)))
        return records

    def _endpoint_records(self, name: str, process: Process) -> list[Record]:
        region = self.deployment.regions[name]
        records: list[Record] = []
        for line in process.log_lines():
            if ran := line.get("ran"):
                records.append(ServiceRan(name, region, ran["key"], ran["at_s"]))
            elif started := line.get("started"):
                prompt, at_s = started["prompt"], started["at_s"]
                records.append(EndpointStarted(name, region, prompt, at_s))
        return records


def start_testbed() -> Testbed:
    """Start the deployment and make its links record the words with ``CONTENT_MARKER``."""
    deployment = start_deployment(deployment_shape())
    for link in deployment.links.values():
        link.fault(marker=CONTENT_MARKER)
    return Testbed(deployment)


def wait_settled(testbed: Testbed) -> None:
    """Wait until all processes serve again and a forwarded chat gets a complete answer."""
    wait_until(lambda: _is_serving(testbed), "the deployment serves again", SETTLE_TIMEOUT_S)
    wait_until(
        lambda: testbed.send_chat("thies-1", testbed.unique_word("shop")).is_complete,
        "a forwarded chat gets a complete answer",
        SETTLE_TIMEOUT_S,
    )


def _is_serving(testbed: Testbed) -> bool:
    deployment = testbed.deployment
    return all(_is_ready(process) for process in deployment.gateways.values()) and all(
        process.is_running() for process in deployment.endpoints.values()
    )


def _is_ready(process: Process) -> bool:
    try:
        return request(process.address, "GET", "/readyz", timeout_s=2.0).status == 200
    except CallFailedError:
        return False


def _order_record(key: str, sent_s: float, answer: Answer) -> OrderAnswered:
    now_s = time.time()
    if answer.status < 300:
        body = answer.body.decode()
        return OrderAnswered(key, sent_s, now_s, ExecutionStatus.ANSWERED, answer.status, body)
    kind = _problem_kind(answer)
    return OrderAnswered(key, sent_s, now_s, ExecutionStatus(answer.ran), answer.status, "", kind)


def _problem_kind(answer: Answer) -> str:
    return str(answer.json().get("type", "")).rpartition(":")[2]


def _chat_record(
    word: str, expected: tuple[str, ...], answer: Answer | StreamedAnswer
) -> ChatAnswered:
    if isinstance(answer, StreamedAnswer):
        words = tuple(answer.words)
        return ChatAnswered(word, expected, words, answer.is_complete(), is_refused=False)
    kind = f"{_problem_kind(answer)}: {answer.json().get('detail')}"
    return ChatAnswered(word, expected, (), is_complete=False, is_refused=True, kind=kind)


def _gateway_records(name: str, run: int, process: Process) -> list[Record]:
    records: list[Record] = []
    for row in process.log_lines():
        if row.get("event") == 3001:
            records.append(RevisionInForce(name, run, row["revision"]))
        elif row.get("event") == 4005:
            hop = Forwarded(row["request_id"], row["from_region"], row["to_region"])
            records.append(hop)
    return records
