from __future__ import annotations

from primroseferry_core.ids import RegionId
from primroseferry_peers.fact_store import FactStore
from primroseferry_peers.proto.peer_pb2 import CRASH_BLAME
from primroseferry_peers.proto.peer_pb2 import GATEWAY
from primroseferry_peers.proto.peer_pb2 import REGION_LOAD
from primroseferry_peers.proto.peer_pb2 import BlameFact
from primroseferry_peers.proto.peer_pb2 import Fact


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def store_of_dakar(clock: Clock | None = None) -> FactStore:
    return FactStore(RegionId("dakar"), clock or Clock())


def gateway_fact(subject: str, version: int, region: str = "dakar") -> Fact:
    return Fact(kind=GATEWAY, subject=subject, region=region, version=version, ttl_ms=1_000)


def blame(endpoints: list[str]) -> Fact:
    return Fact(
        kind=CRASH_BLAME,
        subject="print",
        region="thies",
        fleet_wide=True,
        version=len(endpoints),
        ttl_ms=1_000,
        blame=BlameFact(endpoints=endpoints),
    )


def test_only_a_higher_version_replaces_a_fact() -> None:
    store = store_of_dakar()

    assert store.accept([gateway_fact("a", 2)]) == 1
    assert store.accept([gateway_fact("a", 1)]) == 0
    assert store.accept([gateway_fact("a", 3)]) == 1


def test_fact_of_another_region_is_accepted_only_if_fleet_wide() -> None:
    store = store_of_dakar()

    assert store.accept([gateway_fact("a", 1, region="thies")]) == 0
    assert store.accept([blame(["e1@1"])]) == 1


def test_two_stores_do_not_extend_the_lifetime_of_a_fact() -> None:
    clock = Clock()
    first, second = store_of_dakar(clock), store_of_dakar(clock)
    first.accept([gateway_fact("stopped", 1)])
    for _ in range(30):
        clock.now_s += 0.2
        second.accept(first.since(0))
        first.accept(second.since(0))
        first.drop_expired()
        second.drop_expired()

    assert len(first) == len(second) == 0


def test_peer_receives_only_newer_facts_that_it_did_not_send() -> None:
    store = store_of_dakar()
    store.accept([gateway_fact("a", 1)], received_from="peer-1")
    seen = store.sequence
    store.accept([gateway_fact("b", 1)])

    assert [fact.subject for fact in store.since(seen)] == ["b"]
    assert [fact.subject for fact in store.since(0, peer="peer-1")] == ["b"]


def test_remote_peer_receives_blames_and_the_load_of_the_own_region() -> None:
    store = store_of_dakar()
    loads = [
        Fact(kind=REGION_LOAD, subject=f"{region}/m", region=region, fleet_wide=True, ttl_ms=1_000)
        for region in ("dakar", "thies")
    ]
    for load in loads:
        load.version = 1
    store.accept([*loads, blame(["e1@1"]), gateway_fact("a", 1)])

    sent = [fact.subject for fact in store.since(0, is_peer_remote=True)]
    assert sent == ["dakar/m", "print"]


def test_blames_of_several_gateways_are_merged_in_any_order() -> None:
    one, other = store_of_dakar(), store_of_dakar()
    one.accept([blame(["e1@1"])])
    one.accept([blame(["e2@5"])])
    other.accept([blame(["e2@5"])])
    other.accept([blame(["e1@1"])])

    for store in (one, other):
        stored = store.find(CRASH_BLAME, "print")
        assert stored is not None
        assert list(stored.blame.endpoints) == ["e1@1", "e2@5"]
