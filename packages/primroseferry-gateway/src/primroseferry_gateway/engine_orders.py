"""Orders to engines: which version of their model they are to have loaded.

One gateway of a region gives orders, under a fencing number from a compare-and-swap in the
key-value service. Engines that check the number refuse the orders of an earlier giver. For those
that do not, an order states the wished end state and is safe to repeat, the giver asks before each
order whether its number is still the newest, and it reads every engine's state again and again:
whatever a paused giver did late, the current one puts right.
"""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.ids import ModelId
from primroseferry_core.logs import log_event
from primroseferry_platform.key_value import Entry
from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Ok

if TYPE_CHECKING:
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_platform.key_value import KeyValueClient
    from primroseferry_transport.curl_loop import CurlLoop

    from .fleet import Endpoint
    from .fleet import FleetView
    from .plan_keeper import PlanKeeper

ROUND_S = 1.0
ORDER_TIMEOUT_MS = 5_000
FENCE_KEY_PREFIX = "engine-orders/"


@dataclass(frozen=True, slots=True)
class _Wish:
    endpoint: Endpoint
    version: str


class EngineOrders:
    """Gives orders while this gateway holds the role in its region."""

    def __init__(
        self,
        identity: SelfIdentity,
        loop: CurlLoop,
        key_value: KeyValueClient,
        fleet: FleetView,
        plans: PlanKeeper,
        loads_per_minute: int,
    ) -> None:
        self._identity = identity
        self._loop = loop
        self._key_value = key_value
        self._fleet = fleet
        self._plans = plans
        self._load_interval_s = 60.0 / loads_per_minute
        self._fence: int | None = None
        self._next_load_s = 0.0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Give orders on a thread of its own."""
        threading.Thread(target=self._run, name="engine-orders", daemon=True).start()

    def stop(self) -> None:
        """Give no more orders."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(ROUND_S):
            if not self._fleet.has_region_role("engine-orders", 1):
                self._fence = None
                continue
            for wish in self._unmet_wishes():
                self._order(wish)

    def _unmet_wishes(self) -> list[_Wish]:
        """Read every engine's state and return those that have another version loaded."""
        wished = self._plans.document.wished_versions()
        wishes = []
        for endpoint in self._fleet.region_endpoints():
            version = wished.get(ModelId(endpoint.serves), "")
            if not (endpoint.is_engine and version) or self._fleet.is_leaving(endpoint.endpoint):
                continue
            loaded = self._loaded_version(endpoint)
            if loaded is not None and loaded != version:
                wishes.append(_Wish(endpoint, version))
        return wishes

    def _loaded_version(self, endpoint: Endpoint) -> str | None:
        url = f"http://{endpoint.address}/v1/orders"
        match self._loop.call(HttpCall("GET", url, timeout_ms=ORDER_TIMEOUT_MS)):
            case Ok(HttpReply(status=200, body=body)):
                return str(json.loads(body)["version"])
            case _:
                return None

    def _order(self, wish: _Wish) -> None:
        """Give one order, within the weight store's rate and under the newest number."""
        if not self._holds_newest_fence() and not self._take_fence():
            return
        if time.monotonic() < self._next_load_s:
            return
        self._next_load_s = time.monotonic() + self._load_interval_s
        order = {"fence": self._fence, "version": wish.version, "model": wish.endpoint.serves}
        call = HttpCall(
            "POST",
            f"http://{wish.endpoint.address}/v1/orders",
            headers=(Header("Content-Type", "application/json"),),
            body=json.dumps(order).encode(),
            timeout_ms=ORDER_TIMEOUT_MS,
            is_repeatable=False,
        )
        match self._loop.call(call):
            case Ok(HttpReply(status=200)):
                log_event(
                    Event.ENGINE_ORDERED,
                    endpoint=wish.endpoint.endpoint,
                    version=wish.version,
                    fence=self._fence,
                )
            case Ok(HttpReply(status=409)):
                self._fence = None
                log_event(
                    Event.ENGINE_ORDER_FAILED,
                    endpoint=wish.endpoint.endpoint,
                    reason="the engine knows a newer fencing number",
                )
            case _:
                log_event(
                    Event.ENGINE_ORDER_FAILED,
                    endpoint=wish.endpoint.endpoint,
                    reason="no answer, the engine's state is read again",
                )

    @property
    def _fence_key(self) -> str:
        return f"{FENCE_KEY_PREFIX}{self._identity.region}"

    def _holds_newest_fence(self) -> bool:
        if self._fence is None:
            return False
        match self._key_value.get(self._fence_key):
            case Ok(Entry(revision=revision)):
                return revision == self._fence
            case _:
                return False

    def _take_fence(self) -> bool:
        """Take the next number; the key's revision is the number, so each write gives a new one.

        A lost answer leaves the number unused. The first load waits for one interval, because the
        giver before may just have ordered one.
        """
        match self._key_value.get(self._fence_key):
            case Ok(Entry(revision=revision)):
                expected = revision
            case Ok(None):
                expected = 0
            case _:
                return False
        holder = self._identity.incarnation.encode()
        match self._key_value.put(self._fence_key, holder, expected):
            case Ok(fence):
                self._fence = fence
                self._next_load_s = time.monotonic() + self._load_interval_s
                log_event(Event.ORDER_RIGHT_TAKEN, fence=fence)
                return True
            case _:
                self._fence = None
                return False
