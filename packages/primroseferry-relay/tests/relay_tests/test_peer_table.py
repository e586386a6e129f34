"""The peer table: live gateways according to the rosters of regions."""

from __future__ import annotations

from dataclasses import replace

from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import ServiceId
from primroseferry_policy.endpoint_loads import OpenWork
from primroseferry_relay.control.metadata_store import StorePosition
from primroseferry_relay.control.watch_duty import MAX_WATCH_AGE_MS
from primroseferry_relay.control.watch_duty import WATCHERS_PER_REGION
from primroseferry_relay.control.watch_duty import WatchDuty
from primroseferry_relay.membership.datagrams import RegionSummary
from primroseferry_relay.membership.peer import ControlStatus
from primroseferry_relay.membership.peer import GatewayState
from primroseferry_relay.membership.peer import Peer
from primroseferry_relay.membership.peer import ServiceSummary
from primroseferry_relay.membership.peer_table import LOCAL_CONFIRMATION_TIMEOUT_S
from primroseferry_relay.membership.peer_table import REMOTE_CONFIRMATION_TIMEOUT_S
from primroseferry_relay.membership.peer_table import PeerTable

from .peer_samples import NORTH
from .peer_samples import PEER
from .peer_samples import SOUTH
from .peer_samples import Clock
from .peer_samples import peer_of
from .peer_samples import roster_of

FRESH = ControlStatus(77, 120.0, ("10.0.0.2:81",))
SUMMARY = ServiceSummary(2, 64, OpenWork(1, 2, 3), 1.5, 9_000)


def test_unconfirmed_roster_times_out() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), NORTH, clock)
    roster = roster_of(NORTH, PEER)
    table.put_roster(roster)
    assert table.ready_in(NORTH) == ["g-2"]
    clock.now_s += LOCAL_CONFIRMATION_TIMEOUT_S * 0.8
    assert table.confirm(NORTH, roster.version, FRESH)
    clock.now_s += LOCAL_CONFIRMATION_TIMEOUT_S * 0.8
    assert table.ready_in(NORTH) == ["g-2"]
    clock.now_s += LOCAL_CONFIRMATION_TIMEOUT_S * 0.3
    assert table.expire() == [NORTH]
    assert table.ready_in(NORTH) == []
    assert table.live() == []
    table.put_roster(roster)
    assert table.live_count() == 2


def test_version_of_another_roster_does_not_confirm_this_one() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), NORTH, clock)
    table.put_roster(roster_of(NORTH, PEER))
    other = roster_of(NORTH, replace(PEER, state=GatewayState.DRAINING))
    assert not table.confirm(NORTH, other.version, FRESH)
    clock.now_s += LOCAL_CONFIRMATION_TIMEOUT_S + 0.1
    assert table.live() == []


def test_gateway_that_left_the_roster_is_no_longer_listed() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    table.put_roster(roster_of(NORTH, PEER, peer_of("g-3", NORTH)))
    table.put_roster(roster_of(NORTH, PEER))
    assert [peer.instance for peer in table.live()] == ["g-2"]


def test_draining_peer_is_not_ready_but_listed_as_draining() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    table.put_roster(roster_of(NORTH, replace(PEER, state=GatewayState.DRAINING)))
    assert table.ready_in(NORTH) == []
    assert table.draining_fronts(NORTH) == ["10.0.0.2:80"]


def test_gateway_is_not_its_own_peer() -> None:
    table = PeerTable(PEER.instance, NORTH)
    table.put_roster(roster_of(NORTH, PEER))
    assert table.live() == []


def test_summary_confirms_a_known_roster_and_reports_an_unknown_one() -> None:
    clock = Clock()
    table = PeerTable(InstanceId("g-1"), SOUTH, clock)
    roster = roster_of(NORTH, PEER)
    summary = RegionSummary(
        NORTH, PEER.address.report, roster.version, FRESH, {ServiceId("model"): SUMMARY}
    )
    assert not table.put_summary(summary)
    table.put_roster(roster)
    assert table.put_summary(summary)
    assert table.summary(NORTH, ServiceId("model")) == SUMMARY
    assert table.peers_ahead_of(StorePosition(0, 76)) == ["10.0.0.2:81"]
    assert table.peers_ahead_of(StorePosition(0, 77)) == []
    assert table.regions() == {NORTH}
    clock.now_s += REMOTE_CONFIRMATION_TIMEOUT_S + 0.1
    assert table.regions() == frozenset()
    assert table.summary(NORTH, ServiceId("model")) is None
    assert table.was_confirmed(NORTH, 15.0)


def test_newer_control_items_come_from_the_own_region_first() -> None:
    table = PeerTable(InstanceId("g-1"), NORTH)
    local, remote = roster_of(NORTH, PEER), roster_of(SOUTH, peer_of("s-1", SOUTH))
    table.put_roster(local)
    table.put_roster(remote)
    table.confirm(NORTH, local.version, ControlStatus(5, 0.0, ("local:81",)))
    table.confirm(SOUTH, remote.version, ControlStatus(9, 0.0, ("remote:81",)))
    assert table.peers_ahead_of(StorePosition(0, 4)) == ["local:81"]
    assert table.peers_ahead_of(StorePosition(0, 5)) == ["remote:81"]


def _on_duty(peers: list[Peer], store_age_ms: float) -> set[str]:
    """Return the gateways of a region that consider themselves on duty."""
    on_duty = set()
    for own in peers:
        table = PeerTable(own.instance, own.region)
        roster = roster_of(own.region, *peers)
        table.put_roster(roster)
        table.confirm(own.region, roster.version, ControlStatus(1, store_age_ms))
        if WatchDuty(table).is_on_duty():
            on_duty.add(str(own.instance))
    return on_duty


def test_watch_duty_is_assigned_to_a_few_gateways_of_a_region() -> None:
    peers = [peer_of(f"g-{number}", NORTH) for number in range(20)]
    assert len(_on_duty(peers, 500.0)) == WATCHERS_PER_REGION


def test_others_try_in_turns_when_no_watcher_reaches_the_store() -> None:
    """Without turns, the entire fleet would send requests to a store that is down."""
    peers = [peer_of(f"g-{number}", NORTH) for number in range(20)]
    tried = set()
    for second in range(12):
        on_duty = _on_duty(peers, MAX_WATCH_AGE_MS + 100 + second * 1_000)
        assert len(on_duty) <= 2 * WATCHERS_PER_REGION
        tried |= on_duty
    assert len(tried) == 20


def test_gateway_without_known_peers_is_on_duty() -> None:
    assert WatchDuty(PeerTable(InstanceId("g-1"), NORTH)).is_on_duty()
