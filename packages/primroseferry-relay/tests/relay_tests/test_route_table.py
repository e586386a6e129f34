from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_relay.routes.route import Route
from primroseferry_relay.routes.route import RouteKind
from primroseferry_relay.routes.route import ServiceShare
from primroseferry_relay.routes.route_table import RouteTableError
from primroseferry_relay.routes.route_table import build_route_table
from primroseferry_relay.routes.service import Service

SERVICE = Service(ServiceId("orders"), "/healthz", 10, 0.0, 0.0)
ROUTE = Route(
    name="r",
    host="a.example",
    prefix="/x/",
    kind=RouteKind.IDEMPOTENT,
    shares=(ServiceShare(SERVICE.name, 1.0),),
    timeout_ms=1_000,
    latency_target_ms=100,
    max_attempts=2,
    priority=0,
    home_regions=frozenset(),
)


def test_find_prefers_the_longest_prefix() -> None:
    deep = replace(ROUTE, name="deep", prefix="/x/y/")
    root = replace(ROUTE, name="root", prefix="/")
    table = build_route_table(1, [ROUTE, deep, root], [SERVICE])
    assert table.find("a.example", "/x/y/z") is deep
    assert table.find("A.EXAMPLE", "/x/z") is ROUTE
    assert table.find("a.example", "/other") is root
    assert table.find("a.example", "/x") is root
    assert table.find("b.example", "/x/") is None


def test_find_without_root_returns_nothing_for_other_paths() -> None:
    table = build_route_table(1, [ROUTE], [SERVICE])
    assert table.find("a.example", "/xx/") is None
    assert table.find("a.example", "") is None


@given(st.lists(st.sampled_from("ab"), max_size=6), st.lists(st.sampled_from("ab"), max_size=4))
def test_find_matches_exactly_the_paths_below_its_prefix(
    path: list[str], prefix: list[str]
) -> None:
    text = "/" + "/".join(path)
    prefix_text = "/" + "".join(f"{part}/" for part in prefix)
    table = build_route_table(1, [replace(ROUTE, prefix=prefix_text)], [SERVICE])
    assert (table.find("a.example", text) is not None) == text.startswith(prefix_text)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"host": ""}, "routes[0].host"),
        ({"prefix": "x/"}, "routes[0].prefix"),
        ({"prefix": "/x"}, "routes[0].prefix"),
        ({"shares": ()}, "routes[0].shares"),
        ({"shares": (ServiceShare(ServiceId("none"), 1.0),)}, "routes[0].shares"),
        ({"shares": (ServiceShare(SERVICE.name, -1.0),)}, "routes[0].shares"),
        ({"timeout_ms": 0}, "routes[0].timeout_ms"),
        ({"max_attempts": 0}, "routes[0].max_attempts"),
    ],
)
def test_build_rejects_an_invalid_field_with_its_path(
    change: dict[str, object], field: str
) -> None:
    with pytest.raises(RouteTableError) as caught:
        build_route_table(1, [replace(ROUTE, **change)], [SERVICE])  # type: ignore[arg-type]
    assert str(caught.value).startswith(field)


def test_build_rejects_a_duplicate_prefix() -> None:
    with pytest.raises(RouteTableError, match=r"routes\[1\].prefix"):
        build_route_table(1, [ROUTE, ROUTE], [SERVICE])


def test_service_for_follows_the_weights() -> None:
    shares = (ServiceShare(ServiceId("a"), 90), ServiceShare(ServiceId("b"), 10))
    route = replace(ROUTE, shares=shares)
    chosen = [route.service_for(ticket * 7_919) for ticket in range(10_000)]
    assert 800 < chosen.count(ServiceId("b")) < 1_200


def test_count_permitting_counts_bound_and_unbound_routes() -> None:
    bound = replace(ROUTE, prefix="/b/", home_regions=frozenset({RegionId("north")}))
    table = build_route_table(1, [ROUTE, bound], [SERVICE])
    assert table.count_permitting("a.example", RegionId("north")) == 2
    assert table.count_permitting("a.example", RegionId("south")) == 1
