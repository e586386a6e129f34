from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from primroseferry_policy.recent_maximum import RecentMaximum


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 30), st.integers(1, 9)), max_size=40))
def test_maximum_covers_the_numbers_within_the_window(notes: list[tuple[float, int]]) -> None:
    now_s = [0.0]
    recent = RecentMaximum(60.0, lambda: now_s[0])
    noted: list[tuple[float, int]] = []
    for pause_s, value in notes:
        now_s[0] += pause_s
        noted.append((now_s[0], value))
        expected = max(number for at_s, number in noted if now_s[0] - at_s <= 60.0)
        assert recent.add(value) == expected
