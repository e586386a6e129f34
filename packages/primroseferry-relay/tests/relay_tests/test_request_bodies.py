from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from primroseferry_relay.ingress.request_bodies import RequestBodies

MAX_BYTES = 100


def test_small_body_is_read_beside_large_ones_that_never_end() -> None:
    bodies = RequestBodies(MAX_BYTES)

    assert bodies.resize("stalled", 60)
    assert not bodies.resize("other", 60)
    bodies.release("other")
    assert bodies.resize("small", 41)


@given(st.lists(st.tuples(st.integers(0, 8), st.integers(1, 60)), max_size=40))
def test_bodies_stay_below_twice_the_limit(steps: list[tuple[int, int]]) -> None:
    bodies = RequestBodies(MAX_BYTES)
    sizes: dict[int, int] = {}
    for connection, more_bytes in steps:
        sizes[connection] = sizes.get(connection, 0) + more_bytes
        if not bodies.resize(connection, sizes[connection]):
            bodies.release(connection)
            del sizes[connection]
        assert bodies.total_bytes == sum(sizes.values()) <= 2 * MAX_BYTES
    for connection in list(sizes):
        bodies.release(connection)
    assert bodies.total_bytes == 0


def test_bodies_that_shrink_with_their_share_stay_below_twice_the_limit() -> None:
    bodies = RequestBodies(10_000)
    for connection in range(1, 1_000):
        bodies.resize(connection, 10_000 // connection)
    assert bodies.total_bytes <= 20_000
