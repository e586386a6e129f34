"""Exchanges control items with peers, for gateways that get none from the store."""

from __future__ import annotations

import base64
import json
import random
import threading
import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.calls import HttpReply
from result import Err
from result import Ok

from ..messages import CompleteAnswer
from ..messages import json_answer
from .control_state import PeerItems
from .metadata_store import START
from .metadata_store import StoredItem
from .metadata_store import StorePosition

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
        """Start a fetch if a peer is ahead; called many times a second, never blocks.

        A gateway that does not watch the store also fetches all items of an era, to compare those
        that it kept from earlier ones.
        """
        ahead = self._peers.peers_ahead_of(self._state.position)
        if not ahead:
            self._behind_since_s = None
            if self._state.must_list_again and not self._duty.is_on_duty():
                self._start_fetch(self._peers.control_holders(), StorePosition(self._state.era, 0))
            return
        now_s = time.monotonic()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        expects_watch = self._state.position > START and self._duty.is_on_duty()
        if expects_watch and now_s - self._behind_since_s < MAX_LAG_S:
            return
        self._start_fetch(ahead, self._state.position)

    def _start_fetch(self, holders: list[str], after: StorePosition) -> None:
        if holders and self._fetch_lock.acquire(blocking=False):
            holder = self._random.choice(holders)
            threading.Thread(target=self._fetch, args=(holder, after), daemon=True).start()

    def answer(self, after: StorePosition) -> CompleteAnswer:
        """Return a JSON answer with the items newer than ``after``, for a peer.

        All items are returned, as a listing, if removals since then are not known here.
        """
        known = self._state.for_peer(after)
        items = [
            {
                "key": item.key,
                "value": None if item.value is None else base64.b64encode(item.value).decode(),
                "revision": item.revision,
                "era": item.era,
                "step": item.step,
            }
            for item in known.items
        ]
        reply = {
            "items": items,
            "era": known.position.era,
            "as_of": known.position.revision,
            "is_listing": known.is_listing,
            "is_confirmed": known.is_confirmed,
        }
        return json_answer(200, reply)

    def _fetch(self, holder: str, after: StorePosition) -> None:
        query = urlencode({"after": after.revision, "era": after.era, "step": after.step})
        url = f"http://{holder}{CONTROL_PATH}?{query}"
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

    def _apply_reply(self, holder: str, after: StorePosition, body: bytes) -> None:
        try:
            reply = json.loads(body)
            items = tuple(
                StoredItem(
                    str(item["key"]),
                    None if item["value"] is None else base64.b64decode(item["value"]),
                    int(item["revision"]),
                    int(item.get("era", 0)),
                    int(item.get("step", 0)),
                )
                for item in reply["items"]
            )
            # Earlier releases send the items only.
            position = StorePosition(int(reply.get("era", 0)), int(reply.get("as_of", 0)))
            is_listing = reply.get("is_listing") is True
            is_confirmed = reply.get("is_confirmed") is True
            fetched = PeerItems(items, position, is_listing, is_confirmed)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            _log_failure(holder, f"malformed answer: {error!r}")
            return
        state = self._state
        applied = state.apply_fetched(fetched)
        if is_confirmed and after == (position.era, 0, 0):
            state.confirm(position, {item.key for item in items})
        log_event(
            Event.CONTROL_FROM_PEER,
            peer=holder,
            after=after.revision,
            era=state.era,
            items=applied,
        )


def _log_failure(holder: str, reason: str) -> None:
    log_event(Event.PEER_EXCHANGE_FAILED, peer=holder, reason=f"control items: {reason}")
