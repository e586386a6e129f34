from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from primroseferry_core.ids import Fingerprint
from primroseferry_policy.quarantine import Admission
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.suspicion import Suspicion

CULPRIT = Fingerprint("culprit")
NAMES = st.frozensets(
    st.builds(lambda name, second: f"e-{name}@{second}", st.integers(0, 5), st.integers(0, 90)),
    max_size=24,
)
SUSPICIONS = st.builds(
    lambda *parts: Suspicion(CULPRIT).merged_with(Suspicion(CULPRIT, *parts)),
    NAMES,
    NAMES,
    NAMES,
    st.integers(0, 60),
)


class Clock:
    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


@settings(derandomize=True, deadline=None)
@given(SUSPICIONS, SUSPICIONS)
def test_merge_is_commutative_and_idempotent(one: Suspicion, other: Suspicion) -> None:
    assert one.merged_with(other) == other.merged_with(one)
    assert one.merged_with(one) == one
    assert one.merged_with(other).merged_with(other) == one.merged_with(other)


def test_gateways_that_exchange_missing_suspicions_converge() -> None:
    one, other = Quarantine(), Quarantine()
    for number in range(20):
        one.blame(Fingerprint(f"a{number}"), ["e-1@100"])
        other.blame(Fingerprint(f"b{number}"), ["e-2@100"])
    one.blame(CULPRIT, ["e-1@100"])
    other.blame(CULPRIT, ["e-2@100"])
    assert one.is_missing_any(other.content_hashes())
    one.merge(other.missing_from(one.content_hashes()))
    other.merge(one.missing_from(other.content_hashes()))
    assert one.version == other.version != 0
    assert one.is_quarantined(CULPRIT)
    assert other.is_quarantined(CULPRIT)
    assert not one.missing_from(other.content_hashes())


def test_cleared_crash_does_not_return_from_an_outdated_gateway() -> None:
    one, other = Quarantine(), Quarantine()
    for quarantine in (one, other):
        quarantine.blame(CULPRIT, ["e-1@100"])
    one.clear(CULPRIT)
    one.merge(other.missing_from(one.content_hashes()))
    assert not one.is_suspected(CULPRIT)
    other.merge(one.missing_from(other.content_hashes()))
    assert not other.is_suspected(CULPRIT)


def test_exchanged_suspicions_expire() -> None:
    clock = Clock()
    one, other = Quarantine(clock, ttl_s=60.0), Quarantine(clock, ttl_s=60.0)
    one.blame(CULPRIT, ["e-1@100"])
    for _ in range(10):
        clock.now_s += 10.0
        other.merge(one.missing_from(other.content_hashes()))
        one.merge(other.missing_from(one.content_hashes()))
    assert one.version == other.version == 0


def test_trial_waits_grow_with_each_crash_and_end_with_an_answer() -> None:
    clock = Clock()
    quarantine = Quarantine(clock, trial_waits_s=(5.0, 60.0))
    quarantine.blame(CULPRIT, ["e-1@100", "e-2@100"])
    assert quarantine.admit(CULPRIT) == Admission(5.0)
    clock.now_s += 5.0
    trial = quarantine.admit(CULPRIT)
    assert (trial.wait_s, trial.trial != "") == (0.0, True)
    assert quarantine.admit(CULPRIT) == Admission(60.0)
    quarantine.confirm_crash(CULPRIT, trial.trial, "e-3@106")
    assert quarantine.admit(CULPRIT) == Admission(60.0)
    clock.now_s += 60.0
    assert quarantine.admit(CULPRIT).trial
    quarantine.clear(CULPRIT)
    assert quarantine.admit(CULPRIT) == Admission()


def test_trial_at_one_gateway_counts_at_all_gateways() -> None:
    clock = Clock()
    one, other = (Quarantine(clock, trial_waits_s=(5.0, 60.0)) for _ in range(2))
    for quarantine in (one, other):
        quarantine.blame(CULPRIT, ["e-1@100", "e-2@100"])
    clock.now_s += 5.0
    assert one.admit(CULPRIT).trial
    other.merge(one.missing_from(other.content_hashes()))
    assert other.admit(CULPRIT) == Admission(60.0)


def test_trial_without_result_is_retracted() -> None:
    clock = Clock()
    quarantine = Quarantine(clock, trial_waits_s=(5.0, 60.0))
    quarantine.blame(CULPRIT, ["e-1@100", "e-2@100"])
    clock.now_s += 5.0
    quarantine.retract(CULPRIT, quarantine.admit(CULPRIT).trial)
    assert quarantine.admit(CULPRIT) == Admission(5.0)


def test_first_crash_after_an_answer_does_not_quarantine() -> None:
    quarantine = Quarantine(wall_clock_s=lambda: 150.0)
    quarantine.blame(CULPRIT, ["e-1@100"])
    quarantine.clear(CULPRIT)
    quarantine.blame(CULPRIT, ["e-2@200"])
    assert not quarantine.is_quarantined(CULPRIT)
    quarantine.blame(CULPRIT, ["e-3@300"])
    assert quarantine.is_quarantined(CULPRIT)


def test_number_of_suspects_is_bounded_and_quarantined_ones_are_kept() -> None:
    quarantine = Quarantine()
    quarantine.blame(CULPRIT, ["e-1@100", "e-2@100"])
    for number in range(3_000):
        quarantine.blame(Fingerprint(f"f{number}"), ["e-1@100"])
    assert quarantine.is_quarantined(CULPRIT)
    assert len(quarantine.content_hashes()) <= 8 * 1_024


def test_crash_before_an_answer_does_not_count_when_reported_after_it() -> None:
    quarantine = Quarantine(wall_clock_s=lambda: 150.0)
    quarantine.clear(CULPRIT)
    quarantine.confirm_crash(CULPRIT, "", "e-1/7@120")
    quarantine.confirm_crash(CULPRIT, "", "e-2/7@130")
    assert not quarantine.is_suspected(CULPRIT)


def test_answer_at_one_gateway_clears_older_crashes_reported_later_by_another() -> None:
    one, other = (Quarantine(wall_clock_s=lambda: 150.0) for _ in range(2))
    other.blame(CULPRIT, ["e-1/7@100", "e-2/7@110"])
    one.clear(CULPRIT)
    one.merge(other.missing_from(one.content_hashes()))
    other.merge(one.missing_from(other.content_hashes()))
    assert not one.is_suspected(CULPRIT)
    assert not other.is_suspected(CULPRIT)
    assert one.version == other.version
