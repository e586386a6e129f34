"""Sends this gateway's report to the others and hears theirs, on one thread and one UDP port.

Gateways of the region hear each report, so that placement agrees on what endpoints have to do.
Gateways of other regions and addresses that never answered hear every third one. In a large fleet
each tick serves a part of the peers, in turn.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .peer_report import decode_report
from .peer_report import encode_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from .peer_report import PeerReport
    from .peer_table import PeerTable

TICK_S = 0.1
# Datagrams sent in one tick at most; a fleet with more peers is served in turns.
MAX_SENT_PER_TICK = 8
FAR_EVERY_TICKS = 3
MAX_DATAGRAM_BYTES = 60_000
KNOWN_SAMPLE = 4


class Reporter:
    """Exchanges reports until it is stopped."""

    def __init__(
        self,
        host: str,
        port: int,
        peers: PeerTable,
        own_report: Callable[[int, tuple[str, ...]], PeerReport],
        on_report: Callable[[PeerReport], None],
        on_tick: Callable[[], None],
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._peers = peers
        self._own_report = own_report
        self._on_report = on_report
        self._on_tick = on_tick
        self._sequence = 0
        self._tick = 0
        self._turn = 0
        self._random = random.Random()
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name="reporter", daemon=True)

    def start(self) -> None:
        """Start exchanging reports."""
        self._thread.start()

    def send_now(self) -> None:
        """Tell every peer at once, because something changed that they must know."""
        self._send(self._peers.report_addresses())

    def stop(self) -> None:
        """Stop exchanging reports."""
        self._is_open = False

    def _run(self) -> None:
        next_s = time.monotonic()
        while self._is_open:
            remaining_s = next_s - time.monotonic()
            if remaining_s > 0:
                self._receive(remaining_s)
                continue
            next_s = max(next_s + TICK_S, time.monotonic() + TICK_S / 2)
            self._on_tick()
            self._send(self._receivers())

    def _receive(self, timeout_s: float) -> None:
        self._socket.settimeout(max(0.001, timeout_s))
        try:
            datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        except OSError as error:
            log_event(Event.PEER_EXCHANGE_FAILED, reason=f"receive: {error}")
            time.sleep(0.01)
            return
        report = decode_report(datagram)
        if report is None:
            log_event(Event.PEER_EXCHANGE_FAILED, reason="a datagram cannot be read")
            return
        if self._peers.hear(report):
            self._on_report(report)

    def _receivers(self) -> list[str]:
        self._tick += 1
        near = {report.address.report for report in self._peers.ready_peers(self._peers.own_region)}
        everyone = [name for name in self._peers.report_addresses() if name != self.address]
        if self._tick % FAR_EVERY_TICKS == 0:
            chosen = everyone
        else:
            chosen = [name for name in everyone if name in near]
        if len(chosen) <= MAX_SENT_PER_TICK:
            return chosen
        start = self._turn % len(chosen)
        self._turn += MAX_SENT_PER_TICK
        return (chosen[start:] + chosen[:start])[:MAX_SENT_PER_TICK]

    def _send(self, receivers: list[str]) -> None:
        if not receivers:
            return
        self._sequence += 1
        known = self._peers.report_addresses()
        sample = self._random.sample(known, min(KNOWN_SAMPLE, len(known)))
        datagram = encode_report(self._own_report(self._sequence, tuple(sample)))
        for receiver in receivers:
            if receiver == self.address:
                continue
            host, _, port = receiver.rpartition(":")
            try:
                self._socket.sendto(datagram, (host, int(port)))
            except (OSError, ValueError) as error:
                log_event(Event.PEER_EXCHANGE_FAILED, peer=receiver, reason=f"send: {error}")
