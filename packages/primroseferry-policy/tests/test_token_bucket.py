"""Token buckets that start empty."""

from __future__ import annotations

import pytest
from primroseferry_policy.token_bucket import TokenBucket


class _Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def test_bucket_starts_empty() -> None:
    bucket = TokenBucket(2.0, 5.0, _Clock())
    assert bucket.take() == pytest.approx(0.5)


def test_bucket_holds_no_more_than_its_capacity() -> None:
    clock = _Clock()
    bucket = TokenBucket(2.0, 3.0, clock)
    clock.now_s += 60
    assert [bucket.take() for _ in range(3)] == [0.0, 0.0, 0.0]
    assert bucket.take() == pytest.approx(0.5)


def test_changed_rate_applies_from_now_on() -> None:
    clock = _Clock()
    bucket = TokenBucket(100.0, 50.0, clock)
    clock.now_s += 10
    bucket.set_rate(1.0, 1.0)
    assert bucket.take() == 0.0
    assert bucket.take() == pytest.approx(1.0)
