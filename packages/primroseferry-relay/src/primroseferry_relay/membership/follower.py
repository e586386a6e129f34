"""Chooses the collectors that a gateway reports to, and the one whose digests it accepts.

Members that see the same roster choose the same two collectors. A collector whose digests do not
arrive is avoided for a while. During that time the gateway reports to more collectors, and requests
digests from all of them until it has accepted one. A new first choice takes over only once it is
warm, so that loads are not accepted from a collector that has not yet received the state of every
member.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.ids import InstanceId

    from .datagrams import Digest
    from .peer import Peer

# Number of collectors that a member reports to, normally and while it avoids any collector.
COLLECTOR_COUNT = 2
COLLECTOR_COUNT_DURING_AVOIDANCE = 4
# Idle collectors send five digests per second.
DIGEST_TIMEOUT_S = 0.65
# A collector whose digests do not acknowledge an update after this time is assumed not to receive
# this gateway's updates.
ACK_TIMEOUT_S = 0.5
AVOIDANCE_S = 5.0
# If no digest was accepted for longer than this, a digest of any collector is accepted, even of one
# that is not warm.
MAX_VIEW_AGE_S = 1.0
_CHOICE_KEY = "collector"


@dataclass(frozen=True, slots=True)
class Target:
    """A collector that this gateway reports to, and whether it requests digests from it."""

    peer: Peer
    wants_digest: bool


class Follower:
    """Chooses one gateway's collectors and filters their digests."""

    def __init__(
        self, own_instance: InstanceId, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._own_instance = own_instance
        self._clock_s = clock_s
        self._avoided_until_s: dict[InstanceId, float] = {}
        self._primary: InstanceId | None = None
        self._preferred: InstanceId | None = None
        self._requested_s = clock_s()
        self._accepted_s = float("-inf")
        self._last_sequence = 0
        self._incarnation: IncarnationId | None = None
        # Whether other members request digests from this gateway.
        self.has_followers = False
        self._unacking_collector: InstanceId | None = None
        self._sent_s: deque[tuple[float, int]] = deque()
        self.wants_full = True

    @property
    def primary(self) -> InstanceId | None:
        """The collector whose digests are currently accepted."""
        return self._primary

    @property
    def view_age_s(self) -> float:
        """The time in seconds since a digest was last accepted."""
        return self._clock_s() - self._accepted_s

    def choose(self, members: Sequence[Peer]) -> list[Target]:
        """Return the collectors to report to, chosen from the region's members.

        ``members`` includes this gateway, which can be its own collector.
        """
        now_s = self._clock_s()
        self._avoided_until_s = {
            name: until_s for name, until_s in self._avoided_until_s.items() if until_s > now_s
        }
        by_name = {str(peer.instance): peer for peer in members}
        if by_name.keys() == {str(self._own_instance)}:
            # No other gateway is known: the fault is likely this gateway's own and not that of the
            # collectors that it avoids.
            self._avoided_until_s.clear()
        self._avoid_unresponsive(now_s, by_name)
        candidates = [
            by_name[name]
            for name in rendezvous_order(_CHOICE_KEY, by_name)
            if by_name[name].instance not in self._avoided_until_s
        ]
        # Highest bandwidth first: digests for a large region saturate a slow link.
        candidates.sort(key=lambda peer: -peer.link_mbps)
        if not candidates:
            self._avoided_until_s.clear()
            return []
        is_avoiding = bool(self._avoided_until_s)
        chosen = candidates[: COLLECTOR_COUNT_DURING_AVOIDANCE if is_avoiding else COLLECTOR_COUNT]
        if self._preferred != chosen[0].instance:
            self._preferred = chosen[0].instance
            self._requested_s = now_s
        names = {peer.instance for peer in chosen}
        if self._primary is not None and self._primary not in names:
            kept = by_name.get(str(self._primary))
            if kept is not None and self._primary not in self._avoided_until_s:
                chosen.append(kept)
            else:
                self._primary = None
        requests_all = is_avoiding and self._primary is None
        return [
            Target(peer, requests_all or peer.instance in (self._preferred, self._primary))
            for peer in chosen
        ]

    def note_sent(self, sequence: int) -> None:
        """Record the time at which an update was sent."""
        self._sent_s.append((self._clock_s(), sequence))

    def accepts(self, digest: Digest) -> bool:
        """Whether a digest is to be applied; may make its collector the primary one.

        Sets ``wants_full`` when a full digest is needed first.
        """
        now_s = self._clock_s()
        if digest.collector != self._own_instance and self._is_ack_overdue(digest, now_s):
            self._unacking_collector = digest.collector
            return False
        is_primary = digest.collector == self._primary and digest.incarnation == self._incarnation
        # A gateway that only follows itself and has no followers knows less than any collector
        # that answers it.
        has_partial_view = self._primary in (None, self._own_instance) and not self.has_followers
        is_better_informed = has_partial_view and digest.collector != self._own_instance
        accepts_any = is_better_informed or now_s - self._accepted_s > MAX_VIEW_AGE_S
        takes_over = digest.collector == self._preferred and digest.is_warm
        if not is_primary and not takes_over and not accepts_any:
            return False
        if not is_primary:
            if not digest.is_full:
                self.wants_full = True
                return False
            log_event(Event.COLLECTOR_SELECTED, peer=digest.collector, is_warm=int(digest.is_warm))
            self._primary, self._incarnation = digest.collector, digest.incarnation
        elif not digest.is_full and digest.sequence != self._last_sequence + 1:
            self.wants_full = True
            if digest.sequence <= self._last_sequence:
                return False
        if digest.is_full:
            self.wants_full = False
        self._last_sequence = digest.sequence
        self._accepted_s = now_s
        return True

    def _is_ack_overdue(self, digest: Digest, now_s: float) -> bool:
        """Whether a digest does not acknowledge an update sent over ``ACK_TIMEOUT_S`` ago."""
        while len(self._sent_s) > 1 and now_s - self._sent_s[1][0] > ACK_TIMEOUT_S:
            self._sent_s.popleft()
        if not self._sent_s or now_s - self._sent_s[0][0] <= ACK_TIMEOUT_S:
            return False
        return digest.acked < self._sent_s[0][1]

    def _avoid_unresponsive(self, now_s: float, by_name: dict[str, Peer]) -> None:
        """Avoid the current collector if its digests or acknowledgements are overdue."""
        silence_s = now_s - max(self._accepted_s, self._requested_s)
        suspect = self._primary or self._preferred
        is_ack_overdue = suspect is not None and suspect == self._unacking_collector
        self._unacking_collector = None
        if silence_s <= DIGEST_TIMEOUT_S and not is_ack_overdue:
            return
        if suspect is None or suspect == self._own_instance or str(suspect) not in by_name:
            return
        log_event(Event.COLLECTOR_TIMED_OUT, peer=suspect, silent_ms=round(silence_s * 1000))
        self._avoided_until_s[suspect] = now_s + AVOIDANCE_S
        self._primary = None
        self._requested_s = now_s
