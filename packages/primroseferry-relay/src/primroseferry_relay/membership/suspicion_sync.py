"""Brings what gateways hold against requests together, whatever was lost on the way.

Versions travel with digests and summaries. Who sees another version than its own names what it
holds by hashes, is told the rest, and is asked in turn for what the other lacks: the cost is that
of the difference. A gateway that starts later or was cut off catches up in the same way.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .codec import encode
from .datagrams import Suspicions
from .datagrams import SuspicionsKnown

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_policy.quarantine import Quarantine

# A blame on its way to both sides makes their versions differ for a moment.
SETTLE_S = 0.3
# The same gateway is asked again after this time; answers get lost, and others may tell meanwhile.
ASK_PAUSE_S = 0.4
# Gateways that were asked lately; those of a region and one for each other region are far fewer.
MAX_ASKED = 512
# So many fit a datagram that no link splits.
TOLD_IN_DATAGRAM = 6
# What one question brings at most; the rest follows with the next.
MAX_TOLD = 300


class SuspicionSync:
    """One gateway's part in it."""

    def __init__(
        self,
        quarantine: Quarantine,
        own_address: Callable[[], str],
        send: Callable[[str, bytes], None],
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._quarantine = quarantine
        self._own_address = own_address
        self._send = send
        self._clock_s = clock_s
        self._asked_s: dict[str, float] = {}
        self._differs_s: dict[str, float] = {}

    @property
    def version(self) -> int:
        """The version of what this gateway holds."""
        return self._quarantine.version

    def compare(self, version: int | None, address: str) -> None:
        """Ask the gateway at ``address`` where it has held something else for a while."""
        if version in (None, self._quarantine.version) or address in ("", self._own_address()):
            self._differs_s.pop(address, None)
            return
        now_s = self._clock_s()
        if now_s - self._differs_s.setdefault(address, now_s) >= SETTLE_S:
            self._ask(address)

    def answer(self, known: SuspicionsKnown) -> None:
        """Tell a gateway what it lacks, and ask it for what this one lacks."""
        lacking = self._quarantine.unknown_to(known.points)[:MAX_TOLD]
        for start in range(0, len(lacking), TOLD_IN_DATAGRAM):
            told = Suspicions(tuple(lacking[start : start + TOLD_IN_DATAGRAM]))
            self._send(known.reply_to, encode(told))
        if self._quarantine.lacks_any(known.points):
            self._ask(known.reply_to)

    def hear(self, news: Suspicions) -> None:
        """Take in what another gateway holds."""
        before = self._quarantine.version
        self._quarantine.hear(news.told)
        if self._quarantine.version != before:
            log_event(Event.SUSPICIONS_HEARD, count=len(news.told))

    def _ask(self, address: str) -> None:
        now_s = self._clock_s()
        if now_s - self._asked_s.get(address, float("-inf")) < ASK_PAUSE_S:
            return
        if len(self._asked_s) >= MAX_ASKED:
            self._asked_s.clear()
            self._differs_s.clear()
        self._asked_s[address] = now_s
        known = SuspicionsKnown(self._own_address(), self._quarantine.points())
        self._send(address, encode(known))
