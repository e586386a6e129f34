"""Requests that crash the endpoints that run them.

Every request that was running on an endpoint when it died is blamed with that death. A request
blamed with two deaths is quarantined. An innocent request that was batched with
a crashing one is blamed once, and is cleared by the first endpoint that answers it whole: a request
that crashes engines never gets an answer.
"""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseferry_core.ids import Fingerprint

DEATHS_TO_QUARANTINE = 2
SAME_DEATH_S = 3
# A blame is forgotten after this time, so that a quarantine ends.
BLAME_TTL_S = 600.0


class Quarantine:
    """Which requests are blamed for which deaths, own observations and those heard from peers."""

    def __init__(
        self, clock_s: Callable[[], float] = time.monotonic, ttl_s: float = BLAME_TTL_S
    ) -> None:
        self._clock_s = clock_s
        self._ttl_s = ttl_s
        self._blamed: dict[Fingerprint, set[str]] = {}
        self._blamed_s: dict[Fingerprint, float] = {}
        self._cleared: set[Fingerprint] = set()
        self._lock = threading.Lock()

    def blame(self, fingerprint: Fingerprint, deaths: Iterable[str]) -> list[str]:
        """Add deaths to a request's blame and return all of them, sorted.

        A death is written ``endpoint@seconds``; several gateways may see the same one at slightly
        different times.
        """
        with self._lock:
            self._expire()
            self._blamed_s[fingerprint] = self._clock_s()
            blamed = self._blamed.setdefault(fingerprint, set())
            before = count_deaths(blamed)
            blamed.update(deaths)
            is_news = before < DEATHS_TO_QUARANTINE <= count_deaths(blamed)
            if is_news and fingerprint not in self._cleared:
                log_event(Event.FINGERPRINT_QUARANTINED, fingerprint=fingerprint)
            return sorted(blamed)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Note that an endpoint answered the request whole."""
        with self._lock:
            if fingerprint in self._blamed and fingerprint not in self._cleared:
                self._cleared.add(fingerprint)
                log_event(Event.FINGERPRINT_CLEARED, fingerprint=fingerprint)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether no further endpoint is given the request."""
        with self._lock:
            self._expire()
            blamed = self._blamed.get(fingerprint, set())
            return self._is_condemned(fingerprint, blamed)

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Whether the request was running on an endpoint that died."""
        with self._lock:
            return fingerprint in self._blamed and fingerprint not in self._cleared

    def forget(self, fingerprint: Fingerprint) -> None:
        """Drop a blame whose time is over."""
        with self._lock:
            self._forget(fingerprint)

    def quarantined(self) -> list[Fingerprint]:
        """Return the quarantined requests."""
        with self._lock:
            return sorted(
                fingerprint
                for fingerprint, blamed in self._blamed.items()
                if self._is_condemned(fingerprint, blamed)
            )

    def _forget(self, fingerprint: Fingerprint) -> None:
        self._blamed.pop(fingerprint, None)
        self._blamed_s.pop(fingerprint, None)
        self._cleared.discard(fingerprint)

    def _expire(self) -> None:
        start_s = self._clock_s() - self._ttl_s
        for fingerprint in [name for name, at in self._blamed_s.items() if at < start_s]:
            self._forget(fingerprint)

    def _is_condemned(self, fingerprint: Fingerprint, blamed: set[str]) -> bool:
        return count_deaths(blamed) >= DEATHS_TO_QUARANTINE and fingerprint not in self._cleared


def count_deaths(deaths: Iterable[str]) -> int:
    """Count deaths; those of one endpoint within a few seconds are one death seen twice.

    >>> count_deaths(["engine-1@100", "engine-1@101", "engine-1@130", "engine-2@100"])
    3
    """
    count = 0
    last_endpoint, last_s = "", 0
    for death in sorted(deaths, key=_endpoint_and_second):
        endpoint, at_s = _endpoint_and_second(death)
        if endpoint != last_endpoint or at_s - last_s > SAME_DEATH_S:
            count += 1
        last_endpoint, last_s = endpoint, at_s
    return count


def _endpoint_and_second(death: str) -> tuple[str, int]:
    endpoint, _, second = death.rpartition("@")
    return endpoint, int(second) if second.isdecimal() else 0
