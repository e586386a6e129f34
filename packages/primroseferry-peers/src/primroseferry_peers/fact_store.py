"""Stores the facts that gateways exchange, and selects those that a peer does not have yet.

A fact is a statement about one subject. Its origin publishes it again before it expires. A fact is
sent with its remaining time to live, so that it expires everywhere once its origin stops. Each
store numbers the facts that it accepts. A peer requests the facts after the last number that it
received, so that the traffic depends on the number of changes, not of gateways.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .proto.peer_pb2 import CRASH_BLAME
from .proto.peer_pb2 import REGION_LOAD
from .proto.peer_pb2 import Fact

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseferry_core.ids import RegionId


@dataclass(frozen=True, slots=True)
class FactKey:
    """The kind and the subject of a fact; a store holds one fact per key."""

    kind: int
    subject: str


@dataclass(frozen=True, slots=True)
class _StoredFact:
    fact: Fact
    expires_s: float
    sequence: int
    received_from: str


class FactStore:
    """The facts that one gateway holds. Thread-safe; listeners are called without the lock."""

    def __init__(self, region: RegionId, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._region = region
        self._clock_s = clock_s
        self._stored: dict[FactKey, _StoredFact] = {}
        self._sequence = 0
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Fact], None]] = []

    @property
    def sequence(self) -> int:
        """The sequence number of the fact that was accepted last, 0 before the first."""
        return self._sequence

    def add_listener(self, on_accept: Callable[[Fact], None]) -> None:
        """Call ``on_accept`` with each new fact that is accepted from now on."""
        self._listeners.append(on_accept)

    def accept(self, facts: Iterable[Fact], received_from: str = "") -> int:
        """Accept facts and return how many of them were new.

        ``received_from`` is the incarnation of the peer that sent them, empty for own facts.
        """
        accepted = []
        with self._lock:
            now_s = self._clock_s()
            for fact in facts:
                merged = self._merge(fact, now_s, received_from)
                if merged is not None:
                    accepted.append(merged)
        for fact in accepted:
            for on_accept in self._listeners:
                on_accept(fact)
        return len(accepted)

    def _merge(self, fact: Fact, now_s: float, received_from: str) -> Fact | None:
        if fact.ttl_ms <= 0 or not (fact.fleet_wide or fact.region == self._region):
            return None
        key = FactKey(fact.kind, fact.subject)
        stored = self._stored.get(key)
        if stored is not None and stored.expires_s > now_s:
            if fact.kind == CRASH_BLAME:
                fact = _merge_blames(stored.fact, fact)
            if fact.version <= stored.fact.version:
                return None
        self._sequence += 1
        self._stored[key] = _StoredFact(
            fact, now_s + fact.ttl_ms / 1000, self._sequence, received_from
        )
        return fact

    def since(self, sequence: int, peer: str = "", is_peer_remote: bool = False) -> list[Fact]:
        """Return the live facts accepted after ``sequence``, with their remaining time to live.

        Facts received from the incarnation ``peer`` are omitted. For a peer of another region,
        region-local facts and the loads of third regions are omitted too. Each region sends its
        load to the others directly: relayed loads would be sent once per region, and the load of a
        region that cannot be reached is of no use.
        """
        with self._lock:
            now_s = self._clock_s()
            return [
                _with_remaining_ttl(stored, now_s)
                for stored in self._stored.values()
                if stored.sequence > sequence
                and not (peer and stored.received_from == peer)
                and stored.expires_s > now_s
                and not (is_peer_remote and self._is_region_only(stored.fact))
            ]

    def _is_region_only(self, fact: Fact) -> bool:
        if fact.kind == REGION_LOAD:
            return fact.region != self._region
        return not fact.fleet_wide

    def find(self, kind: int, subject: str) -> Fact | None:
        """Return the live fact about ``subject``, or ``None``."""
        with self._lock:
            stored = self._stored.get(FactKey(kind, subject))
            if stored is None or stored.expires_s <= self._clock_s():
                return None
            return stored.fact

    def remaining_ttl_ms(self, kind: int, subject: str) -> int:
        """Return the remaining time to live of the fact about ``subject``, 0 if there is none."""
        with self._lock:
            stored = self._stored.get(FactKey(kind, subject))
            if stored is None:
                return 0
            return max(0, int((stored.expires_s - self._clock_s()) * 1000))

    def of_kind(self, kind: int) -> list[Fact]:
        """Return every live fact of one kind."""
        with self._lock:
            now_s = self._clock_s()
            return [
                stored.fact
                for key, stored in self._stored.items()
                if key.kind == kind and stored.expires_s > now_s
            ]

    def drop_expired(self) -> list[Fact]:
        """Remove and return the expired facts."""
        with self._lock:
            now_s = self._clock_s()
            expired = [key for key, stored in self._stored.items() if stored.expires_s <= now_s]
            return [self._stored.pop(key).fact for key in expired]

    def __len__(self) -> int:
        return len(self._stored)


def _with_remaining_ttl(stored: _StoredFact, now_s: float) -> Fact:
    fact = Fact()
    fact.CopyFrom(stored.fact)
    fact.ttl_ms = max(1, int((stored.expires_s - now_s) * 1000))
    return fact


def _merge_blames(stored: Fact, received: Fact) -> Fact:
    """Return the union of two blames; the version is the number of endpoints in it."""
    endpoints = sorted({*stored.blame.endpoints, *received.blame.endpoints})
    merged = Fact()
    merged.CopyFrom(received)
    del merged.blame.endpoints[:]
    merged.blame.endpoints.extend(endpoints)
    merged.version = len(endpoints)
    return merged
