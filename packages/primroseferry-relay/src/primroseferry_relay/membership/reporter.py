"""Sends this gateway's report to the others and hears theirs, on one thread and one UDP port.

Gateways of the region hear of each request that is given to an endpoint at once, in a note of its
own, so that placement agrees on what endpoints have to do. One gateway of each other region hears
now and then which endpoint was given a shared part of prompts, and passes that on. Whole reports
correct what notes were lost and tell what ended; they go to a bounded number of gateways in each
tick, in turn, near ones more often than far ones.
"""

from __future__ import annotations

import math
import random
import select
import socket
import threading
import time
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .peer_report import Blame
from .peer_report import GatewayState
from .peer_report import LeavingNote
from .peer_report import PartNote
from .peer_report import PeerReport
from .peer_report import PlacementNote
from .peer_report import decode_datagram
from .peer_report import encode_blame
from .peer_report import encode_leaving
from .peer_report import encode_note
from .peer_report import encode_part_note
from .peer_report import encode_report

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import IncarnationId
    from primroseferry_policy.far_parts import PartReading

    from ..endpoints.catalog import EndpointRun
    from ..relay_policy import Placed
    from .peer_table import PeerTable

TICK_S = 0.1
# Reports sent to gateways of the region in one tick, and to all others in every third one.
NEAR_PER_TICK = 4
FAR_PER_TURN = 5
FAR_EVERY_TICKS = 3
MAX_DATAGRAM_BYTES = 60_000
KNOWN_SAMPLE = 4
# How long datagrams are gathered before they are taken in, for each gateway of the region, and at
# the most. In a fleet of a hundred gateways some hundred arrive each second, and a wake-up for each
# costs far more than its content. Reading a prompt takes 100 ms, so a note as old as the longest
# pause still tells of it in time.
GATHER_S_PER_GATEWAY = 0.0007
MAX_GATHER_S = 0.02
# A tick is not kept waiting by a flood of datagrams.
MAX_GATHERED = 256


class ReportFeed(Protocol):
    """Takes in what other gateways tell."""

    def hear(self, report: PeerReport) -> None:
        """Take in a whole report."""

    def hear_note(self, note: PlacementNote) -> None:
        """Take in a request that a gateway of this region gave to an endpoint."""

    def hear_blame(self, blame: Blame) -> None:
        """Take in a request that an endpoint died of."""

    def hear_leaving(self, run: EndpointRun) -> None:
        """Take in an endpoint that said that it leaves."""

    def hear_reading(self, reading: PartReading) -> None:
        """Take in which engine of another region was given shared parts."""

    def tick(self) -> None:
        """Do what is due many times a second."""


class Reporter:
    """Exchanges reports until it is stopped."""

    def __init__(
        self,
        host: str,
        port: int,
        peers: PeerTable,
        incarnation: IncarnationId,
        own_report: Callable[[int, tuple[str, ...]], PeerReport],
        feed: ReportFeed,
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._peers = peers
        self._incarnation = incarnation
        self._own_report = own_report
        self._feed = feed
        self._sequence = 0
        self._tick = 0
        self._near_turn = _Turn(NEAR_PER_TICK)
        self._far_turn = _Turn(FAR_PER_TURN)
        self._near: list[tuple[str, int]] = []
        self._random = random.Random()
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name="reporter", daemon=True)

    def start(self) -> None:
        """Start exchanging reports."""
        self._thread.start()

    def send_now(self) -> None:
        """Tell every peer at once, because something changed that they must know."""
        self._send(self._peers.report_addresses(), self._next_report())

    def tell_placed(self, placed: Placed) -> None:
        """Tell the region's gateways of a request that an endpoint was just given."""
        if not self._near:
            return
        note = PlacementNote(self._peers.own_instance, self._incarnation, self._sequence, placed)
        datagram = encode_note(note)
        for address in self._near:
            self._send_to(address, datagram)

    def tell_blame(self, blame: Blame) -> None:
        """Tell every gateway of a request that an endpoint died of, twice: datagrams get lost."""
        datagram = encode_blame(blame)
        for address in self._peers.report_addresses() * 2:
            if address != self.address:
                self._send_to(_host_and_port(address), datagram)

    def tell_leaving(self, run: EndpointRun) -> None:
        """Tell the region's gateways of an endpoint that leaves, twice: datagrams get lost."""
        datagram = encode_leaving(LeavingNote(run))
        for address in self._near * 2:
            self._send_to(address, datagram)

    def tell_reading(self, reading: PartReading) -> None:
        """Tell one gateway of each other region who was given shared parts; it passes that on."""
        datagram = encode_part_note(PartNote(reading, is_passed_on=False))
        for region in self._peers.regions():
            peers = self._peers.ready_peers(region)
            if peers:
                address = self._random.choice(peers).address.report
                self._send_to(_host_and_port(address), datagram)

    def _hear_part_note(self, note: PartNote) -> None:
        self._feed.hear_reading(note.reading)
        if note.is_passed_on:
            return
        datagram = encode_part_note(PartNote(note.reading, is_passed_on=True))
        for address in self._near:
            self._send_to(address, datagram)

    def stop(self) -> None:
        """Stop exchanging reports."""
        self._is_open = False

    def _run(self) -> None:
        next_s = time.monotonic()
        while self._is_open:
            remaining_s = next_s - time.monotonic()
            try:
                if remaining_s <= 0:
                    next_s = max(next_s + TICK_S, time.monotonic() + TICK_S / 2)
                    self._feed.tick()
                    self._send_in_turn()
                elif self._readable.poll(remaining_s * 1000):
                    time.sleep(min(MAX_GATHER_S, len(self._near) * GATHER_S_PER_GATEWAY))
                    self._receive_gathered()
            except Exception as error:
                # A gateway without this thread would neither hear nor be heard.
                log_event(Event.BACKGROUND_FAILED, task="reporter", error=repr(error)[:300])

    def _receive_gathered(self) -> None:
        for _ in range(MAX_GATHERED):
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                log_event(Event.PEER_EXCHANGE_FAILED, reason=f"receive: {error}")
                return
            self._take(datagram)

    def _take(self, datagram: bytes) -> None:
        match decode_datagram(datagram):
            case PeerReport() as report:
                if self._peers.hear(report):
                    self._feed.hear(report)
            case PlacementNote() as note:
                if self._peers.hear_note(note):
                    self._feed.hear_note(note)
            case Blame() as blame:
                self._feed.hear_blame(blame)
            case LeavingNote(run):
                self._feed.hear_leaving(run)
            case PartNote() as note:
                self._hear_part_note(note)
            case None:
                log_event(Event.PEER_EXCHANGE_FAILED, reason="a datagram cannot be read")

    def _send_in_turn(self) -> None:
        self._tick += 1
        near = sorted(
            report.address.report
            for report in self._peers.live()
            if report.region == self._peers.own_region
        )
        self._near = [_host_and_port(address) for address in near]
        near_names = set(near)
        far = [
            name
            for name in self._peers.report_addresses()
            if name != self.address and name not in near_names
        ]
        self._peers.set_turns(
            self._near_turn.period(len(near)) * TICK_S,
            self._far_turn.period(len(far)) * TICK_S * FAR_EVERY_TICKS,
        )
        # Loads are of use within the region only, summaries only outside.
        self._send(self._near_turn.take(near), replace(self._next_report(), summaries={}))
        is_starting = self._peers.own_state is GatewayState.STARTING
        if is_starting or self._tick % FAR_EVERY_TICKS == 0:
            self._send(self._far_turn.take(far), replace(self._next_report(), loads={}))

    def _next_report(self) -> PeerReport:
        self._sequence += 1
        known = self._peers.report_addresses()
        sample = self._random.sample(known, min(KNOWN_SAMPLE, len(known)))
        return self._own_report(self._sequence, tuple(sample))

    def _send(self, receivers: list[str], report: PeerReport) -> None:
        datagram = encode_report(report)
        for receiver in receivers:
            if receiver != self.address:
                self._send_to(_host_and_port(receiver), datagram)

    def _send_to(self, address: tuple[str, int], datagram: bytes) -> None:
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            log_event(Event.PEER_EXCHANGE_FAILED, peer=address[0], reason=f"send: {error}")


class _Turn:
    """Chooses the next few of a list, each in its turn."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._start = 0

    def period(self, count: int) -> int:
        """Return after how many calls each of ``count`` had its turn."""
        return max(1, math.ceil(count / self._size))

    def take(self, names: list[str]) -> list[str]:
        """Return the next ones."""
        if len(names) <= self._size:
            return list(names)
        start = self._start % len(names)
        self._start = start + self._size
        return (names[start:] + names[:start])[: self._size]


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port) if port.isdecimal() else 0
