"""Requests that a stopping gateway could not answer in time are refused, and no others."""

from __future__ import annotations

import time

from primroseferry_core.ids import ServiceId
from primroseferry_relay.decision import DecisionRecord
from primroseferry_relay.lifecycle.stop_gate import DURATION_RETENTION_S
from primroseferry_relay.lifecycle.stop_gate import StopGate

from .peer_samples import Clock

SLOW, FAST = ServiceId("slow"), ServiceId("fast")


def answered(service: ServiceId, elapsed_ms: int, outcome: str = "answered") -> DecisionRecord:
    record = DecisionRecord("r1", time.monotonic() - elapsed_ms / 1000)
    record.service, record.outcome = service, outcome
    return record


def test_nothing_is_refused_before_a_stop() -> None:
    gate = StopGate(Clock())
    gate.note(answered(SLOW, 60_000))
    assert not gate.refuses(SLOW)


def test_requests_longer_than_the_time_left_are_refused() -> None:
    clock = Clock()
    gate = StopGate(clock)
    gate.note(answered(SLOW, 2_200))
    gate.note(answered(FAST, 50))
    gate.note(answered(FAST, 9_000, "deadline-passed"))
    gate.stop_at(clock.now_s + 3.6)
    clock.now_s += 1.2
    assert not gate.refuses(SLOW)
    clock.now_s += 0.3
    assert gate.refuses(SLOW)
    assert not gate.refuses(FAST)
    assert not gate.refuses(ServiceId("unknown"))
    clock.now_s += 2.1
    assert gate.refuses(FAST)


def test_long_requests_are_forgotten() -> None:
    clock = Clock()
    gate = StopGate(clock)
    gate.note(answered(SLOW, 2_200))
    clock.now_s += DURATION_RETENTION_S + 1
    gate.note(answered(SLOW, 40))
    gate.stop_at(clock.now_s + 1)
    assert not gate.refuses(SLOW)
