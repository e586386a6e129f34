"""Compares strategies for at-most-once orders: writes, latency, store outages and a pause.

Each strategy is reduced to the decision whether a gateway may dispatch a key. Orders go directly
to a service.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import TYPE_CHECKING

import numpy as np
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_gateway.claim_store import KeyValueClaims
from primroseferry_once.claims import ClaimedBy
from primroseferry_once.claims import claim_key
from primroseferry_once.keys import Owner
from primroseferry_once.keys import ScopedKey
from primroseferry_once.table import NewOperation
from primroseferry_once.table import OnceTable
from primroseferry_platform.key_value import KeyValueClient
from primroseferry_standins.process import start_standin
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.curl_loop import CurlLoop
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_standins.process import Process

ORDERS = 200
ORDERS_IN_OUTAGE = 5
RETENTION_S = 86_400
LEASE_TTL_MS = 2_000
ORDER_FINGERPRINT = Fingerprint("order")


@dataclass(frozen=True, slots=True)
class IssuedKeys:
    """The key contains its owner, and only the owner's table decides."""


@dataclass(frozen=True, slots=True)
class ClaimedKeys:
    """A create-if-absent write sets the owner permanently."""


@dataclass(frozen=True, slots=True)
class WriteForEach:
    """Every order is written to the store before its dispatch and after its completion."""


@dataclass(frozen=True, slots=True)
class SlotLeases:
    """A gateway owns a slot of the key space under a lease whose expiry its own clock decides."""


Strategy = IssuedKeys | ClaimedKeys | WriteForEach | SlotLeases
STRATEGIES: tuple[Strategy, ...] = (IssuedKeys(), ClaimedKeys(), WriteForEach(), SlotLeases())


@dataclass(slots=True)
class Node:
    """The part of a gateway that decides whether it may dispatch a key."""

    name: str
    key_value: KeyValueClient
    loop: CurlLoop
    table: OnceTable = field(init=False)
    claims: KeyValueClaims = field(init=False)
    slot_expires_s: float = 0.0

    def __post_init__(self) -> None:
        """Create the table and the claims of this node."""
        incarnation = IncarnationId(self.name.ljust(16, "0"))
        self.table = OnceTable(incarnation, RETENTION_S)
        self.claims = KeyValueClaims(self.key_value, RETENTION_S)

    def may_dispatch(self, strategy: Strategy, key: str, issuer: str) -> bool:
        """Whether this node may dispatch ``key``, which ``issuer`` issued."""
        match strategy:
            case IssuedKeys():
                return issuer == self.name and self._begin(key)
            case ClaimedKeys():
                owner = Owner(IncarnationId(self.name), InstanceId(self.name))
                claim = claim_key(self.claims, _scoped(key), owner)
                return claim == ClaimedBy(owner) and self._begin(key)
            case WriteForEach():
                return isinstance(self.key_value.put(f"orders/{key}", b"sent", 0), Ok)
            case SlotLeases():
                return self._hold_slot() and self._begin(key)

    def finish(self, strategy: Strategy, key: str) -> None:
        """Record that the order is completed."""
        if isinstance(strategy, WriteForEach):
            self.key_value.put(f"orders/{key}", b"done", None)

    def _begin(self, key: str) -> bool:
        return isinstance(self.table.begin(_scoped(key), ORDER_FINGERPRINT), NewOperation)

    def _hold_slot(self) -> bool:
        """Acquire the slot again if the lease has expired by this node's clock."""
        if time.monotonic() < self.slot_expires_s:
            return True
        began_s = time.monotonic()
        match self.key_value.grant_lease(LEASE_TTL_MS):
            case Ok(lease):
                taken = self.key_value.put("slot", self.name.encode(), 0, lease)
            case _:
                return False
        if not isinstance(taken, Ok):
            return False
        self.slot_expires_s = began_s + LEASE_TTL_MS / 1000
        return True


@dataclass(slots=True)
class Testbed:
    """The processes that the strategies run against, and the nodes that use them."""

    key_value: Process
    service: Process
    loop: CurlLoop
    numbers: count[int] = field(default_factory=count)

    def nodes(self) -> tuple[Node, Node]:
        """Return two new nodes, and release the slot of earlier nodes."""
        client = KeyValueClient(self.loop, self.key_value.address, 500, 500)
        client.delete("slot", None)
        return Node("a", client, self.loop), Node("b", client, self.loop)

    def new_key(self) -> str:
        """Return a key that has not been used."""
        return f"order-{next(self.numbers)}"

    def send(self, key: str) -> None:
        """Send an order to the service."""
        url = f"http://{self.service.address}/orders"
        self.loop.call(HttpCall("POST", url, body=key.encode(), is_repeatable=False))

    def runs(self) -> list[str]:
        """Return the bodies of the orders that ran."""
        return [row["body"] for row in self.service.control("/state")["log"]]


def main() -> int:
    """Measure every strategy and print the table."""
    testbed = Testbed(
        start_standin("kv"), start_standin("service", "--work-ms", "0"), CurlLoop("ways")
    )
    try:
        print(
            "| strategy | writes an order | added ms, median | dispatched in an outage "
            "| runs after a pause |"
        )
        print("| --- | --- | --- | --- | --- |")
        direct_ms = _time_orders(testbed, lambda key: testbed.send(key))
        for strategy in STRATEGIES:
            print(_measure(testbed, strategy, direct_ms), flush=True)
    finally:
        testbed.loop.close()
        testbed.key_value.kill()
        testbed.service.kill()
    return 0


def _measure(testbed: Testbed, strategy: Strategy, direct_ms: float) -> str:
    node, _ = testbed.nodes()

    def order(key: str) -> None:
        if node.may_dispatch(strategy, key, issuer="a"):
            testbed.send(key)
            node.finish(strategy, key)

    testbed.key_value.fault(reset_counts=True)
    added_ms = _time_orders(testbed, order) - direct_ms
    writes = testbed.key_value.control("/state")["counts"].get("write", 0) / ORDERS
    sent = _sent_in_outage(testbed, strategy)
    runs = _runs_after_pause(testbed, strategy)
    name = type(strategy).__name__
    return f"| {name} | {writes:.2f} | {added_ms:.2f} | {sent} of {ORDERS_IN_OUTAGE} | {runs} |"


def _time_orders(testbed: Testbed, order: Callable[[str], None]) -> float:
    times = []
    for _ in range(ORDERS):
        key = testbed.new_key()
        began_s = time.monotonic()
        order(key)
        times.append((time.monotonic() - began_s) * 1000)
    return float(np.median(times))


def _sent_in_outage(testbed: Testbed, strategy: Strategy) -> int:
    """Return how many orders may be dispatched while the store is down and leases have expired."""
    node, _ = testbed.nodes()
    node.may_dispatch(strategy, testbed.new_key(), issuer="a")
    testbed.key_value.fault(down=True)
    time.sleep(LEASE_TTL_MS / 1000 if isinstance(strategy, SlotLeases) else 0)
    sent = sum(
        node.may_dispatch(strategy, testbed.new_key(), issuer="a") for _ in range(ORDERS_IN_OUTAGE)
    )
    testbed.key_value.fault(down=False)
    return sent


def _runs_after_pause(testbed: Testbed, strategy: Strategy) -> int:
    """Pause one node between its decision and the dispatch, while a second node gets the order.

    Return how often the order ran.
    """
    first, second = testbed.nodes()
    key = testbed.new_key()
    is_first = first.may_dispatch(strategy, key, issuer="a")
    time.sleep(LEASE_TTL_MS / 1000 + 0.2)
    if second.may_dispatch(strategy, key, issuer="a"):
        testbed.send(key)
    if is_first:
        testbed.send(key)
    return testbed.runs().count(key)


def _scoped(key: str) -> ScopedKey:
    return ScopedKey(CustomerId("shop"), IdempotencyKey(key))


if __name__ == "__main__":
    sys.exit(main())
