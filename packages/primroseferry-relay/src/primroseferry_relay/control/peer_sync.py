"""Exchanges control items with peers, for gateways that get none from the store."""

from __future__ import annotations

import base64
import json
import random
import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

from ..messages import CompleteAnswer
from ..messages import json_answer
from .metadata_store import StoredItem

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

    from ..membership.peer_table import PeerTable
    from .control_state import ControlState
    from .watch_duty import WatchDuty

CONTROL_PATH = "/primroseferry/control"
# A working watch delivers a change sooner than this. A gateway that lags longer asks a peer.
MAX_LAG_S = 0.4
FETCH_TIMEOUT_MS = 1_500
FETCH_PAUSE_S = 0.3


class PeerSync:
    """Fetches the control items that a peer has and this gateway lacks, and serves its own."""

    def __init__(
        self, loop: CurlLoop, peers: PeerTable, state: ControlState, duty: WatchDuty
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._state = state
        self._duty = duty
        self._behind_since_s: float | None = None
        self._fetch_lock = threading.Lock()
        self._random = random.Random()

    def tick(self) -> None:
        """Start a fetch if a peer is ahead; called many times a second, never blocks."""
        ahead = self._peers.peers_ahead_of(self._state.revision)
        if not ahead:
            self._behind_since_s = None
            return
        now_s = time.monotonic()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        expects_watch = self._state.revision > 0 and self._duty.is_on_duty()
        if expects_watch and now_s - self._behind_since_s < MAX_LAG_S:
            return
        if self._fetch_lock.acquire(blocking=False):
            holder = self._random.choice(ahead)
            threading.Thread(target=self._fetch, args=(holder,), daemon=True).start()

    def answer(self, after: int) -> CompleteAnswer:
        """Return a JSON answer with the items newer than revision ``after``, for a peer."""
        items = [
            {
                "key": item.key,
                "value": None if item.value is None else base64.b64encode(item.value).decode(),
                "revision": item.revision,
            }
            for item in self._state.items_after(after)
        ]
        return json_answer(200, {"items": items})

    def _fetch(self, holder: str) -> None:
        after = self._state.revision
        url = f"http://{holder}{CONTROL_PATH}?after={after}"
        try:
            match self._loop.call(HttpCall("GET", url, timeout_ms=FETCH_TIMEOUT_MS)):
                case Ok(HttpReply(status=200, body=body)):
                    self._apply_reply(holder, after, body)
                case Ok(reply):
                    _log_failure(holder, f"status {reply.status}")
                case Err(failure):
                    _log_failure(holder, failure.reason)
            time.sleep(FETCH_PAUSE_S)
        finally:
            self._fetch_lock.release()

    def _apply_reply(self, holder: str, after: int, body: bytes) -> None:
        try:
            items = [
                StoredItem(
                    str(item["key"]),
                    None if item["value"] is None else base64.b64decode(item["value"]),
                    int(item["revision"]),
                )
                for item in json.loads(body)["items"]
            ]
        except (ValueError, KeyError, TypeError) as error:
            _log_failure(holder, f"malformed answer: {error!r}")
            return
        applied = sum(self._state.apply(item) for item in items)
        log_event(Event.CONTROL_FROM_PEER, peer=holder, after=after, items=applied)


def _log_failure(holder: str, reason: str) -> None:
    log_event(Event.PEER_EXCHANGE_FAILED, peer=holder, reason=f"control items: {reason}")
