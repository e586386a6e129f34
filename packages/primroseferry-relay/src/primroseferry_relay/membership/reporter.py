"""The thread and the UDP port of a gateway's exchange with others."""

from __future__ import annotations

import select
import socket
import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .codec import MAX_DATAGRAM_BYTES
from .exchange import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import ToldSuspicion

    from ..endpoints.endpoint import EndpointRun
    from ..relay_policy import Placed
    from .datagrams import Blame
    from .exchange import ExchangeFeed
    from .exchange import OwnFacts
    from .peer import ServiceSummary
    from .peer_table import PeerTable

# A collector of a large region gathers what arrives for so long before it takes it in: a wake-up
# for each datagram costs more than its content.
GATHER_S = 0.01
MIN_GATHERING_MEMBERS = 9
# A tick is not kept waiting by a flood of datagrams.
MAX_GATHERED = 512
# Updates of all members of a region may arrive at once.
RECEIVE_BUFFER_BYTES = 1024 * 1024


class Reporter:
    """Exchanges state with other gateways until it is stopped."""

    def __init__(
        self,
        host: str,
        port: int,
        peers: PeerTable,
        own_facts: Callable[[str], OwnFacts],
        summaries: Callable[[], Mapping[ServiceId, ServiceSummary]],
        feed: ExchangeFeed,
        quarantine: Quarantine,
    ) -> None:
        """``own_facts`` gets the address of the port."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._targets: dict[str, tuple[str, int]] = {}
        self._exchange = Exchange(
            peers, lambda: own_facts(self.address), summaries, feed, self._send, quarantine
        )
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name="reporter", daemon=True)

    def start(self) -> None:
        """Start exchanging state."""
        self._thread.start()

    def stop(self) -> None:
        """Stop exchanging state."""
        self._is_open = False

    @property
    def collected(self) -> int:
        """How many gateways tell this one their state, itself included."""
        return self._exchange.collected

    def tell_state(self) -> None:
        """Tell the region at once that this gateway's state changed."""
        self._exchange.tell_state()

    def tell_placed(self, placed: Placed) -> None:
        """Tell the region of a request that an engine was just given."""
        self._exchange.tell_placed(placed)

    def tell_blame(self, blame: Blame) -> None:
        """Tell every gateway of a request that an endpoint died of."""
        self._exchange.tell_blame(blame)

    def tell_suspicion(self, told: ToldSuspicion) -> None:
        """Tell every gateway all that is held against a request."""
        self._exchange.tell_suspicion(told)

    def tell_leaving(self, run: EndpointRun) -> None:
        """Tell the region's gateways of an endpoint that leaves."""
        self._exchange.tell_leaving(run)

    def _run(self) -> None:
        while self._is_open:
            try:
                due_ms = self._exchange.due_in_s() * 1000
                if due_ms > 0 and self._readable.poll(due_ms):
                    if self._exchange.collected >= MIN_GATHERING_MEMBERS:
                        time.sleep(GATHER_S)
                    self._receive_gathered()
                self._exchange.tick()
            except Exception as error:
                # A gateway without this thread would neither hear nor be heard.
                log_event(Event.BACKGROUND_FAILED, task="reporter", error=repr(error)[:300])

    def _receive_gathered(self) -> None:
        for _ in range(MAX_GATHERED):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log_event(Event.PEER_EXCHANGE_FAILED, reason=f"receive: {error}")
                return
            self._exchange.receive(data)

    def _send(self, address: str, data: bytes) -> None:
        target = self._targets.get(address)
        if target is None:
            host, _, port = address.rpartition(":")
            target = (host, int(port) if port.isdecimal() else 0)
            self._targets[address] = target
        try:
            self._socket.sendto(data, target)
        except OSError as error:
            log_event(Event.PEER_EXCHANGE_FAILED, peer=address, reason=f"send: {error}")
