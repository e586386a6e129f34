"""Blames for crashes reach all gateways and are kept when the gateways that sent them stop."""

from __future__ import annotations

import pytest
from primroseferry_core.ids import Fingerprint

from .fleet_simulation import FleetSimulation

CRASHING = Fingerprint("deadly")
DEATHS = ("engine-1/1@100", "engine-2/1@110")
REGIONS = {"north": 4, "south": 4}


def settled_fleet(seed: int = 1, loss: float = 0.002) -> FleetSimulation:
    fleet = FleetSimulation(seed, loss)
    fleet.start_regions(REGIONS)
    fleet.run(4.0)
    return fleet


def unaware_gateways(fleet: FleetSimulation) -> list[str]:
    return [
        gateway.name
        for gateway in fleet.gateways.values()
        if gateway.is_running and not gateway.feed.quarantine.is_quarantined(CRASHING)
    ]


def send_two_blames(fleet: FleetSimulation) -> None:
    for name, death in zip(("north-3", "south-2"), DEATHS, strict=True):
        fleet.blame(fleet.gateways[name], CRASHING, death)


def test_gateway_that_started_after_the_crashes_receives_the_blames() -> None:
    fleet = settled_fleet()
    send_two_blames(fleet)
    fleet.run(0.5)
    fleet.start("north-9", "north", ["north-0:82"])
    fleet.run(2.0)
    assert unaware_gateways(fleet) == []


def test_gateways_restarted_in_turn_receive_the_blames() -> None:
    fleet = settled_fleet()
    send_two_blames(fleet)
    fleet.run(0.5)
    for name in list(fleet.gateways):
        fleet.stop(name)
        fleet.run(0.5)
        region = name.partition("-")[0]
        fleet.start(name, region, ["north-0:82", "south-0:82"], incarnation="two")
        fleet.run(2.5)
    assert unaware_gateways(fleet) == []


@pytest.mark.parametrize("cut", ["north-1", "south"])
def test_disconnected_gateways_receive_the_blames_after_reconnecting(cut: str) -> None:
    fleet = settled_fleet()
    fleet.is_cut = lambda sender, receiver: sender.startswith(cut) != receiver.startswith(cut)
    fleet.run(4.0)
    send_two_blames(fleet)
    fleet.run(1.0)
    fleet.is_cut = lambda _sender, _receiver: False
    fleet.run(5.0)
    assert unaware_gateways(fleet) == []


@pytest.mark.parametrize("seed", range(5))
def test_blames_arrive_although_their_datagrams_are_lost(seed: int) -> None:
    fleet = settled_fleet(seed)
    fleet.is_cut = lambda _sender, _receiver: True
    send_two_blames(fleet)
    fleet.is_cut = lambda _sender, _receiver: False
    fleet.run(2.0)
    assert unaware_gateways(fleet) == []


def test_engine_crash_is_known_to_a_large_fleet_at_a_bounded_cost() -> None:
    """An engine crashes with 64 requests: all gateways receive all blames, then sync stops."""
    fleet = FleetSimulation(seed=3, loss=0.02)
    fleet.start_regions(dict.fromkeys(("north", "south", "east"), 40))
    fleet.run(4.0)
    for counter in (fleet.sent, fleet.sent_bytes, fleet.kinds):
        counter.clear()
    senders = fleet.region("north")
    for number in range(64):
        name = Fingerprint(f"request-{number}")
        fleet.blame(senders[number % 40], name, "engine-1/1@100")
    fleet.run(2.5)
    versions = {gateway.feed.quarantine.version for gateway in fleet.gateways.values()}
    assert len(versions) == 1
    assert all(
        len(gateway.feed.quarantine.content_hashes()) == 64 * 8
        for gateway in fleet.gateways.values()
    )
    for counter in (fleet.sent, fleet.sent_bytes, fleet.kinds):
        counter.clear()
    fleet.run(2.0)
    assert fleet.kinds[10] == fleet.kinds[11] == 0
