"""Anti-entropy for suspicions: reconciles those of all gateways even if datagrams were lost.

Digests and summaries carry a version of the sender's suspicions. A gateway that receives a version
other than its own sends an inventory of hashes, receives the suspicions that it lacks, and is asked
in turn for those that the other gateway lacks, so the cost depends on the difference. A gateway
that starts later or was disconnected catches up in the same way.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .codec import encode
from .datagrams import SuspicionInventory
from .datagrams import Suspicions

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_policy.quarantine import Quarantine

# Versions that have differed for a shorter time are ignored: a blame reaches two gateways at
# different times, and their versions differ until both have received it.
MIN_DIFFERENCE_S = 0.3
# Minimum time between two inventories to the same gateway. Replies can be lost, and other gateways
# may send the missing suspicions in the meantime.
REQUEST_INTERVAL_S = 0.4
# Maximum number of addresses whose last inventory is remembered. The gateways of a region and one
# per other region are far fewer.
MAX_TRACKED_PEERS = 512
# This many fit into a datagram that no link fragments.
SUSPICIONS_PER_DATAGRAM = 6
# The rest is sent in reply to the next inventory.
MAX_SUSPICIONS_PER_REPLY = 300


class SuspicionSync:
    """Reconciles one gateway's suspicions with those of other gateways."""

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
        self._requested_s: dict[str, float] = {}
        self._differs_since_s: dict[str, float] = {}

    @property
    def version(self) -> int:
        """The version of this gateway's suspicions."""
        return self._quarantine.version

    def compare_version(self, version: int | None, address: str) -> None:
        """Send an inventory to a gateway whose version has differed for ``MIN_DIFFERENCE_S``.

        ``version`` is ``None`` if the gateway's release does not report one.
        """
        if version in (None, self._quarantine.version) or address in ("", self._own_address()):
            self._differs_since_s.pop(address, None)
            return
        now_s = self._clock_s()
        if now_s - self._differs_since_s.setdefault(address, now_s) >= MIN_DIFFERENCE_S:
            self._send_inventory(address)

    def on_inventory(self, inventory: SuspicionInventory) -> None:
        """Send a gateway the suspicions that it lacks, and request those that this one lacks."""
        lacking = self._quarantine.missing_from(inventory.content_hashes)[:MAX_SUSPICIONS_PER_REPLY]
        for start in range(0, len(lacking), SUSPICIONS_PER_DATAGRAM):
            reply = Suspicions(tuple(lacking[start : start + SUSPICIONS_PER_DATAGRAM]))
            self._send(inventory.reply_to, encode(reply))
        if self._quarantine.is_missing_any(inventory.content_hashes):
            self._send_inventory(inventory.reply_to)

    def on_suspicions(self, received: Suspicions) -> None:
        """Merge the suspicions of another gateway."""
        before = self._quarantine.version
        self._quarantine.merge(received.entries)
        if self._quarantine.version != before:
            log_event(Event.SUSPICIONS_RECEIVED, count=len(received.entries))

    def _send_inventory(self, address: str) -> None:
        now_s = self._clock_s()
        if now_s - self._requested_s.get(address, float("-inf")) < REQUEST_INTERVAL_S:
            return
        if len(self._requested_s) >= MAX_TRACKED_PEERS:
            self._requested_s.clear()
            self._differs_since_s.clear()
        self._requested_s[address] = now_s
        inventory = SuspicionInventory(self._own_address(), self._quarantine.content_hashes())
        self._send(address, encode(inventory))
