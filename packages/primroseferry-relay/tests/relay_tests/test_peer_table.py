from __future__ import annotations

from dataclasses import replace

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.control.watch_duty import WATCHERS_PER_REGION
from primroseferry_relay.control.watch_duty import WatchDuty
from primroseferry_relay.membership.peer_report import GatewayState
from primroseferry_relay.membership.peer_report import PeerAddress
from primroseferry_relay.membership.peer_report import PeerReport
from primroseferry_relay.membership.peer_report import PlacementNote
from primroseferry_relay.membership.peer_report import ServiceSummary
from primroseferry_relay.membership.peer_report import decode_datagram
from primroseferry_relay.membership.peer_report import encode_note
from primroseferry_relay.membership.peer_report import encode_report
from primroseferry_relay.membership.peer_table import LIVE_S
from primroseferry_relay.membership.peer_table import PeerTable
from primroseferry_relay.relay_policy import Placed

NORTH = RegionId("north")
SOUTH = RegionId("south")
REPORT = PeerReport(
    InstanceId("g-2"),
    IncarnationId("one"),
    5,
    NORTH,
    FailureDomainId("north-a"),
    PeerAddress("10.0.0.2:80", "10.0.0.2:81", "10.0.0.2:82"),
    GatewayState.READY,
    3,
    77,
    120.0,
    {EndpointId("e-1"): OpenWork(2, 300, 900)},
    {ServiceId("model"): ServiceSummary(2, 64, OpenWork(1, 2, 3), 1.5, 9_000)},
    ("10.0.0.3:82",),
)


class Clock:
    def __init__(self) -> None:
        self.now_s = 10.0

    def __call__(self) -> float:
        return self.now_s


def test_report_survives_its_encoding() -> None:
    assert decode_datagram(encode_report(REPORT)) == REPORT


NOTE = PlacementNote(
    REPORT.instance,
    REPORT.incarnation,
    5,
    Placed(EndpointId("e-1"), OpenWork(1, 300, 900), (PromptPart(PartId("ab12"), 40),)),
)


def test_note_survives_its_encoding() -> None:
    assert decode_datagram(encode_note(NOTE)) == NOTE


def test_note_counts_until_a_newer_report() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    assert not table.hear_note(NOTE)
    table.hear(REPORT)
    assert table.hear_note(NOTE)
    table.hear(replace(REPORT, sequence=6))
    assert not table.hear_note(NOTE)


def test_note_is_a_sign_of_life() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), NORTH, clock)
    table.hear(REPORT)
    clock.now_s += LIVE_S * 0.8
    table.hear_note(NOTE)
    clock.now_s += LIVE_S * 0.8
    assert table.ready_in(NORTH) == ["g-2"]


def test_peers_that_report_in_turns_are_given_more_time() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), NORTH, clock)
    table.set_turns(near_turn_s=1.0, far_turn_s=0.1)
    table.hear(REPORT)
    clock.now_s += 2.9
    assert table.expire() == []
    clock.now_s += 0.2
    assert table.expire() == ["g-2"]


def test_newest_report_of_a_region_is_the_one_heard_last() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), SOUTH, clock)
    table.hear(REPORT)
    clock.now_s += 0.1
    table.hear(replace(REPORT, instance=InstanceId("g-3")))
    newest = table.newest_ready(NORTH)
    assert newest is not None
    assert newest.instance == "g-3"


def test_datagram_that_is_no_report_is_refused() -> None:
    for datagram in (b"", b"\xff", b"[]", b"{}", encode_report(REPORT)[:-9]):
        assert decode_datagram(datagram) is None


def test_silent_peer_is_lost_and_heard_again() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), NORTH, clock)
    assert table.hear(REPORT)
    assert table.ready_in(NORTH) == ["g-2"]
    clock.now_s += LIVE_S + 0.1
    assert table.expire() == ["g-2"]
    assert table.ready_in(NORTH) == []
    assert table.hear(replace(REPORT, sequence=6))
    assert table.live_count() == 2


def test_older_report_of_an_incarnation_is_refused() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    assert table.hear(REPORT)
    assert not table.hear(replace(REPORT, sequence=4, state=GatewayState.DRAINING))
    assert table.ready_in(NORTH) == ["g-2"]


def test_new_incarnation_starts_its_sequence_anew() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    table.hear(REPORT)
    assert table.hear(replace(REPORT, incarnation=IncarnationId("two"), sequence=1))


def test_draining_peer_is_not_ready_but_named_as_draining() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    table.hear(replace(REPORT, state=GatewayState.DRAINING))
    assert table.ready_in(NORTH) == []
    assert table.draining_fronts(NORTH) == ["10.0.0.2:80"]


def test_own_report_is_not_a_peer() -> None:
    table = PeerTable(REPORT.instance, NORTH)
    assert not table.hear(REPORT)
    assert table.live() == []


def test_report_names_further_addresses() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    table.hear(REPORT)
    assert table.report_addresses() == ["10.0.0.2:82", "10.0.0.3:82"]


def _duties(reports: list[PeerReport]) -> int:
    """Return how many of the reporting gateways are on duty, each by its own view."""
    on_duty = 0
    for own in reports:
        table = PeerTable(own.instance, own.region)
        for report in reports:
            table.hear(report)
        on_duty += WatchDuty(table).is_on_duty()
    return on_duty


def test_watch_duty_falls_to_a_few_gateways_of_each_region() -> None:
    reports = [
        replace(REPORT, instance=InstanceId(f"g-{number}"), region=region)
        for region in (NORTH, SOUTH)
        for number in range(20 * (region == SOUTH), 20 + 20 * (region == SOUTH))
    ]
    assert _duties(reports) == 2 * WATCHERS_PER_REGION


def test_every_gateway_watches_when_no_watcher_reaches_the_store() -> None:
    reports = [
        replace(REPORT, instance=InstanceId(f"g-{number}"), store_age_ms=9_000.0)
        for number in range(6)
    ]
    assert _duties(reports) == 6
