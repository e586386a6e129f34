"""Keeps the newest plans in force and never returns to older ones.

A few gateways of each region watch the key-value service. The others detect a new revision in the
exchange with peers and fetch it from a peer that has it. The number of calls to the key-value
service therefore grows with the number of regions, not of gateways.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.plan_format import PLANS_KEY
from primroseferry_core.plan_format import PlanFormatError
from primroseferry_core.plan_format import parse_stored
from primroseferry_core.plans import EMPTY_DOCUMENT
from primroseferry_peers.peer_client import PeerError
from primroseferry_platform.key_value import Entry
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.plans import PlanDocument
    from primroseferry_peers.exchanger import PeerAddress
    from primroseferry_peers.loop_thread import LoopThread
    from primroseferry_peers.peer_client import PeerClient
    from primroseferry_platform.key_value import KeyValueClient

WATCH_HOLDERS_PER_REGION = 2
WATCH_WAIT_MS = 10_000
ROLE_CHECK_S = 1.0
RETRY_S = 0.5
STALE_CHECKS_TO_LOG = 20


class WatchRole(Protocol):
    """The queries on the fleet that :class:`PlanManager` uses."""

    def has_region_role(self, role: str, holders: int) -> bool:
        """Whether this gateway is one of the ``holders`` of ``role`` in its region."""

    def known_peers(self) -> list[PeerAddress]:
        """Return the other gateways of the region, then one gateway of each other region."""


class PlanManager:
    """The plans in force on this gateway. ``on_install`` is called after each change."""

    def __init__(
        self,
        key_value: KeyValueClient,
        peers: PeerClient,
        loop: LoopThread,
        fleet: WatchRole,
        on_install: Callable[[], None],
    ) -> None:
        self._key_value = key_value
        self._peers = peers
        self._loop = loop
        self._fleet = fleet
        self._on_install = on_install
        self._document = EMPTY_DOCUMENT
        self._stored = b""
        self._store_revision = 0
        self._lock = threading.Lock()
        self._peer_revisions: dict[str, int] = {}
        self._fetch_requested = threading.Event()
        self._stopping = threading.Event()
        self.rejected = ""
        self.is_loaded = False
        """Whether the gateway holds the newest plans it could obtain; it serves nothing before."""

    @property
    def document(self) -> PlanDocument:
        """The plans in force, :data:`EMPTY_DOCUMENT` before the first."""
        return self._document

    def held_revision(self) -> int:
        """Return the revision in force, 0 before the first."""
        return self._document.revision

    def stored(self) -> bytes:
        """Return the plans in force, serialized for peers; empty before the first."""
        return self._stored

    def start(self) -> None:
        """Start the thread that watches the key-value service and the one that asks peers."""
        threading.Thread(target=self._run_watch, name="plans-watch", daemon=True).start()
        threading.Thread(target=self._run_fetch, name="plans-fetch", daemon=True).start()

    def stop(self) -> None:
        """Signal both threads to stop."""
        self._stopping.set()
        self._fetch_requested.set()

    def install(self, stored: bytes, source: str) -> bool:
        """Put plans in force if they are valid and newer, else return ``False``.

        Invalid plans are logged and noted in ``rejected``; the plans in force stay.
        """
        try:
            document = parse_stored(stored)
        except PlanFormatError as error:
            self.rejected = str(error)
            log_event(Event.PLANS_REJECTED, source=source, reason=str(error))
            return False
        with self._lock:
            current = self._document.revision
            if self._stored and document.revision <= current:
                if document.revision < current:
                    log_event(
                        Event.STALE_PLANS_REJECTED,
                        source=source,
                        revision=document.revision,
                        held=current,
                    )
                return False
            self._document = document
            self._stored = stored
            self.rejected = ""
        log_event(Event.PLANS_APPLIED, source=source, revision=document.revision)
        self._on_install()
        return True

    def note_peer_revision(self, revision: int, address: str) -> None:
        """Note the revision that the peer at ``address`` holds, and fetch it if it is newer."""
        if revision > self._document.revision:
            with self._lock:
                self._peer_revisions[address] = revision
            self._fetch_requested.set()

    def _run_watch(self) -> None:
        failures = 0
        while not self._stopping.is_set():
            is_holder = self._fleet.has_region_role("plans-watch", WATCH_HOLDERS_PER_REGION)
            if self.is_loaded and not is_holder:
                self._stopping.wait(ROLE_CHECK_S)
                continue
            if self._read_key_value():
                failures = 0
                continue
            failures += 1
            if failures % STALE_CHECKS_TO_LOG == 1:
                log_event(Event.PLANS_UNREACHABLE, held=self.held_revision())
            if not self.is_loaded:
                self._fetch_from_all_peers()
            self._stopping.wait(RETRY_S)

    def _read_key_value(self) -> bool:
        """Wait for newer plans.

        Returns ``False`` if the service did not answer, or if it has no plans and none are loaded.
        """
        wait_ms = WATCH_WAIT_MS if self.is_loaded else 1
        match self._key_value.watch(PLANS_KEY, self._store_revision, wait_ms):
            case Ok(None):
                return self.is_loaded
            case Ok(Entry() as entry):
                self.install(entry.value, "key-value service")
                self._store_revision = entry.revision
                self.is_loaded = bool(self._stored)
                return True
            case _:
                return False

    def _fetch_from_all_peers(self) -> None:
        """Fetch the highest revision that reachable peers hold.

        This lets a gateway start during an outage of the key-value service.
        """
        for peer in self._fleet.known_peers():
            self._fetch(peer.address)
        if self._stored:
            self.is_loaded = True

    def _run_fetch(self) -> None:
        while not self._stopping.is_set():
            self._fetch_requested.wait()
            self._fetch_requested.clear()
            for address in self._pop_peers_with_newer():
                self._fetch(address)

    def _pop_peers_with_newer(self) -> list[str]:
        """Clear the noted revisions; return the peers with newer ones, highest first."""
        with self._lock:
            current = self._document.revision
            wanted = [item for item in self._peer_revisions.items() if item[1] > current]
            self._peer_revisions.clear()
        return [address for address, _ in sorted(wanted, key=lambda item: -item[1])]

    def _fetch(self, address: str) -> None:
        current = self.held_revision()
        try:
            reply = self._loop.submit(self._peers.fetch_plans(address, current)).result()
        except PeerError as error:
            log_event(Event.PEER_EXCHANGE_FAILED, peer=address, reason=str(error))
            return
        if reply.stored:
            self.install(reply.stored, f"peer {address}")
