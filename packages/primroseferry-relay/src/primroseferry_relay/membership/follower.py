"""Which collectors a gateway tells its state, and whose digests it believes.

Members that see the same roster choose the same two collectors. A collector whose digests stay away
is avoided for a while, and more of the next ones are asked at once. A new first choice takes over
only once it is warm, so that loads are never believed from one who has not heard everyone yet.
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

# Collectors that a member tells its state, and those that it tells while one is avoided.
COLLECTORS = 2
COLLECTORS_IN_DOUBT = 4
# Idle collectors send five digests a second.
SILENCE_S = 0.65
# A collector that does not include what it was told so long ago does not hear this gateway.
DEAF_S = 0.5
AVOID_S = 5.0
# Without any digest for so long, a cold collector's view is better than none.
MAX_VIEW_AGE_S = 1.0
_CHOICE_KEY = "collector"


@dataclass(frozen=True, slots=True)
class Target:
    """A collector that is told this gateway's state."""

    peer: Peer
    wants_digest: bool


class Follower:
    """One gateway's choice of collectors."""

    def __init__(
        self, own_instance: InstanceId, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._own_instance = own_instance
        self._clock_s = clock_s
        self._avoided_until_s: dict[InstanceId, float] = {}
        self._primary: InstanceId | None = None
        self._preferred: InstanceId | None = None
        self._asked_s = clock_s()
        self._believed_s = float("-inf")
        self._last_sequence = 0
        self._incarnation: IncarnationId | None = None
        # Whether other members take their digests from this gateway.
        self.is_followed = False
        self._deaf: InstanceId | None = None
        self._sent_s: deque[tuple[float, int]] = deque()
        self.wants_full = True

    @property
    def primary(self) -> InstanceId | None:
        """The collector whose digests are believed now."""
        return self._primary

    @property
    def view_age_s(self) -> float:
        """How long ago a digest was believed."""
        return self._clock_s() - self._believed_s

    def choose(self, members: Sequence[Peer]) -> list[Target]:
        """Return the collectors among the region's members, this gateway included."""
        now_s = self._clock_s()
        self._avoided_until_s = {
            name: until_s for name, until_s in self._avoided_until_s.items() if until_s > now_s
        }
        by_name = {str(peer.instance): peer for peer in members}
        if by_name.keys() == {str(self._own_instance)}:
            # Nobody is heard: the fault is this gateway's own, and not that of those it avoids.
            self._avoided_until_s.clear()
        self._doubt_silent(now_s, by_name)
        order = [
            by_name[name]
            for name in rendezvous_order(_CHOICE_KEY, by_name)
            if by_name[name].instance not in self._avoided_until_s
        ]
        # The widest links first: digests for a large region fill a narrow one.
        order.sort(key=lambda peer: -peer.link_mbps)
        if not order:
            self._avoided_until_s.clear()
            return []
        in_doubt = bool(self._avoided_until_s)
        chosen = order[: COLLECTORS_IN_DOUBT if in_doubt else COLLECTORS]
        if self._preferred != chosen[0].instance:
            self._preferred = chosen[0].instance
            self._asked_s = now_s
        names = {peer.instance for peer in chosen}
        if self._primary is not None and self._primary not in names:
            kept = by_name.get(str(self._primary))
            if kept is not None and self._primary not in self._avoided_until_s:
                chosen.append(kept)
            else:
                self._primary = None
        is_asked_all = in_doubt and self._primary is None
        return [
            Target(peer, is_asked_all or peer.instance in (self._preferred, self._primary))
            for peer in chosen
        ]

    def note_sent(self, sequence: int) -> None:
        """Note that an update went out."""
        self._sent_s.append((self._clock_s(), sequence))

    def believes(self, digest: Digest) -> bool:
        """Whether a digest is to be taken in; notes from whom the next ones are."""
        now_s = self._clock_s()
        if digest.collector != self._own_instance and self._is_deaf(digest, now_s):
            self._deaf = digest.collector
            return False
        is_primary = digest.collector == self._primary and digest.incarnation == self._incarnation
        # Who follows itself, with nobody else doing so, knows less than whoever answers it.
        knows_little = self._primary in (None, self._own_instance) and not self.is_followed
        is_better = knows_little and digest.collector != self._own_instance
        is_stale = is_better or now_s - self._believed_s > MAX_VIEW_AGE_S
        takes_over = digest.collector == self._preferred and digest.is_warm
        if not is_primary and not takes_over and not is_stale:
            return False
        if not is_primary:
            if not digest.is_full:
                self.wants_full = True
                return False
            log_event(Event.COLLECTOR_CHOSEN, peer=digest.collector, is_warm=int(digest.is_warm))
            self._primary, self._incarnation = digest.collector, digest.incarnation
        elif not digest.is_full and digest.sequence != self._last_sequence + 1:
            self.wants_full = True
            if digest.sequence <= self._last_sequence:
                return False
        if digest.is_full:
            self.wants_full = False
        self._last_sequence = digest.sequence
        self._believed_s = now_s
        return True

    def _is_deaf(self, digest: Digest, now_s: float) -> bool:
        """Whether a collector sends but has not heard what this gateway told long ago."""
        while len(self._sent_s) > 1 and now_s - self._sent_s[1][0] > DEAF_S:
            self._sent_s.popleft()
        if not self._sent_s or now_s - self._sent_s[0][0] <= DEAF_S:
            return False
        return digest.acked < self._sent_s[0][1]

    def _doubt_silent(self, now_s: float, by_name: dict[str, Peer]) -> None:
        """Avoid the collector that should have been heard and was not."""
        silent_s = now_s - max(self._believed_s, self._asked_s)
        doubted = self._primary or self._preferred
        is_deaf = doubted is not None and doubted == self._deaf
        self._deaf = None
        if silent_s <= SILENCE_S and not is_deaf:
            return
        if doubted is None or doubted == self._own_instance or str(doubted) not in by_name:
            return
        log_event(Event.COLLECTOR_SILENT, peer=doubted, silent_ms=round(silent_s * 1000))
        self._avoided_until_s[doubted] = now_s + AVOID_S
        self._primary = None
        self._asked_s = now_s
