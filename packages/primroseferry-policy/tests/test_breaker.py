from __future__ import annotations

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_policy.breaker import FAILURES_TO_OPEN
from primroseferry_policy.breaker import FIRST_WAIT_S
from primroseferry_policy.breaker import MAX_WAIT_S
from primroseferry_policy.breaker import RAMP_S
from primroseferry_policy.breaker import Breakers

ENGINE = EndpointId("engine")


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def breakers(clock: Clock) -> Breakers:
    return Breakers(clock)


def open_circuit(breakers: Breakers) -> None:
    for _ in range(FAILURES_TO_OPEN):
        breakers.fail(ENGINE)


def test_circuit_opens_after_enough_failures(breakers: Breakers) -> None:
    breakers.fail(ENGINE)
    assert breakers.permits(ENGINE)
    open_circuit(breakers)
    assert not breakers.permits(ENGINE)


def test_half_open_circuit_permits_one_trial(breakers: Breakers, clock: Clock) -> None:
    open_circuit(breakers)
    clock.now_s += FIRST_WAIT_S
    assert breakers.permits(ENGINE)
    breakers.begin(ENGINE)
    assert not breakers.permits(ENGINE)


def test_failed_trial_doubles_the_wait(breakers: Breakers, clock: Clock) -> None:
    open_circuit(breakers)
    clock.now_s += FIRST_WAIT_S
    breakers.begin(ENGINE)
    breakers.fail(ENGINE)
    clock.now_s += FIRST_WAIT_S
    assert not breakers.permits(ENGINE)
    clock.now_s += FIRST_WAIT_S
    assert breakers.permits(ENGINE)


def test_released_trial_permits_another(breakers: Breakers, clock: Clock) -> None:
    open_circuit(breakers)
    clock.now_s += FIRST_WAIT_S
    breakers.begin(ENGINE)
    breakers.release(ENGINE)
    assert breakers.permits(ENGINE)


def test_endpoint_gets_a_permitted_trial_at_once(breakers: Breakers, clock: Clock) -> None:
    open_circuit(breakers)
    for _ in range(10):
        clock.now_s += MAX_WAIT_S
        breakers.begin(ENGINE)
        breakers.fail(ENGINE)
    clock.now_s += 1.0
    assert not breakers.permits(ENGINE)
    breakers.permit_trial_now(ENGINE)
    assert breakers.permits(ENGINE)


def test_recovered_endpoint_ramps_up_its_load(breakers: Breakers, clock: Clock) -> None:
    open_circuit(breakers)
    clock.now_s += FIRST_WAIT_S
    breakers.begin(ENGINE)
    breakers.succeed(ENGINE)
    at_first = breakers.ramp_share(ENGINE)
    clock.now_s += RAMP_S / 2
    half_way = breakers.ramp_share(ENGINE)
    clock.now_s += RAMP_S

    assert at_first < half_way < breakers.ramp_share(ENGINE) == 1.0
