"""The thread and the UDP socket of a gateway's state exchange."""

from __future__ import annotations

import ipaddress
import select
import socket
import time
from typing import TYPE_CHECKING

from primroseferry_core.bounded_map import BoundedMap
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.vital_thread import VitalThread

from .codec import MAX_DATAGRAM_BYTES
from .exchange import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_profile import EndpointProfiles
    from primroseferry_policy.quarantine import Quarantine
    from primroseferry_policy.quarantine import SuspicionReport

    from ..endpoints.endpoint import EndpointRun
    from ..endpoints.run_notice import RunNotice
    from ..relay_policy import PlacedRequest
    from .datagrams import Blame
    from .exchange import ExchangeFeed
    from .exchange import LocalState
    from .peer import ServiceSummary
    from .peer_table import PeerTable
    from .quota_leases import QuotaLeases
    from .request_permits import RequestPermits
    from .stream_sync import StreamSync

# A collector of a large region lets datagrams queue for this long before it handles them, because a
# wake-up for each datagram costs more than handling it.
BATCH_DELAY_S = 0.01
MIN_BATCHING_MEMBERS = 9
# Limits how long a flood of datagrams can delay a tick.
MAX_BATCH_SIZE = 512
# The updates of all members of a region can arrive at once.
RECEIVE_BUFFER_BYTES = 1024 * 1024
MAX_TARGETS = 4_096
MAX_PORT = 65_535
# Host and port, as the socket takes them.
_Target = tuple[str, int]


class Reporter:
    """Exchanges state with other gateways on a background thread until it is stopped."""

    def __init__(
        self,
        host: str,
        port: int,
        peers: PeerTable,
        local_state: Callable[[str], LocalState],
        summaries: Callable[[], Mapping[ServiceId, ServiceSummary]],
        feed: ExchangeFeed,
        quarantine: Quarantine,
        permits: RequestPermits,
        streams: StreamSync,
        quotas: QuotaLeases | None = None,
        profiles: EndpointProfiles | None = None,
    ) -> None:
        """Bind the socket; ``local_state`` is called with the address that it is bound to."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._targets: BoundedMap[str, _Target | None] = BoundedMap(MAX_TARGETS)
        self._exchange = Exchange(
            peers,
            lambda: local_state(self.address),
            summaries,
            feed,
            self._send,
            quarantine,
            permits,
            streams,
            quotas=quotas,
            profiles=profiles,
        )
        self._is_open = True
        self._thread = VitalThread("reporter", self._run)

    def start(self) -> None:
        """Start the exchange thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the exchange thread to stop after its current iteration."""
        self._is_open = False

    @property
    def is_failing(self) -> bool:
        """Whether the thread has ended or has just failed."""
        return self._thread.is_failing

    @property
    def member_count(self) -> int:
        """The number of gateways that report their state to this one, including itself."""
        return self._exchange.member_count

    def send_state(self) -> None:
        """Report this gateway's changed state to the region at once."""
        self._exchange.send_state()

    def send_placement(self, placed: PlacedRequest) -> None:
        """Report a request that was just placed on an engine to the region's collectors."""
        self._exchange.send_placement(placed)

    def send_blame(self, blame: Blame) -> None:
        """Send a blame to every gateway."""
        self._exchange.send_blame(blame)

    def send_suspicions(self, suspicions: Sequence[SuspicionReport]) -> None:
        """Send a suspicion to every gateway."""
        self._exchange.send_suspicions(suspicions)

    def send_endpoint_leaving(self, run: EndpointRun) -> None:
        """Send a leaving endpoint to the region's gateways."""
        self._exchange.send_endpoint_leaving(run)

    def send_run_notice(self, addresses: Sequence[str], notice: RunNotice) -> None:
        """Send what this gateway knows of an endpoint's run that may have ended."""
        self._exchange.send_run_notice(addresses, notice)

    def send_request_limits(self) -> None:
        """Report a request limit that an endpoint has just named, changed or lifted."""
        self._exchange.send_request_limits()

    def _run(self) -> None:
        while self._is_open:
            try:
                due_ms = self._exchange.due_in_s() * 1000
                if due_ms > 0 and self._readable.poll(due_ms):
                    if self._exchange.member_count >= MIN_BATCHING_MEMBERS:
                        time.sleep(BATCH_DELAY_S)
                    self._receive_batch()
                self._exchange.tick()
            except Exception as error:
                # Without this thread the gateway would neither send nor receive state.
                log_event(Event.BACKGROUND_TASK_FAILED, task="reporter", error=repr(error)[:300])

    def _receive_batch(self) -> None:
        for _ in range(MAX_BATCH_SIZE):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log_event(Event.PEER_EXCHANGE_FAILED, reason=f"cannot receive: {error}")
                return
            self._exchange.receive(data)

    def _send(self, address: str, data: bytes) -> None:
        if address not in self._targets:
            target = _parse_target(address)
            self._targets.put(address, target)
            if target is None:
                reason = "expected an IPv4 address and a port"
                log_event(Event.PEER_EXCHANGE_FAILED, peer=address[:100], reason=reason)
        target = self._targets.get(address)
        if target is None:
            return
        try:
            self._socket.sendto(data, target)
        except OSError as error:
            log_event(Event.PEER_EXCHANGE_FAILED, peer=address, reason=f"cannot send: {error}")


def _parse_target(address: str) -> _Target | None:
    """Return the host and port of an address, ``None`` if it cannot get datagrams.

    Addresses come in datagrams too. Host names are not valid, because a look-up could block.
    """
    host, _, port_text = address.rpartition(":")
    try:
        port = int(port_text)
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return (host, port) if 0 < port <= MAX_PORT else None
