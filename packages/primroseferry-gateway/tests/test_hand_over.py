from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_gateway.hand_over import SEND_ATTEMPTS
from primroseferry_gateway.hand_over import HandOver
from primroseferry_once.table import OnceTable
from primroseferry_peers.exchanger import SelfIdentity
from primroseferry_peers.peer_client import PeerError
from primroseferry_peers.proto.peer_pb2 import HandOverReply

if TYPE_CHECKING:
    from primroseferry_peers.proto.peer_pb2 import HandOverRequest

IDENTITY = SelfIdentity(InstanceId("gateway-0"), IncarnationId("0" * 16), RegionId("dakar"))
LOST = PeerError("peer", "lost", is_sent=True)
REFUSED = PeerError("peer", "refused", is_sent=False)


class Peers:
    """Peers that answer from a list and record the addresses that were called."""

    def __init__(self, answers: list[PeerError | bool]) -> None:
        self.answers = answers
        self.called: list[str] = []

    def hand_over(self, address: str, part: HandOverRequest) -> SimpleNamespace:
        self.called.append(address)
        answer = self.answers.pop(0)
        return SimpleNamespace(answer=answer)

    def submit(self, call: SimpleNamespace) -> SimpleNamespace:
        def result() -> HandOverReply:
            if isinstance(call.answer, PeerError):
                raise call.answer
            return HandOverReply(accepted=call.answer)

        return SimpleNamespace(result=result)


def fleet(names: list[str], known: list[str]) -> SimpleNamespace:
    return SimpleNamespace(
        live_gateways=lambda region: [SimpleNamespace(instance=name) for name in names],
        gateway_fact=lambda name: name if name in known else None,
        find_peer=lambda name: SimpleNamespace(address=name),
    )


def hand_over(peers: Peers, names: list[str], known: list[str]) -> HandOver:
    table = OnceTable(IDENTITY.incarnation, retention_s=60)
    return HandOver(IDENTITY, table, peers, peers, fleet(names, known), None, None, 60)  # type: ignore[arg-type]


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("primroseferry_gateway.hand_over.RETRY_PAUSE_S", 0.0)


def test_gateway_without_a_fact_can_be_the_successor() -> None:
    peers = Peers([True])

    assert hand_over(peers, ["gateway-1"], known=[]).send_table()


def test_gateway_with_a_fact_is_tried_first() -> None:
    peers = Peers([True])
    names = [f"gateway-{number}" for number in range(1, 9)]

    assert hand_over(peers, names, known=["gateway-5"]).send_table()
    assert peers.called == ["gateway-5"]


def test_next_successor_is_tried_if_the_first_received_nothing() -> None:
    peers = Peers([REFUSED] * SEND_ATTEMPTS + [True])

    assert hand_over(peers, ["gateway-1", "gateway-2"], known=[]).send_table()
    assert len(set(peers.called)) == 2


@pytest.mark.parametrize(
    "answers",
    [[LOST] * SEND_ATTEMPTS, [REFUSED, LOST, REFUSED], [LOST, False]],
)
def test_no_second_successor_is_tried_if_the_first_may_own_the_keys(
    answers: list[PeerError | bool],
) -> None:
    peers = Peers([*answers, True])

    assert not hand_over(peers, ["gateway-1", "gateway-2"], known=[]).send_table()
    assert len(set(peers.called)) == 1


def test_part_with_a_lost_answer_is_sent_again_to_the_same_gateway() -> None:
    peers = Peers([LOST, True])

    assert hand_over(peers, ["gateway-1", "gateway-2"], known=[]).send_table()
    assert len(set(peers.called)) == 1
