"""The limits that endpoints name, and how gateways agree on them."""

from __future__ import annotations

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_relay.endpoints.endpoint import EndpointRun
from primroseferry_relay.endpoints.request_limits import LIFT_AFTER_S
from primroseferry_relay.endpoints.request_limits import RAMP_STEP_S
from primroseferry_relay.endpoints.request_limits import RAMP_STEPS
from primroseferry_relay.endpoints.request_limits import LimitObservation
from primroseferry_relay.endpoints.request_limits import ObservationId
from primroseferry_relay.endpoints.request_limits import RequestLimits

from .fleet_simulation import Clock

RAMP_S = RAMP_STEPS * RAMP_STEP_S
RUN = EndpointRun(EndpointId("e-0"), 1, "10.0.0.1:80")
NEXT_RUN = EndpointRun(EndpointId("e-0"), 2, "10.0.0.1:80")


def test_newest_named_limit_is_in_force() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    assert limits.note_answer(RUN, 4.0, clock())
    assert limits.note_answer(RUN, 2.0, clock())
    assert not limits.note_answer(RUN, 2.0, clock())
    assert limits.limit_per_s(RUN) == 2.0
    assert limits.in_force() == {RUN: 2.0}


def test_new_run_at_the_same_address_has_no_limit() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    limits.note_answer(RUN, 1.0, clock())
    assert limits.limit_per_s(NEXT_RUN) is None


def test_answer_without_a_limit_lifts_it() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    limits.note_answer(RUN, 1.0, clock())
    clock.now_s += LIFT_AFTER_S
    assert limits.note_answer(RUN, None, clock())
    assert not limits.note_answer(RUN, None, clock())
    clock.now_s += RAMP_S
    assert limits.limit_per_s(RUN) is None


def test_lifted_limit_grows_in_steps_before_it_ends() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    limits.note_answer(RUN, 3.0, clock())
    clock.now_s += LIFT_AFTER_S
    limits.note_answer(RUN, None, clock())
    seen = []
    for _ in range(RAMP_STEPS + 1):
        seen.append(limits.limit_per_s(RUN))
        clock.now_s += RAMP_STEP_S
    assert seen == [6.0, 12.0, 24.0, 48.0, 96.0, 192.0, None]


def test_limit_that_comes_and_goes_is_kept_near_its_value() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    for _ in range(5):
        limits.note_answer(RUN, 2.0, clock())
        clock.now_s += 2 * LIFT_AFTER_S
        limits.note_answer(RUN, None, clock())
        assert limits.limit_per_s(RUN) == 4.0
        clock.now_s += 0.9 * RAMP_STEP_S
        assert limits.limit_per_s(RUN) == 4.0


def test_lifted_limit_of_nothing_grows_too() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    limits.note_answer(RUN, 0.0, clock())
    clock.now_s += LIFT_AFTER_S
    limits.note_answer(RUN, None, clock())
    assert limits.limit_per_s(RUN) == 2.0


def test_answer_to_a_request_sent_before_the_limit_was_named_does_not_lift_it() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    sent_s = clock()
    clock.now_s += 5
    limits.note_answer(RUN, 1.0, clock())
    clock.now_s += 5
    assert not limits.note_answer(RUN, None, sent_s)
    assert limits.limit_per_s(RUN) == 1.0


def test_limit_named_in_every_other_answer_stays_in_force() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    for number in range(20):
        clock.now_s += 0.3
        limits.note_answer(RUN, 1.0 if number % 2 == 0 else None, clock())
        assert limits.limit_per_s(RUN) == 1.0


def test_limit_is_known_to_a_gateway_that_merges_it() -> None:
    clock = Clock()
    one, other = RequestLimits(clock), RequestLimits(clock)
    one.note_answer(RUN, 1.0, clock())
    assert other.merge(one.observations())
    assert other.limit_per_s(RUN) == 1.0
    clock.now_s += LIFT_AFTER_S
    other.note_answer(RUN, None, clock())
    assert one.merge(other.observations())
    clock.now_s += RAMP_S
    assert one.limit_per_s(RUN) is None


def test_older_observation_of_a_peer_changes_nothing() -> None:
    clock = Clock()
    one, other = RequestLimits(clock), RequestLimits(clock)
    one.note_answer(RUN, 1.0, clock())
    clock.now_s += LIFT_AFTER_S
    other.note_answer(RUN, 3.0, clock())
    clock.now_s += 1
    assert not other.merge(one.observations())
    assert other.limit_per_s(RUN) == 3.0


def test_copies_of_an_observation_do_not_grow_younger() -> None:
    """Each copy takes some time to arrive, which must not count as a newer answer."""
    clock = Clock()
    one, other = RequestLimits(clock), RequestLimits(clock)
    one.note_answer(RUN, 1.0, clock())
    for _ in range(50):
        copies = one.observations()
        clock.now_s += 0.1
        other.merge(copies)
        copies = other.observations()
        clock.now_s += 0.1
        one.merge(copies)
    (observation,) = one.observations()
    assert observation.age_s == pytest.approx(10.0)


@pytest.mark.parametrize("age_s", [float("nan"), float("inf"), -1.0])
def test_observation_of_invalid_age_is_ignored(age_s: float) -> None:
    limits = RequestLimits(Clock())
    assert not limits.merge([LimitObservation(RUN, 1.0, False, ObservationId(1), age_s)])
    assert limits.limit_per_s(RUN) is None


def test_limit_above_the_maximum_is_reduced() -> None:
    clock = Clock()
    limits = RequestLimits(clock)
    limits.note_answer(RUN, 1e300, clock())
    assert limits.limit_per_s(RUN) == 1e6
