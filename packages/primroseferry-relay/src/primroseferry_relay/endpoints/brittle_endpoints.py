"""Keeps the gateways of a region within the slots of endpoints that must not reject requests.

The endpoints of a service may say that they fall over when they have to reject too many requests.
Then each slot of such an endpoint belongs to one gateway of the region, by a hash on which all
gateways agree without a message, and a gateway has no more requests there than it has slots. An
attempt that this gateway ended keeps its slot for a while: the endpoint may still have the request.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import ServiceId

    from ..membership.peer_table import PeerTable
    from .endpoint import Endpoint
    from .endpoint import EndpointRun

# Each answer says it again. Out of order, one that does not may come before one that does.
MEMORY_S = 3.0
# An endpoint that rejected a request gets no more requests for this long.
REST_S = 1.0
# How old the list of the region's gateways may be.
REFRESH_S = 0.1
MAX_ENDPOINTS = 4_096
# An attempt that the endpoint may still run keeps its slot for this long, at most to its deadline.
# Endpoints on a busy machine ran up to 1.8 s late. Without this bound, callers that name a late
# deadline and disconnect would take all slots until then.
MAX_HELD_S = 5.0
_GATEWAYS_KEY = "slots"


@dataclass(frozen=True, slots=True)
class _SlotsKey:
    """An endpoint and its number of slots, which another run may change."""

    endpoint: EndpointId
    slots: int


class BrittleEndpoints:
    """The services whose endpoints are brittle, and this gateway's slots there."""

    def __init__(self, peers: PeerTable, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._peers = peers
        self._clock_s = clock_s
        self._heard_s: dict[ServiceId, float] = {}
        self._open: Counter[EndpointRun] = Counter()
        # Slots that are held, by the time at which they are free; the number orders equal times.
        self._held: list[tuple[float, int, EndpointRun]] = []
        self._held_numbers = count()
        self._gateways: Sequence[InstanceId] = ()
        self._refreshed_s = float("-inf")
        self._slots: BoundedMap[_SlotsKey, int] = BoundedMap(MAX_ENDPOINTS)
        self._lock = threading.Lock()

    def note_answer(self, endpoint: Endpoint, rejections_per_s: float | None) -> None:
        """Record how many rejections per second an endpoint bears, ``None`` if it does not say."""
        if rejections_per_s is None:
            return
        is_new = not self.is_brittle(endpoint)
        self._heard_s[endpoint.service] = self._clock_s()
        if is_new:
            log_event(
                Event.ENDPOINTS_BRITTLE,
                service=endpoint.service,
                endpoint=endpoint.endpoint,
                rejections_per_s=rejections_per_s,
                own_slots=self.own_slots(endpoint),
            )

    def is_brittle(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint, or another one of its service, has lately said that it is."""
        heard_s = self._heard_s.get(endpoint.service)
        return heard_s is not None and self._clock_s() - heard_s <= MEMORY_S

    def has_room(self, endpoint: Endpoint) -> bool:
        """Whether this gateway may have one more request at an endpoint."""
        if not self.is_brittle(endpoint):
            return True
        if self._held:
            with self._lock:
                self._free_held()
        return self._open[endpoint.run] < self.own_slots(endpoint)

    def enter(self, endpoint: Endpoint) -> bool:
        """Count a request that is about to be sent; return ``False`` if there is no room for it."""
        own_slots = self.own_slots(endpoint) if self.is_brittle(endpoint) else None
        with self._lock:
            self._free_held()
            if own_slots is not None and self._open[endpoint.run] >= own_slots:
                return False
            self._open[endpoint.run] += 1
            return True

    def leave(self, endpoint: Endpoint) -> None:
        """Count the end of a request for which ``enter`` returned ``True``."""
        with self._lock:
            self._count_end(endpoint.run)

    def hold(self, endpoint: Endpoint, deadline_s: float) -> None:
        """Keep the slot of a request that the endpoint may still have, also after ``leave``.

        It is free at the request's deadline, a monotonic time, or after ``MAX_HELD_S``.
        """
        now_s = self._clock_s()
        until_s = min(deadline_s, now_s + MAX_HELD_S)
        if until_s <= now_s or not self.is_brittle(endpoint):
            return
        with self._lock:
            self._open[endpoint.run] += 1
            heappush(self._held, (until_s, next(self._held_numbers), endpoint.run))

    def _free_held(self) -> None:
        now_s = self._clock_s()
        while self._held and self._held[0][0] <= now_s:
            self._count_end(heappop(self._held)[2])

    def _count_end(self, run: EndpointRun) -> None:
        self._open[run] -= 1
        if self._open[run] <= 0:
            del self._open[run]

    def own_slots(self, endpoint: Endpoint) -> int:
        """Return how many slots of an endpoint belong to this gateway."""
        now_s = self._clock_s()
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refreshed_s = now_s
            gateways = sorted(self._peers.order_by_key(_GATEWAYS_KEY))
            with self._lock:
                if gateways != self._gateways:
                    self._gateways = gateways
                    self._slots.clear()
        key = _SlotsKey(endpoint.endpoint, endpoint.slots)
        known = self._slots.get(key)
        if known is None:
            names = [str(name) for name in self._gateways]
            own = str(self._peers.own_instance)
            known = sum(
                rendezvous_order(f"{endpoint.endpoint} {slot}", names)[:1] == [own]
                for slot in range(endpoint.slots)
            )
            with self._lock:
                self._slots.put(key, known)
        return known
