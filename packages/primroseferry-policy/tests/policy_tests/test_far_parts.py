"""Reports of prompt parts on engines of remote regions."""

from __future__ import annotations

from primroseferry_core.ids import EndpointId
from primroseferry_policy import far_parts
from primroseferry_policy.far_parts import REPORT_INTERVAL_S
from primroseferry_policy.far_parts import REPORT_TTL_S
from primroseferry_policy.far_parts import PartPrefill
from primroseferry_policy.far_parts import PartReportLimiter
from primroseferry_policy.far_parts import RemotePartIndex
from primroseferry_policy.part_cache import PREFILL_DELAY_S
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart

GROUP = PromptPart(PartId("group"), 2_500)
SUBJECT = PromptPart(PartId("subject"), 3_800)
FIRST = EndpointId("e-1")
SECOND = EndpointId("e-2")


class Clock:
    def __init__(self) -> None:
        self.now_s = 50.0

    def __call__(self) -> float:
        return self.now_s


def test_find_returns_the_latest_engine_with_the_longest_prefix() -> None:
    clock = Clock()
    parts = RemotePartIndex(clock)
    parts.note(PartPrefill(FIRST, GROUP.part, 2_500))
    parts.note(PartPrefill(FIRST, SUBJECT.part, 6_300))
    parts.note(PartPrefill(SECOND, SUBJECT.part, 6_300))
    clock.now_s += PREFILL_DELAY_S * 1.01
    assert parts.find([GROUP, SUBJECT]) == PartPrefill(SECOND, SUBJECT.part, 6_300)
    assert parts.find([GROUP]) == PartPrefill(FIRST, GROUP.part, 2_500)
    assert parts.find([]) is None


def test_find_ignores_parts_in_prefill_and_expired_reports() -> None:
    clock = Clock()
    parts = RemotePartIndex(clock)
    parts.note(PartPrefill(FIRST, GROUP.part, 2_500))
    assert parts.find([GROUP]) is None
    clock.now_s += PREFILL_DELAY_S * 1.01
    assert parts.find([GROUP]) is not None
    clock.now_s += REPORT_TTL_S
    assert parts.find([GROUP]) is None


def test_forget_removes_the_parts_of_a_restarted_engine() -> None:
    clock = Clock()
    parts = RemotePartIndex(clock)
    parts.note(PartPrefill(FIRST, GROUP.part, 2_500))
    parts.forget(FIRST)
    clock.now_s += PREFILL_DELAY_S * 1.01
    assert parts.find([GROUP]) is None


def test_number_of_known_parts_is_bounded() -> None:
    clock = Clock()
    parts = RemotePartIndex(clock)
    for number in range(far_parts.MAX_PARTS + 1):
        parts.note(PartPrefill(FIRST, PartId(f"p{number}"), 100))
    clock.now_s += PREFILL_DELAY_S * 1.01
    assert parts.find([PromptPart(PartId("p0"), 100)]) is None
    assert parts.find([PromptPart(PartId("p1"), 100)]) is not None


def test_part_is_reported_once_per_interval() -> None:
    clock = Clock()
    limiter = PartReportLimiter(clock)
    assert limiter.note(GROUP.part)
    clock.now_s += REPORT_INTERVAL_S / 2
    assert not limiter.note(GROUP.part)
    assert limiter.note(SUBJECT.part)
    clock.now_s += REPORT_INTERVAL_S / 2
    assert limiter.note(GROUP.part)
    assert REPORT_INTERVAL_S < REPORT_TTL_S
