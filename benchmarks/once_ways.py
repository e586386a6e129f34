"""Compares ways to run an order at most once: writes, added time, outages, and a pause.

Each way is reduced to what decides who may dispatch a key; orders go straight to a service.
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
from primroseferry_once.table import OnceTable
from primroseferry_once.table import Started
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
PRINT = Fingerprint("order")


@dataclass(frozen=True, slots=True)
class IssuedKeys:
    """The key names its owner; only the owner's table decides."""


@dataclass(frozen=True, slots=True)
class ClaimedKeys:
    """One create-if-absent write names the owner for good."""


@dataclass(frozen=True, slots=True)
class WriteForEach:
    """Every order is written before it is sent and again when it is done."""


@dataclass(frozen=True, slots=True)
class SlotLeases:
    """A gateway holds a slot of the key space under a lease and checks its own clock."""


Way = IssuedKeys | ClaimedKeys | WriteForEach | SlotLeases
WAYS: tuple[Way, ...] = (IssuedKeys(), ClaimedKeys(), WriteForEach(), SlotLeases())


@dataclass(slots=True)
class Node:
    """A gateway reduced to its decision."""

    name: str
    key_value: KeyValueClient
    loop: CurlLoop
    table: OnceTable = field(init=False)
    claims: KeyValueClaims = field(init=False)
    slot_until_s: float = 0.0

    def __post_init__(self) -> None:
        """Give the node a table and claims of its own."""
        incarnation = IncarnationId(self.name.ljust(16, "0"))
        self.table = OnceTable(incarnation, RETENTION_S)
        self.claims = KeyValueClaims(self.key_value, RETENTION_S)

    def may_dispatch(self, way: Way, key: str, issuer: str) -> bool:
        """Whether this node is the one to dispatch ``key``, which ``issuer`` issued."""
        match way:
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

    def finish(self, way: Way, key: str) -> None:
        """Note that the order is done."""
        if isinstance(way, WriteForEach):
            self.key_value.put(f"orders/{key}", b"done", None)

    def _begin(self, key: str) -> bool:
        return isinstance(self.table.begin(_scoped(key), PRINT), Started)

    def _hold_slot(self) -> bool:
        """Take the slot anew where the lease has run out by this node's clock."""
        if time.monotonic() < self.slot_until_s:
            return True
        began_s = time.monotonic()
        match self.key_value.grant_lease(LEASE_TTL_MS):
            case Ok(lease):
                taken = self.key_value.put("slot", self.name.encode(), 0, lease)
            case _:
                return False
        if not isinstance(taken, Ok):
            return False
        self.slot_until_s = began_s + LEASE_TTL_MS / 1000
        return True


@dataclass(slots=True)
class Bench:
    """The processes and two nodes."""

    key_value: Process
    service: Process
    loop: CurlLoop
    numbers: count[int] = field(default_factory=count)

    def nodes(self) -> tuple[Node, Node]:
        """Return two new nodes; the slot of earlier ones is free."""
        client = KeyValueClient(self.loop, self.key_value.address, 500, 500)
        client.delete("slot", None)
        return Node("a", client, self.loop), Node("b", client, self.loop)

    def new_key(self) -> str:
        """Return a key that was not used."""
        return f"order-{next(self.numbers)}"

    def send(self, key: str) -> None:
        """Send an order to the service."""
        url = f"http://{self.service.address}/orders"
        self.loop.call(HttpCall("POST", url, body=key.encode(), is_repeatable=False))

    def runs(self) -> list[str]:
        """Return the bodies of the orders that ran."""
        return [row["body"] for row in self.service.control("/state")["log"]]


def main() -> int:
    """Measure every way and print the table."""
    bench = Bench(start_standin("kv"), start_standin("service", "--work-ms", "0"), CurlLoop("ways"))
    try:
        print(
            "| way | writes an order | added ms, median | sent in an outage | runs after a pause |"
        )
        print("| --- | --- | --- | --- | --- |")
        direct_ms = _time_orders(bench, lambda key: bench.send(key))
        for way in WAYS:
            print(_measure(bench, way, direct_ms), flush=True)
    finally:
        bench.loop.close()
        bench.key_value.kill()
        bench.service.kill()
    return 0


def _measure(bench: Bench, way: Way, direct_ms: float) -> str:
    node, _ = bench.nodes()

    def order(key: str) -> None:
        if node.may_dispatch(way, key, issuer="a"):
            bench.send(key)
            node.finish(way, key)

    bench.key_value.fault(reset_counts=True)
    added_ms = _time_orders(bench, order) - direct_ms
    writes = bench.key_value.control("/state")["counts"].get("write", 0) / ORDERS
    sent = _sent_in_outage(bench, way)
    runs = _runs_after_pause(bench, way)
    name = type(way).__name__
    return f"| {name} | {writes:.2f} | {added_ms:.2f} | {sent} of {ORDERS_IN_OUTAGE} | {runs} |"


def _time_orders(bench: Bench, order: Callable[[str], None]) -> float:
    times = []
    for _ in range(ORDERS):
        key = bench.new_key()
        began_s = time.monotonic()
        order(key)
        times.append((time.monotonic() - began_s) * 1000)
    return float(np.median(times))


def _sent_in_outage(bench: Bench, way: Way) -> int:
    """Return how many orders are sent while the service is down, leases having run out."""
    node, _ = bench.nodes()
    node.may_dispatch(way, bench.new_key(), issuer="a")
    bench.key_value.fault(down=True)
    time.sleep(LEASE_TTL_MS / 1000 if isinstance(way, SlotLeases) else 0)
    sent = sum(node.may_dispatch(way, bench.new_key(), issuer="a") for _ in range(ORDERS_IN_OUTAGE))
    bench.key_value.fault(down=False)
    return sent


def _runs_after_pause(bench: Bench, way: Way) -> int:
    """Pause one node between its decision and the sending; the order is sent to another too."""
    first, second = bench.nodes()
    key = bench.new_key()
    is_first = first.may_dispatch(way, key, issuer="a")
    time.sleep(LEASE_TTL_MS / 1000 + 0.2)
    if second.may_dispatch(way, key, issuer="a"):
        bench.send(key)
    if is_first:
        bench.send(key)
    return bench.runs().count(key)


def _scoped(key: str) -> ScopedKey:
    return ScopedKey(CustomerId("shop"), IdempotencyKey(key))


if __name__ == "__main__":
    sys.exit(main())
