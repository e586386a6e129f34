"""What one gateway of a region does for all is done by few even while views are empty."""

from __future__ import annotations

import pytest

from .fleet_play import FleetPlay

KEY = "engine-1"
# A cold endpoint bears two senders at the most.
MAX_CHOSEN = 2


def chosen(play: FleetPlay) -> int:
    return sum(one.peers.is_chosen(KEY) for one in play.region("north"))


@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_all_start_at_once_are_not_all_chosen(seed: int) -> None:
    play = FleetPlay(seed)
    play.start_regions({"north": 8, "south": 3})
    most = [0]

    def look() -> None:
        most[0] = max(most[0], chosen(play))

    play.run(5.0, look)
    assert most[0] <= MAX_CHOSEN
    assert chosen(play) == 1


def test_gateway_that_is_alone_is_chosen_after_a_while() -> None:
    play = FleetPlay()
    play.start("north-0", "north", ["north-0:82"])
    play.run(4.0)
    assert chosen(play) == 1
