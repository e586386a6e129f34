"""Facts that gateways spread among themselves, and what each peer has yet to hear.

A fact is a statement about one subject that its origin repeats before it expires. It travels with
the time it has left, so that a fact whose origin is gone dies out everywhere. Each store numbers
what it accepts; a peer asks for what came after the number it last saw, so that the traffic follows
the changes and not the number of gateways.
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
    """What a fact is about."""

    kind: int
    subject: str


@dataclass(frozen=True, slots=True)
class _Held:
    fact: Fact
    expires_s: float
    sequence: int
    heard_from: str


class FactStore:
    """The facts one gateway holds.

    ``on_accept`` is called, without the lock, with each fact that was new.
    """

    def __init__(self, region: RegionId, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._region = region
        self._clock_s = clock_s
        self._held: dict[FactKey, _Held] = {}
        self._sequence = 0
        self._lock = threading.Lock()
        self._listeners: list[Callable[[Fact], None]] = []

    @property
    def sequence(self) -> int:
        """The number of the newest accepted fact."""
        return self._sequence

    def listen(self, on_accept: Callable[[Fact], None]) -> None:
        """Call ``on_accept`` with every fact accepted from now on."""
        self._listeners.append(on_accept)

    def accept(self, facts: Iterable[Fact], heard_from: str = "") -> int:
        """Take in own facts, or those that a peer's incarnation told; return how many were new."""
        accepted = []
        with self._lock:
            now_s = self._clock_s()
            for fact in facts:
                merged = self._merge(fact, now_s, heard_from)
                if merged is not None:
                    accepted.append(merged)
        for fact in accepted:
            for on_accept in self._listeners:
                on_accept(fact)
        return len(accepted)

    def _merge(self, fact: Fact, now_s: float, heard_from: str) -> Fact | None:
        if fact.ttl_ms <= 0 or not (fact.fleet_wide or fact.region == self._region):
            return None
        key = FactKey(fact.kind, fact.subject)
        held = self._held.get(key)
        if held is not None and held.expires_s > now_s:
            if fact.kind == CRASH_BLAME:
                fact = _united(held.fact, fact)
            if fact.version <= held.fact.version:
                return None
        self._sequence += 1
        self._held[key] = _Held(fact, now_s + fact.ttl_ms / 1000, self._sequence, heard_from)
        return fact

    def since(self, sequence: int, peer: str = "", is_peer_remote: bool = False) -> list[Fact]:
        """Return the live facts accepted after ``sequence``, each with the time it has left.

        What the incarnation ``peer`` told is left out, and for a peer of another region what stays
        in this one. Regions tell each other their own loads: passed on they would travel as often
        as there are regions, and a region that cannot be reached has no use for them.
        """
        with self._lock:
            now_s = self._clock_s()
            return [
                _with_time_left(held, now_s)
                for held in self._held.values()
                if held.sequence > sequence
                and not (peer and held.heard_from == peer)
                and held.expires_s > now_s
                and not (is_peer_remote and self._stays_here(held.fact))
            ]

    def _stays_here(self, fact: Fact) -> bool:
        if fact.kind == REGION_LOAD:
            return fact.region != self._region
        return not fact.fleet_wide

    def find(self, kind: int, subject: str) -> Fact | None:
        """Return the live fact about ``subject``, or ``None``."""
        with self._lock:
            held = self._held.get(FactKey(kind, subject))
            if held is None or held.expires_s <= self._clock_s():
                return None
            return held.fact

    def time_left_ms(self, kind: int, subject: str) -> int:
        """Return how long the fact about ``subject`` still lives, 0 where there is none."""
        with self._lock:
            held = self._held.get(FactKey(kind, subject))
            if held is None:
                return 0
            return max(0, int((held.expires_s - self._clock_s()) * 1000))

    def of_kind(self, kind: int) -> list[Fact]:
        """Return every live fact of one kind."""
        with self._lock:
            now_s = self._clock_s()
            return [
                held.fact
                for key, held in self._held.items()
                if key.kind == kind and held.expires_s > now_s
            ]

    def drop_expired(self) -> list[Fact]:
        """Forget the facts whose time is over and return them."""
        with self._lock:
            now_s = self._clock_s()
            expired = [key for key, held in self._held.items() if held.expires_s <= now_s]
            return [self._held.pop(key).fact for key in expired]

    def __len__(self) -> int:
        return len(self._held)


def _with_time_left(held: _Held, now_s: float) -> Fact:
    fact = Fact()
    fact.CopyFrom(held.fact)
    fact.ttl_ms = max(1, int((held.expires_s - now_s) * 1000))
    return fact


def _united(held: Fact, heard: Fact) -> Fact:
    """Blames from several gateways add up; the version is the number of endpoints named."""
    endpoints = sorted({*held.blame.endpoints, *heard.blame.endpoints})
    united = Fact()
    united.CopyFrom(heard)
    del united.blame.endpoints[:]
    united.blame.endpoints.extend(endpoints)
    united.version = len(endpoints)
    return united
