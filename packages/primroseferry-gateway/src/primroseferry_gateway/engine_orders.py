"""Orders to engines, which state the version of the model that an engine must have loaded.

One gateway of a region sends orders, with a fencing token from a compare-and-swap in the key-value
service. Engines that check the token refuse the orders of an earlier sender. Three rules cover
engines that do not check it. An order states the desired end state and is safe to repeat. Before
each order, the sender checks that its token is still the newest. The sender reads the state of
every engine periodically, so it corrects whatever a paused sender has ordered late.
"""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.checked_json import JsonObject
from primroseferry_core.checked_json import MalformedJsonError
from primroseferry_core.events import Event
from primroseferry_core.ids import ModelId
from primroseferry_core.logs import log_event
from primroseferry_platform.key_value import Entry
from primroseferry_transport.calls import Header
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Ok

if TYPE_CHECKING:
    from primroseferry_core.ids import EndpointId
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_platform.key_value import KeyValueClient
    from primroseferry_transport.curl_loop import CurlLoop

    from .fleet import Endpoint
    from .fleet import FleetView
    from .plan_manager import PlanManager

RECONCILE_INTERVAL_S = 1.0
ORDER_TIMEOUT_MS = 5_000
FENCE_KEY_PREFIX = "engine-orders/"


@dataclass(frozen=True, slots=True)
class _VersionChange:
    endpoint: Endpoint
    version: str


class EngineOrders:
    """Sends orders while this gateway has the role ``engine-orders`` in its region."""

    def __init__(
        self,
        identity: SelfIdentity,
        loop: CurlLoop,
        key_value: KeyValueClient,
        fleet: FleetView,
        plans: PlanManager,
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
        """Start sending orders on a background thread."""
        threading.Thread(target=self._run, name="engine-orders", daemon=True).start()

    def stop(self) -> None:
        """Stop sending orders."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(RECONCILE_INTERVAL_S):
            if not self._fleet.has_region_role("engine-orders", 1):
                self._fence = None
                continue
            for change in self._pending_changes():
                self._order(change)

    def _pending_changes(self) -> list[_VersionChange]:
        """Read the state of every engine and return the changes of those with another version."""
        desired = self._plans.document.desired_versions()
        changes = []
        for endpoint in self._fleet.region_endpoints():
            version = desired.get(ModelId(endpoint.serves), "")
            if not (endpoint.is_engine and version) or self._fleet.is_leaving(endpoint.endpoint):
                continue
            loaded = self._loaded_version(endpoint)
            if loaded is not None and loaded != version:
                changes.append(_VersionChange(endpoint, version))
        return changes

    def _loaded_version(self, endpoint: Endpoint) -> str | None:
        url = f"http://{endpoint.address}/v1/orders"
        match self._loop.call(HttpCall("GET", url, timeout_ms=ORDER_TIMEOUT_MS)):
            case Ok(HttpReply(status=200, body=body)):
                return _parse_version(endpoint.endpoint, body)
            case _:
                return None

    def _order(self, change: _VersionChange) -> None:
        """Send one order if the load rate of the weight store and the fencing token permit it."""
        if not self._is_fence_newest() and not self._acquire_fence():
            return
        if time.monotonic() < self._next_load_s:
            return
        self._next_load_s = time.monotonic() + self._load_interval_s
        order = {"fence": self._fence, "version": change.version, "model": change.endpoint.serves}
        call = HttpCall(
            "POST",
            f"http://{change.endpoint.address}/v1/orders",
            headers=(Header("Content-Type", "application/json"),),
            body=json.dumps(order).encode(),
            timeout_ms=ORDER_TIMEOUT_MS,
            is_repeatable=False,
        )
        match self._loop.call(call):
            case Ok(HttpReply(status=200)):
                log_event(
                    Event.ENGINE_LOAD_REQUESTED,
                    endpoint=change.endpoint.endpoint,
                    version=change.version,
                    fence=self._fence,
                )
            case Ok(HttpReply(status=409)):
                self._fence = None
                log_event(
                    Event.ENGINE_LOAD_REQUEST_FAILED,
                    endpoint=change.endpoint.endpoint,
                    reason="the engine has seen a newer fencing token",
                )
            case _:
                log_event(
                    Event.ENGINE_LOAD_REQUEST_FAILED,
                    endpoint=change.endpoint.endpoint,
                    reason="no successful answer; the engine's state is read again",
                )

    @property
    def _fence_key(self) -> str:
        return f"{FENCE_KEY_PREFIX}{self._identity.region}"

    def _is_fence_newest(self) -> bool:
        if self._fence is None:
            return False
        match self._key_value.get(self._fence_key):
            case Ok(Entry(revision=revision)):
                return revision == self._fence
            case _:
                return False

    def _acquire_fence(self) -> bool:
        """Acquire the next fencing token, which is the revision that a write gives the key.

        If the answer to the write is lost, that token stays unused. The first load waits for one
        interval, because the previous sender may just have ordered one.
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
                log_event(Event.ENGINE_CONTROL_LEASE_ACQUIRED, fence=fence)
                return True
            case _:
                self._fence = None
                return False


def _parse_version(endpoint: EndpointId, body: bytes) -> str | None:
    try:
        return JsonObject.parse(body).text("version")
    except MalformedJsonError as error:
        log_event(Event.ENDPOINT_ANSWER_MALFORMED, endpoint=endpoint, reason=str(error))
        return None
