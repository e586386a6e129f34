"""What is known of requests that crash endpoints outlives the gateways that saw it."""

from __future__ import annotations

import pytest
from primroseferry_core.ids import Fingerprint

from .fleet_play import FleetPlay

DEADLY = Fingerprint("deadly")
DEATHS = ("engine-1/1@100", "engine-2/1@110")
REGIONS = {"north": 4, "south": 4}


def settled_play(seed: int = 1, loss: float = 0.002) -> FleetPlay:
    play = FleetPlay(seed, loss)
    play.start_regions(REGIONS)
    play.run(4.0)
    return play


def ignorant(play: FleetPlay) -> list[str]:
    return [
        one.name
        for one in play.gateways.values()
        if one.is_running and not one.feed.quarantine.is_quarantined(DEADLY)
    ]


def blame_twice(play: FleetPlay) -> None:
    for name, death in zip(("north-3", "south-2"), DEATHS, strict=True):
        play.blame(play.gateways[name], DEADLY, death)


def test_gateway_that_started_after_the_crashes_knows_of_them() -> None:
    play = settled_play()
    blame_twice(play)
    play.run(0.5)
    play.start("north-9", "north", ["north-0:82"])
    play.run(2.0)
    assert ignorant(play) == []


def test_gateways_restarted_in_turn_know_of_the_crashes() -> None:
    play = settled_play()
    blame_twice(play)
    play.run(0.5)
    for name in list(play.gateways):
        play.stop(name)
        play.run(0.5)
        region = name.partition("-")[0]
        play.start(name, region, ["north-0:82", "south-0:82"], incarnation="two")
        play.run(2.5)
    assert ignorant(play) == []


@pytest.mark.parametrize("cut", ["north-1", "south"])
def test_gateways_that_were_cut_off_know_of_the_crashes_after_the_cut(cut: str) -> None:
    play = settled_play()
    play.is_cut = lambda sender, receiver: sender.startswith(cut) != receiver.startswith(cut)
    play.run(4.0)
    blame_twice(play)
    play.run(1.0)
    play.is_cut = lambda _sender, _receiver: False
    play.run(5.0)
    assert ignorant(play) == []


@pytest.mark.parametrize("seed", range(5))
def test_lost_datagrams_do_not_hide_crashes(seed: int) -> None:
    play = settled_play(seed)
    play.is_cut = lambda _sender, _receiver: True
    blame_twice(play)
    play.is_cut = lambda _sender, _receiver: False
    play.run(2.0)
    assert ignorant(play) == []


def test_end_of_an_engine_is_known_to_a_large_fleet_at_a_bounded_cost() -> None:
    """An engine that ends with 64 requests: all gateways hold all of it, and then are quiet."""
    play = FleetPlay(seed=3, loss=0.02)
    play.start_regions(dict.fromkeys(("north", "south", "east"), 40))
    play.run(4.0)
    for counter in (play.sent, play.sent_bytes, play.kinds):
        counter.clear()
    speakers = play.region("north")
    for number in range(64):
        name = Fingerprint(f"request-{number}")
        play.blame(speakers[number % 40], name, "engine-1/1@100")
    play.run(2.5)
    versions = {one.feed.quarantine.version for one in play.gateways.values()}
    assert len(versions) == 1
    assert all(len(one.feed.quarantine.points()) == 64 * 8 for one in play.gateways.values())
    for counter in (play.sent, play.sent_bytes, play.kinds):
        counter.clear()
    play.run(2.0)
    assert play.kinds[10] == play.kinds[11] == 0
