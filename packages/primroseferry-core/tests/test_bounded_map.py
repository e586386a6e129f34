from __future__ import annotations

from primroseferry_core.bounded_map import BoundedMap


def test_bounded_map_evicts_the_oldest_entry() -> None:
    recent: BoundedMap[str, int] = BoundedMap(2)
    recent.put("a", 1)
    recent.put("b", 2)
    recent.put("a", 3)
    recent.put("c", 4)
    assert list(recent.items()) == [("a", 3), ("c", 4)]
