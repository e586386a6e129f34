from __future__ import annotations

from primroseferry_core.ids import EndpointId
from primroseferry_policy.admission import AnswerLengths
from primroseferry_policy.admission import expected_lateness_ms
from primroseferry_policy.admission import in_time
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import Option


def option(name: str, total_ms: float) -> Option:
    return Option(LocalTarget(EndpointId(name)), 0.0, 0.0, total_ms, 1.0, is_cached=False)


OPTIONS = [option("slow", 900.0), option("fast", 400.0)]


def test_late_options_are_rejected() -> None:
    assert [row.total_ms for row in in_time(OPTIONS, 500.0)] == [400.0]
    assert in_time(OPTIONS, 300.0) == []


def test_expected_lateness_is_that_of_the_fastest_option() -> None:
    assert expected_lateness_ms(OPTIONS, 300.0) == 100.0


def test_answer_length_is_learned_per_model() -> None:
    lengths = AnswerLengths()
    for _ in range(200):
        lengths.learn("small", 1_000, 300)

    assert 290 <= lengths.expected_tokens("small", 1_000) <= 320
    assert lengths.expected_tokens("other", 1_000) == 1_000
