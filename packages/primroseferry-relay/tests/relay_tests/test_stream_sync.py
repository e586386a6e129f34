"""Origins of streams are found at other gateways: few and many of them, with loss and kills."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from primroseferry_relay.endpoints.software_version import UNKNOWN_VERSION
from primroseferry_relay.endpoints.software_version import VersionHash
from primroseferry_relay.membership.stream_sync import ANSWER_TIMEOUT_S
from primroseferry_relay.membership.stream_sync import ASK_AGAIN_S
from primroseferry_relay.streams.stream_origins import StreamKey
from primroseferry_relay.streams.stream_origins import StreamOrigin

from .fleet_simulation import FleetSimulation

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from .fleet_simulation import SimulatedGateway

V1, V2 = VersionHash(11), VersionHash(22)
FLEETS: Mapping[str, Mapping[str, int]] = {
    "2-gateways": {"north": 2},
    "7-gateways": {"north": 3, "south": 2, "west": 2},
    "195-gateways": {"north": 65, "south": 65, "west": 65},
}
STREAMS = 120
# Bytes a second of a gateway for control, by the plan for 400 gateways, and for these streams.
MAX_BYTES_PER_S = 9_000
STREAMS_PER_S = 24


def started(fleet: str, loss: float) -> FleetSimulation:
    simulation = FleetSimulation(seed=35, loss=loss)
    simulation.start_regions(FLEETS[fleet])
    simulation.run(6 if fleet == "195-gateways" else 4, step_s=0.1)
    return simulation


def begin(gateways: Sequence[SimulatedGateway], seed: int) -> list[tuple[StreamOrigin, str]]:
    """Begin streams at random gateways; return their origins and gateways."""
    rng = random.Random(seed)
    begun = []
    for _ in range(STREAMS):
        gateway = rng.choice(gateways)
        origin = StreamOrigin(StreamKey(rng.getrandbits(64)), rng.choice((V1, V2)))
        gateway.origins.note(origin)
        gateway.streams.share(origin)
        begun.append((origin, gateway.name))
    return begun


def found_share(
    simulation: FleetSimulation, begun: Sequence[tuple[StreamOrigin, str]], seed: int
) -> float:
    """Return the share of streams whose origin a gateway that runs and did not begin them finds."""
    rng = random.Random(seed)
    running = [gateway for gateway in simulation.gateways.values() if gateway.is_running]
    queries = []
    for origin, name in begun:
        asking = rng.choice([gateway for gateway in running if gateway.name != name])
        known = asking.origins.find(origin.key)
        queries.append((origin, asking, known, asking.streams.ask(origin.key)))
    simulation.run(ASK_AGAIN_S)
    for _, asking, _, (number, query) in queries:
        if not query.done.is_set():
            asking.streams.ask_again(number, query)
    simulation.run(ANSWER_TIMEOUT_S - ASK_AGAIN_S)
    answers = [(origin, known or query.origin) for origin, _, known, (_, query) in queries]
    assert all(answer is None or answer == origin for origin, answer in answers)
    return sum(answer is not None for _, answer in answers) / len(answers)


@pytest.mark.parametrize("loss", [0.0, 0.2], ids=["no-loss", "one-in-five-lost"])
@pytest.mark.parametrize("fleet", FLEETS)
def test_origins_are_found_after_the_gateway_that_began_the_stream_is_killed(
    fleet: str, loss: float
) -> None:
    simulation = started(fleet, loss)
    victims = [gateway for gateway in simulation.gateways.values()][-1:]
    begun = begin(victims, seed=1)
    simulation.run(0.5)
    for gateway in victims:
        simulation.stop(gateway.name)
    assert found_share(simulation, begun, seed=2) >= (0.99 if loss == 0 else 0.95)


@pytest.mark.parametrize("fleet", ["7-gateways", "195-gateways"])
def test_origins_are_found_after_a_region_is_lost(fleet: str) -> None:
    simulation = started(fleet, 0.05)
    begun = begin(simulation.region("south"), seed=3)
    simulation.run(0.5)
    for gateway in simulation.region("south"):
        simulation.stop(gateway.name)
    assert found_share(simulation, begun, seed=4) >= 0.75


@pytest.mark.parametrize("fleet", ["7-gateways", "195-gateways"])
def test_origins_are_found_after_a_third_of_the_gateways_is_killed(fleet: str) -> None:
    simulation = started(fleet, 0.05)
    gateways = list(simulation.gateways.values())
    begun = begin(gateways, seed=5)
    simulation.run(0.5)
    for gateway in gateways[::3]:
        simulation.stop(gateway.name)
    assert found_share(simulation, begun, seed=6) >= 0.75


def test_nothing_is_found_after_all_gateways_were_killed_and_nothing_is_guessed() -> None:
    simulation = started("7-gateways", 0.0)
    begun = begin(list(simulation.gateways.values()), seed=7)
    simulation.run(0.5)
    for gateway in list(simulation.gateways.values()):
        simulation.stop(gateway.name)
    simulation.start_regions({"later-north": 3, "later-south": 2})
    simulation.run(4, step_s=0.1)
    assert found_share(simulation, begun, seed=8) == 0


def test_origins_that_differ_are_unknown() -> None:
    simulation = started("2-gateways", 0.0)
    first, second = simulation.gateways.values()
    first.origins.note(StreamOrigin(StreamKey(5), V1))
    first.streams.share(StreamOrigin(StreamKey(5), V1))
    second.origins.note(StreamOrigin(StreamKey(5), V2))
    simulation.run(0.5)
    known = second.origins.find(StreamKey(5))
    assert known is not None
    assert known.version == UNKNOWN_VERSION


def test_question_about_a_stream_that_nobody_knows_is_answered_before_the_timeout() -> None:
    simulation = started("7-gateways", 0.0)
    gateway = simulation.region("north")[0]
    _, query = gateway.streams.ask(StreamKey(99))
    simulation.run(ASK_AGAIN_S)
    assert query.done.is_set()
    assert query.origin is None


def test_origins_stay_within_the_plan_for_control() -> None:
    simulation = started("195-gateways", 0.0)
    rng = random.Random(9)
    before_bytes = simulation.sent_bytes["north-40"]
    gateways = list(simulation.gateways.values())
    due: dict[str, float] = {gateway.name: rng.random() / STREAMS_PER_S for gateway in gateways}
    started_s = simulation.clock.now_s

    def begin_streams() -> None:
        for gateway in gateways:
            while due[gateway.name] <= simulation.clock.now_s - started_s:
                due[gateway.name] += 1 / STREAMS_PER_S
                gateway.streams.share(StreamOrigin(StreamKey(rng.getrandbits(64)), V1))

    simulation.run(2.0, begin_streams, step_s=0.05)
    bytes_per_s = (simulation.sent_bytes["north-40"] - before_bytes) / 2.0
    print(f"bytes a second with {STREAMS_PER_S} streams a second: {bytes_per_s:.0f}")
    assert bytes_per_s <= MAX_BYTES_PER_S
