"""Requests that a stopping gateway may not answer in time are refused, and no others."""

from __future__ import annotations

import time

import pytest
from primroseferry_core.ids import RequestId
from primroseferry_relay.lifecycle.stop_gate import DURATION_MARGIN
from primroseferry_relay.lifecycle.stop_gate import DURATION_RETENTION_S
from primroseferry_relay.lifecycle.stop_gate import ENDPOINT_PAUSE_S
from primroseferry_relay.lifecycle.stop_gate import StopGate
from primroseferry_relay.open_requests import OpenRequest
from primroseferry_relay.open_requests import Origin

from .peer_samples import Clock

SLOW, FAST = "slow", "fast"
STOP_S = 7.6


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def gate(clock: Clock) -> StopGate:
    return StopGate(clock)


def note(gate: StopGate, clock: Clock, route: str, elapsed_ms: int) -> None:
    """Let a gateway answer requests of a route for longer than a stop takes."""
    gate.note_duration(route, elapsed_ms)
    clock.now_s += STOP_S + 0.1


def test_nothing_is_refused_before_a_stop(gate: StopGate, clock: Clock) -> None:
    gate.note_duration(SLOW, 60_000)
    assert not gate.refuses(SLOW, clock.now_s + 90)
    assert not gate.refuses("unknown", clock.now_s + 90)


def test_requests_that_may_outlast_the_stop_are_refused(gate: StopGate, clock: Clock) -> None:
    gate.note_duration(SLOW, 2_200)
    note(gate, clock, FAST, 50)
    stop_s = clock.now_s + STOP_S
    gate.stop_at(stop_s)
    late_s = stop_s + 9
    clock.now_s = stop_s - 2.2 * DURATION_MARGIN - ENDPOINT_PAUSE_S - 0.1
    assert not gate.refuses(SLOW, late_s)
    clock.now_s += 0.2
    assert gate.refuses(SLOW, late_s)
    assert not gate.refuses(FAST, late_s)
    clock.now_s = stop_s - 0.05 * DURATION_MARGIN - ENDPOINT_PAUSE_S + 0.01
    assert gate.refuses(FAST, late_s)


def test_gateway_that_has_answered_none_takes_only_what_must_end_in_time(
    gate: StopGate, clock: Clock
) -> None:
    stop_s = clock.now_s + STOP_S
    gate.stop_at(stop_s)
    assert gate.refuses("unknown", stop_s + 0.1)
    assert not gate.refuses("unknown", stop_s - 0.1)


def test_open_request_that_takes_longer_than_the_answered_ones_counts(
    gate: StopGate, clock: Clock
) -> None:
    note(gate, clock, SLOW, 200)
    gate.stop_at(clock.now_s + STOP_S)
    stalled = OpenRequest(RequestId("r1"), Origin.CALLER, SLOW, time.monotonic() - STOP_S)
    assert not gate.refuses(SLOW, clock.now_s + 90)
    with gate.open_requests.serving(stalled):
        assert gate.refuses(SLOW, clock.now_s + 90)
    assert not gate.refuses(SLOW, clock.now_s + 90)


def test_long_requests_are_forgotten(gate: StopGate, clock: Clock) -> None:
    gate.note_duration(SLOW, 20_000)
    clock.now_s += DURATION_RETENTION_S + 1
    note(gate, clock, SLOW, 40)
    gate.stop_at(clock.now_s + STOP_S)
    assert not gate.refuses(SLOW, clock.now_s + 90)


def test_gateway_that_has_answered_for_less_than_a_stop_knows_no_duration(
    gate: StopGate, clock: Clock
) -> None:
    gate.note_duration(FAST, 50)
    clock.now_s += STOP_S - 0.1
    gate.note_duration(FAST, 50)
    gate.stop_at(clock.now_s + STOP_S)
    assert gate.refuses(FAST, clock.now_s + 90)


def test_durations_of_long_ago_are_not_known_at_a_stop(gate: StopGate, clock: Clock) -> None:
    gate.note_duration(FAST, 50)
    clock.now_s += 3_600
    gate.stop_at(clock.now_s + STOP_S)
    assert gate.refuses(FAST, clock.now_s + 90)


def test_closed_gate_refuses_each_request(gate: StopGate, clock: Clock) -> None:
    note(gate, clock, FAST, 50)
    gate.stop_at(clock.now_s + STOP_S)
    gate.close()
    assert gate.refuses(FAST, clock.now_s + 0.1)
