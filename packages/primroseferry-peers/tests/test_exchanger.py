from __future__ import annotations

import pytest
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_peers.exchanger import PeerAddress
from primroseferry_peers.exchanger import neighbours


def peers(count: int) -> list[PeerAddress]:
    return [
        PeerAddress(InstanceId(f"gateway-{number:02}"), RegionId("dakar"), f"10.0.0.{number}:1")
        for number in range(count)
    ]


def rounds_to_reach_all(count: int) -> int:
    """Return the rounds until a fact of the first gateway has reached all, two-way per link."""
    everyone = peers(count)
    links = {
        (me.instance, other.instance)
        for me in everyone
        for other in neighbours(me.instance, [peer for peer in everyone if peer is not me])
    }
    informed = {everyone[0].instance}
    rounds = 0
    while len(informed) < count:
        sent = {target for source, target in links if source in informed}
        replied = {source for source, target in links if target in informed}
        informed |= sent | replied
        rounds += 1
        assert rounds <= count
    return rounds


@pytest.mark.parametrize(("count", "limit"), [(2, 1), (3, 1), (7, 3), (16, 4), (40, 7)])
def test_fact_reaches_every_gateway_within_the_limit(count: int, limit: int) -> None:
    assert rounds_to_reach_all(count) <= limit


def test_each_gateway_has_at_most_two_neighbours() -> None:
    everyone = peers(40)
    for me in everyone:
        others = [peer for peer in everyone if peer is not me]
        assert len(neighbours(me.instance, others)) == 2


def test_single_gateway_has_no_neighbours() -> None:
    assert neighbours("gateway-00", []) == []
