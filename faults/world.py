"""The deployment under test, with what its callers and operators record."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import xxhash
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import Accepted
from primroseferry_cli.plan_store import OutcomeUnknownError
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
from .history import Forwarded
from .history import InForce
from .history import LinkCarried
from .history import OrderAnswered
from .history import Permission
from .history import PlanReported
from .history import PlansKept
from .history import Ran
from .history import ServiceRan

if TYPE_CHECKING:
    from primroseferry_standins.caller import Answer
    from primroseferry_standins.deployment import Deployment
    from primroseferry_standins.process import Process

    from .history import Record

REGIONS = ("dakar", "thies", "saint-louis")
MARKER = "zq"
SHOP = "shop-token"
ORDERS = "/v1/services/orders/orders"
CHAT_TOKENS = 12
CALL_TIMEOUT_S = 12.0
NEEDED_WITHIN_MS = "9000"
SETTLE_S = 40.0
PERMISSIONS = (
    Permission(f"{MARKER}shop", ("dakar", "thies")),
    Permission(f"{MARKER}kiosk", ("saint-louis",)),
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


def world_shape() -> DeploymentShape:
    """Engines in Dakar and the order service in Thiès, so that each request crosses a link."""
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
class World:
    """A running deployment and the records made so far."""

    deployment: Deployment
    records: list[Record] = field(default_factory=list)
    ended_processes: list[tuple[str, int, Process]] = field(default_factory=list)
    ended_endpoints: list[tuple[str, Process]] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    next_number: int = 0

    def new_word(self, owner: str) -> str:
        """Return a word of content that no other request has."""
        self.next_number += 1
        digest = xxhash.xxh3_64_hexdigest(f"{self.next_number}".encode())[:6]
        return f"{MARKER}{owner}-{self.next_number}-{digest}"

    def send_order(self, gateway: str, key: str, word: str) -> OrderAnswered:
        """Send an order once and record what came of it."""
        sent_s = time.time()
        try:
            answer = request(
                self.deployment.gateways[gateway].address,
                "POST",
                ORDERS,
                {"lot": word},
                SHOP,
                timeout_s=CALL_TIMEOUT_S,
                Idempotency_Key=key,
                X_Needed_Within_Ms=NEEDED_WITHIN_MS,
            )
        except CallFailedError:
            record = OrderAnswered(key, sent_s, time.time(), Ran.NO_ANSWER, 0, "")
        else:
            record = _order_record(key, sent_s, answer)
        self.records.append(record)
        return record

    def send_chat(self, gateway: str, word: str, token: str = SHOP) -> ChatAnswered:
        """Ask for a streamed answer and record it."""
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
            record = ChatAnswered(word, expected, (), is_whole=False, is_refused=False)
        else:
            record = _chat_record(word, expected, answer)
        self.records.append(record)
        return record

    def change_plans(self, author: str) -> bool:
        """Change the urgency of a plan as an operator does; ``True`` if it was accepted."""
        with open_plan_store(self.deployment.key_value.address) as store:
            try:
                text = to_yaml(store.read().document)
                old, new = ("normal", "low") if "urgency: normal" in text else ("low", "normal")
                wished = parse_yaml(text.replace(f"urgency: {old}", f"urgency: {new}"))
                outcome = store.apply(wished, author)
            except OutcomeUnknownError:
                return False
            except PlanStoreError:
                return False
        if isinstance(outcome, Accepted):
            self.records.append(PlanReported(str(outcome.change_id), is_accepted=True))
            return True
        return False

    def note_left(self, endpoint: str) -> None:
        """Record that an endpoint is now said to be leaving."""
        self.records.append(EndpointLeft(endpoint, time.time()))

    def replace_gateway(self, name: str) -> None:
        """Start a new run of a gateway that ended and wait until it is ready."""
        process = self.deployment.gateways[name]
        if process.is_running():
            process.kill()
        self.ended_processes.append((name, self.runs.get(name, 0), process))
        self.runs[name] = self.runs.get(name, 0) + 1
        self.deployment.add_gateway(name, self.deployment.regions[name])

    def replace_endpoint(self, name: str, new_name: str) -> None:
        """Take an endpoint off the list and start another in its place."""
        process = self.deployment.endpoints.pop(name)
        process.kill()
        self.ended_endpoints.append((name, process))
        self.deployment.unlist(name)
        region = self.deployment.regions[name]
        serves = "orders" if "orders" in name else "small"
        self.deployment.add_endpoint(EndpointShape(new_name, region, serves, serves == "small"))

    def collect_stored_revision(self) -> int:
        """Return the revision that the key-value service holds."""
        with open_plan_store(self.deployment.key_value.address) as store:
            return store.read().document.revision

    def collect(self) -> list[Record]:
        """Return everything recorded so far, by callers, operators and processes."""
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
        records.append(PlansKept(tuple(str(change.change_id) for change in history)))
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


def start_world() -> World:
    """Start the deployment and tell its links which words to note."""
    deployment = start_deployment(world_shape())
    for link in deployment.links.values():
        link.fault(marker=MARKER)
    return World(deployment)


def wait_settled(world: World) -> None:
    """Wait until the deployment is whole again and a forwarded request is answered."""
    wait_until(lambda: _is_serving(world), "the deployment serves again", SETTLE_S)
    wait_until(
        lambda: world.send_chat("thies-1", world.new_word("shop")).is_whole,
        "a forwarded chat is answered again",
        SETTLE_S,
    )


def _is_serving(world: World) -> bool:
    deployment = world.deployment
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
        return OrderAnswered(key, sent_s, now_s, Ran.ANSWERED, answer.status, body)
    kind = _problem_kind(answer)
    return OrderAnswered(key, sent_s, now_s, Ran(answer.ran), answer.status, "", kind)


def _problem_kind(answer: Answer) -> str:
    return str(answer.json().get("type", "")).rpartition(":")[2]


def _chat_record(
    word: str, expected: tuple[str, ...], answer: Answer | StreamedAnswer
) -> ChatAnswered:
    if isinstance(answer, StreamedAnswer):
        words = tuple(answer.words)
        return ChatAnswered(word, expected, words, answer.is_whole(), is_refused=False)
    kind = f"{_problem_kind(answer)}: {answer.json().get('detail')}"
    return ChatAnswered(word, expected, (), is_whole=False, is_refused=True, kind=kind)


def _gateway_records(name: str, run: int, process: Process) -> list[Record]:
    records: list[Record] = []
    for row in process.log_lines():
        if row.get("event") == 3001:
            records.append(InForce(name, run, row["revision"]))
        elif row.get("event") == 4005:
            hop = Forwarded(row["request_id"], row["from_region"], row["to_region"])
            records.append(hop)
    return records
