"""Work assigned to one gateway of a region is done by few, even while peer tables are empty."""

from __future__ import annotations

import random

import pytest

from .fleet_simulation import FleetSimulation

KEY = "engine-1"
# A cold endpoint can serve at most two senders.
MAX_CHOSEN = 2


def chosen(fleet: FleetSimulation) -> int:
    return sum(gateway.peers.is_chosen(KEY) for gateway in fleet.region("north"))


@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_start_at_the_same_time_are_not_all_chosen(seed: int) -> None:
    fleet = FleetSimulation(seed)
    fleet.start_regions({"north": 8, "south": 3})
    max_chosen = [0]

    def record_chosen() -> None:
        max_chosen[0] = max(max_chosen[0], chosen(fleet))

    fleet.run(5.0, record_chosen)
    assert max_chosen[0] <= MAX_CHOSEN
    assert chosen(fleet) == 1


@pytest.mark.parametrize("seed", range(3))
def test_gateways_of_a_region_that_starts_again_one_after_another_are_not_all_chosen(
    seed: int,
) -> None:
    fleet = FleetSimulation(seed)
    fleet.start_regions({"north": 65, "south": 3})
    fleet.run(5.0)
    names = [gateway.name for gateway in fleet.region("north")]
    for name in names:
        fleet.stop(name)
    fleet.run(6.0)
    random.Random(seed).shuffle(names)
    max_chosen = 0
    seeds = ["north-0:82", "north-1:82", "south-0:82"]
    for name in names:
        fleet.start(name, "north", seeds, incarnation="two")
        fleet.run(0.01)
        max_chosen = max(max_chosen, chosen(fleet))
    for _ in range(400):
        fleet.run(0.01)
        max_chosen = max(max_chosen, chosen(fleet))
    assert max_chosen <= MAX_CHOSEN
    assert chosen(fleet) == 1


@pytest.mark.parametrize("gateways", [3, 65])
@pytest.mark.parametrize("seed", range(2))
def test_gateways_that_lost_each_other_are_not_all_chosen(seed: int, gateways: int) -> None:
    fleet = FleetSimulation(seed)
    fleet.start_regions({"north": gateways, "south": 3})
    fleet.run(5.0)
    fleet.is_cut = lambda sender, receiver: sender.startswith("north") or receiver.startswith(
        "north"
    )
    max_chosen = [0]

    def record_chosen() -> None:
        max_chosen[0] = max(max_chosen[0], chosen(fleet))

    # Rosters time out after 2 s.
    fleet.run(3.0)
    fleet.run(3.0, record_chosen)
    fleet.is_cut = lambda _sender, _receiver: False
    fleet.run(4.0, record_chosen)
    assert max_chosen[0] <= MAX_CHOSEN
    assert chosen(fleet) == 1


def test_gateway_that_is_left_alone_of_two_is_chosen() -> None:
    fleet = FleetSimulation()
    fleet.start_regions({"north": 2})
    fleet.run(5.0)
    fleet.stop("north-0")
    fleet.run(4.0)
    assert chosen(fleet) == 1


def test_only_gateway_of_a_region_is_chosen_after_a_while() -> None:
    fleet = FleetSimulation()
    fleet.start("north-0", "north", ["north-0:82"])
    fleet.run(4.0)
    assert chosen(fleet) == 1
