"""What gateways tell each other by datagrams."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_policy.far_parts import PartReading
from primroseferry_policy.prompt import PartId
from primroseferry_relay.membership.peer_report import PartNote
from primroseferry_relay.membership.peer_report import PeerAddress
from primroseferry_relay.membership.peer_report import decode_datagram
from primroseferry_relay.membership.peer_report import encode_part_note
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.membership.reporter import Reporter

from .recording_feed import RecordingFeed
from .test_peer_table import NORTH
from .test_peer_table import REPORT
from .test_peer_table import SOUTH

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RegionId
    from primroseferry_relay.membership.peer_report import PeerReport

READING = PartReading(EndpointId("e-1"), PartId("ab12"), 6_300)


@dataclass
class Gateway:
    """The reporting part of a gateway."""

    peers: PeerTable
    feed: RecordingFeed
    reporter: Reporter


def start_gateway(name: str, region: RegionId) -> Gateway:
    instance = InstanceId(name)
    peers = PeerTable(instance, region)
    feed = RecordingFeed()

    def report(sequence: int, known: tuple[str, ...]) -> PeerReport:
        own = PeerAddress("front", "hop", reporter.address)
        return replace(
            REPORT, instance=instance, region=region, address=own, sequence=sequence, known=known
        )

    reporter = Reporter("127.0.0.1", 0, peers, IncarnationId("one"), report, feed)
    return Gateway(peers, feed, reporter)


def wait_until(condition: Callable[[], bool]) -> None:
    limit_s = time.monotonic() + 8
    while not condition() and time.monotonic() < limit_s:
        time.sleep(0.02)
    assert condition()


def test_part_note_survives_its_encoding() -> None:
    note = PartNote(READING, is_passed_on=True)
    assert decode_datagram(encode_part_note(note)) == note


def test_reading_is_told_to_every_gateway_of_other_regions_once() -> None:
    north = [start_gateway("n-1", NORTH), start_gateway("n-2", NORTH)]
    south = [start_gateway("s-1", SOUTH), start_gateway("s-2", SOUTH)]
    everyone = [*north, *south]
    addresses = [gateway.reporter.address for gateway in everyone]
    for gateway in everyone:
        gateway.peers.add_candidates(addresses)
        gateway.reporter.start()
    wait_until(lambda: all(gateway.peers.live_count() == 4 for gateway in everyone))
    # The near gateways are those that lived at the last tick.
    time.sleep(0.3)
    north[0].reporter.tell_reading(READING)
    wait_until(lambda: all(gateway.feed.readings for gateway in south))
    time.sleep(0.2)
    assert [gateway.feed.readings for gateway in south] == [[READING], [READING]]
    assert [gateway.feed.readings for gateway in north] == [[], []]
    for gateway in everyone:
        gateway.reporter.stop()


def test_gathered_datagrams_are_all_heard() -> None:
    listener = start_gateway("n-1", NORTH)
    speaker = start_gateway("n-2", NORTH)
    listener.reporter.start()
    speaker.peers.add_candidates([listener.reporter.address])
    for _ in range(40):
        speaker.reporter.send_now()
    wait_until(lambda: len(listener.feed.reports) == 40)
    listener.reporter.stop()
