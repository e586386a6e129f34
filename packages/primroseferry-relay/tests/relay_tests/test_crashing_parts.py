"""A part of prompts that crashes engines is held back; prompts that share others are served."""

from __future__ import annotations

import random

import pytest

from .crashing_part_world import ALLOWED_LATE_ARRIVALS
from .crashing_part_world import CONTACT_S
from .crashing_part_world import CRASHES
from .crashing_part_world import CrashingPartWorld
from .crashing_part_world import Prompt

BAD = "bad"
FIRST_PARTS = 4
SECOND_PARTS = 40
CALM_S = 6.0
CRASHING_S = 30.0
FLEETS = {
    "one region": ({"north": 2}, 4),
    "two regions": ({"north": 4, "south": 3}, 4),
}


def sound_prompt(world: CrashingPartWorld) -> Prompt:
    """Return a prompt of a first part, a second part and, not given, a last part of its own."""
    first = world.random.randrange(FIRST_PARTS)
    return Prompt((f"first-{first}", f"second-{world.random.randrange(SECOND_PARTS)}"))


def bad_prompt(world: CrashingPartWorld) -> Prompt:
    return Prompt((f"first-{world.random.randrange(FIRST_PARTS)}", BAD), BAD)


def play(
    world: CrashingPartWorld,
    sound_per_s: float = 20.0,
    bad_per_s: float = 4.0,
    calm_s: float = CALM_S,
    crashing_s: float = CRASHING_S,
) -> None:
    """Let sound requests come, then bad ones too."""
    world.senders = [(lambda: sound_prompt(world), sound_per_s)]
    world.run(calm_s)
    world.senders.append((lambda: bad_prompt(world), bad_per_s))
    world.run(crashing_s)


def assert_rules_kept(
    world: CrashingPartWorld, started_s: float, parts: tuple[str, ...], calm_s: float = CALM_S
) -> None:
    """Check the two rules on requests that share a part, as the users' pages state them."""
    for part in parts:
        assert world.late_arrivals(part) <= ALLOWED_LATE_ARRIVALS
        crashes = [at_s for at_s, crashing in world.crashes if crashing == part]
        counted_from_s = crashes[:CRASHES][-1] + 2 * CONTACT_S
        before = world.begun_share(started_s, started_s + calm_s)
        assert world.begun_share(counted_from_s, world.now_s) >= before / 2


@pytest.mark.parametrize("has_begun", [True, False], ids=["amid", "before"])
@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seed", range(4))
def test_part_that_crashes_engines_stops_reaching_them(
    fleet: str, has_begun: bool, seed: int
) -> None:
    world = CrashingPartWorld(*FLEETS[fleet], seed, has_begun=has_begun)
    started_s = world.now_s
    play(world)
    assert_rules_kept(world, started_s, (BAD,))


def test_part_that_crashes_engines_stops_reaching_them_in_a_large_fleet() -> None:
    world = CrashingPartWorld(dict.fromkeys(("north", "south", "east"), 65), 60, 5, loss=0.02)
    started_s = world.now_s
    play(world, sound_per_s=60.0, bad_per_s=20.0, calm_s=2.0, crashing_s=14.0)
    assert_rules_kept(world, started_s, (BAD,), calm_s=2.0)


@pytest.mark.parametrize("bad_per_s", [0.2, 1.0, 30.0])
def test_part_that_comes_seldom_or_often_stops_reaching_engines(bad_per_s: float) -> None:
    world = CrashingPartWorld(*FLEETS["two regions"], seed=7)
    started_s = world.now_s
    play(world, bad_per_s=bad_per_s)
    world.run(CRASHING_S)
    assert_rules_kept(world, started_s, (BAD,))


def test_first_part_that_crashes_engines_stops_reaching_them() -> None:
    world = CrashingPartWorld(*FLEETS["two regions"], seed=8)
    started_s = world.now_s
    world.senders = [(lambda: sound_prompt(world), 20.0)]
    world.run(CALM_S)

    def bad_first() -> Prompt:
        return Prompt((BAD, f"second-{world.random.randrange(SECOND_PARTS)}"), BAD)

    world.senders.append((bad_first, 4.0))
    world.run(CRASHING_S)
    assert_rules_kept(world, started_s, (BAD,))


@pytest.mark.parametrize("seed", range(3))
def test_two_parts_that_crash_engines_at_the_same_time_stop_reaching_them(seed: int) -> None:
    world = CrashingPartWorld(*FLEETS["two regions"], seed)
    started_s = world.now_s
    world.senders = [(lambda: sound_prompt(world), 20.0)]
    world.run(CALM_S)

    def either() -> Prompt:
        part = world.random.choice(("bad-1", "bad-2"))
        return Prompt((f"first-{world.random.randrange(FIRST_PARTS)}", part), part)

    world.senders.append((either, 4.0))
    world.run(CRASHING_S)
    assert_rules_kept(world, started_s, ("bad-1", "bad-2"))


@pytest.mark.parametrize("seed", range(3))
def test_gateways_restarted_frozen_and_cut_learn_which_part_is_held(seed: int) -> None:
    world = CrashingPartWorld(*FLEETS["two regions"], seed, loss=0.05)
    started_s = world.now_s
    play(world)
    for name in ("north-0", "south-1", "north-2", "south-0"):
        world.restart([name])
        world.run(4.0)
    world.set_frozen("north-1", True)
    world.run(8.0)
    world.set_frozen("north-1", False)
    world.set_cut(["south-2"], True)
    world.run(8.0)
    world.set_cut(["south-2"], False)
    world.run(15.0)
    assert_rules_kept(world, started_s, (BAD,))


@pytest.mark.parametrize("seed", range(3))
def test_engines_that_crash_for_reasons_of_their_own_do_not_hold_a_part(seed: int) -> None:
    """Half of the engines end at once, then one every other second."""
    world = CrashingPartWorld(*FLEETS["two regions"], seed)
    started_s = world.now_s
    world.senders = [(lambda: sound_prompt(world), 20.0)]
    world.run(CALM_S)
    for engine in world.engines[:2]:
        world.crash_engine(engine)
    draw = random.Random(seed)
    for _ in range(8):
        world.run(2.0)
        up = [engine for engine in world.engines if engine.is_up]
        if len(up) > 1:
            world.crash_engine(draw.choice(up))
    assert world.begun_share(started_s + CALM_S, world.now_s) >= 0.95


def test_sound_part_that_all_engines_took_down_is_served_again_soon() -> None:
    """All engines end at once, three times in six seconds, under the same few parts."""
    world = CrashingPartWorld(*FLEETS["one region"], seed=2)
    world.senders = [(lambda: Prompt(("first-0", "second-0")), 10.0)]
    world.run(CALM_S)
    for _ in range(3):
        for engine in world.engines:
            if engine.is_up:
                world.crash_engine(engine)
        world.run(3.5)
    world.run(10.0)
    from_s = world.now_s
    world.run(5.0)
    assert world.begun_share(from_s, world.now_s) >= 0.95
