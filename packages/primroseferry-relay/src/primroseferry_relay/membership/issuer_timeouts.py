"""The choice of an issuer, with another gateway in place of one that does not answer."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .permit_issuer import IssuerRole

if TYPE_CHECKING:
    from primroseferry_core.ids import InstanceId

    from .peer_table import PeerTable

# How long the next gateway is asked in place of an unresponsive issuer.
STANDBY_S = 2.0


@dataclass(slots=True)
class _Timeouts:
    """Timeouts of an issuer since its last reply."""

    first_asked_s: float
    count: int = 0
    standby_until_s: float = 0.0


class IssuerTimeouts:
    """Chooses the gateway that issues for a key, and replaces one that times out repeatedly.

    An issuer counts as unresponsive after ``min_timeouts`` in a row, since single datagrams may be
    lost, over at least ``min_unresponsive_s``, since requests that wait during a short pause time
    out together. All times are those of one clock of the caller.
    """

    def __init__(self, peers: PeerTable, min_timeouts: int, min_unresponsive_s: float) -> None:
        self._peers = peers
        self._min_timeouts = min_timeouts
        self._min_unresponsive_s = min_unresponsive_s
        self._timeouts: dict[InstanceId, _Timeouts] = {}
        self._lock = threading.Lock()

    def choose(self, key: str, now_s: float) -> tuple[IssuerRole, InstanceId | None]:
        """Return the gateway to ask and its role; ``None`` if no gateway is known."""
        order = self._peers.order_by_key(key)
        if not order:
            return IssuerRole.PRIMARY, None
        with self._lock:
            timeouts = self._timeouts.get(order[0])
            is_unresponsive = timeouts is not None and now_s < timeouts.standby_until_s
        if is_unresponsive and len(order) > 1:
            return IssuerRole.STANDBY, order[1]
        return IssuerRole.PRIMARY, order[0]

    def note_timeout(self, issuer: InstanceId, asked_s: float, now_s: float) -> bool:
        """Count a request that got no reply; return whether the issuer is now to be replaced."""
        with self._lock:
            timeouts = self._timeouts.setdefault(issuer, _Timeouts(asked_s))
            timeouts.count += 1
            is_unresponsive = (
                timeouts.count >= self._min_timeouts
                and now_s - timeouts.first_asked_s >= self._min_unresponsive_s
            )
            is_new = is_unresponsive and now_s >= timeouts.standby_until_s
            if is_new:
                timeouts.standby_until_s = now_s + STANDBY_S
        return is_new

    def note_reply(self, issuer: InstanceId) -> None:
        """Forget the issuer's timeouts."""
        with self._lock:
            self._timeouts.pop(issuer, None)
