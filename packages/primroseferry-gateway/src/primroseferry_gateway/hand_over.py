"""Moving the at-most-once table of a stopping gateway to one successor of its region.

The stopping gateway gives its table up for good before it sends the first record, and tries one
successor only, unless that one cannot have seen any part. The successor owns the keys once the last
part has arrived, and says so in a fact.
"""

from __future__ import annotations

import time
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.hashing import rendezvous_order
from primroseferry_core.ids import CustomerId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import IdempotencyKey
from primroseferry_core.ids import IncarnationId
from primroseferry_core.ids import InstanceId
from primroseferry_core.logs import log_event
from primroseferry_once.keys import ScopedKey
from primroseferry_once.table import OnceRecord
from primroseferry_once.table import OnceState
from primroseferry_once.table import StoredAnswer
from primroseferry_peers.peer_client import PeerError
from primroseferry_peers.proto.peer_pb2 import KEYS_MOVED
from primroseferry_peers.proto.peer_pb2 import Fact
from primroseferry_peers.proto.peer_pb2 import HandOverReply
from primroseferry_peers.proto.peer_pb2 import HandOverRequest
from primroseferry_peers.proto.peer_pb2 import MovedFact
from primroseferry_peers.proto.peer_pb2 import OnceRecord as OnceRecordMessage

if TYPE_CHECKING:
    from primroseferry_once.table import OnceTable
    from primroseferry_peers.exchanger import Exchanger
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore
    from primroseferry_peers.loop_thread import LoopThread
    from primroseferry_peers.peer_client import PeerClient

    from .fleet import FleetView

MAX_PART_BYTES = 1024 * 1024
SEND_ATTEMPTS = 3
RETRY_PAUSE_S = 0.2


class _Sent(Enum):
    """Whether a gateway took what it was sent, cannot have seen it, or may have."""

    TAKEN = "taken"
    NOTHING = "nothing"
    PERHAPS = "perhaps"


class HandOver:
    """Both sides of the hand-over of one gateway."""

    def __init__(
        self,
        identity: SelfIdentity,
        table: OnceTable,
        peers: PeerClient,
        loop: LoopThread,
        fleet: FleetView,
        facts: FactStore,
        exchanger: Exchanger,
        retention_s: int,
    ) -> None:
        self._identity = identity
        self._table = table
        self._peers = peers
        self._loop = loop
        self._fleet = fleet
        self._facts = facts
        self._exchanger = exchanger
        self._retention_s = retention_s

    def give(self) -> bool:
        """Give the table to one live gateway of the region; ``False`` if none took it.

        Another successor is tried only while none can have seen any part.
        """
        records = self._table.hand_over()
        parts = self._parts(records)
        for successor in self._successors():
            peer = self._fleet.find_peer(successor)
            if peer is None:
                continue
            sent = self._send_all(peer.address, parts)
            if sent is _Sent.TAKEN:
                log_event(Event.HANDOVER_DONE, successor=successor, records=len(records))
                return True
            if sent is _Sent.PERHAPS:
                log_event(Event.HANDOVER_FAILED, reason=f"{successor} did not take every part")
                return False
        log_event(Event.HANDOVER_FAILED, reason="no other gateway of the region was reached")
        return False

    async def take(self, request: HandOverRequest) -> HandOverReply:
        """Adopt a part of another gateway's table; the last part makes this one the owner."""
        self._table.adopt([_from_message(message) for message in request.records])
        if not request.last:
            return HandOverReply(accepted=True)
        incarnations = [IncarnationId(name) for name in request.owned_incarnations]
        is_accepted = self._table.adopt_incarnations(incarnations)
        if is_accepted:
            self._publish_moved(incarnations)
        return HandOverReply(accepted=is_accepted)

    def _publish_moved(self, incarnations: list[IncarnationId]) -> None:
        facts = [
            Fact(
                kind=KEYS_MOVED,
                subject=incarnation,
                region=self._identity.region,
                fleet_wide=True,
                version=time.time_ns() // 1_000_000,
                ttl_ms=self._retention_s * 1000,
                moved=MovedFact(successor=self._identity.instance),
            )
            for incarnation in incarnations
        ]
        self._facts.accept(facts)
        self._exchanger.push_soon()

    def _successors(self) -> list[InstanceId]:
        """Return the other gateways of the region, those first that were heard of."""
        others = [
            str(row.instance)
            for row in self._fleet.live_gateways(self._identity.region)
            if row.instance != self._identity.instance
        ]
        ordered = rendezvous_order(f"successor/{self._identity.incarnation}", others)
        ordered.sort(key=lambda name: self._fleet.gateway_fact(InstanceId(name)) is None)
        return [InstanceId(name) for name in ordered]

    def _parts(self, records: list[OnceRecord]) -> list[HandOverRequest]:
        parts = [HandOverRequest(instance=self._identity.instance)]
        size_bytes = 0
        for record in records:
            message = _to_message(record)
            if size_bytes + message.ByteSize() > MAX_PART_BYTES:
                parts.append(HandOverRequest(instance=self._identity.instance))
                size_bytes = 0
            parts[-1].records.append(message)
            size_bytes += message.ByteSize()
        parts[-1].last = True
        parts[-1].owned_incarnations.extend(self._table.owned_incarnations())
        return parts

    def _send_all(self, address: str, parts: list[HandOverRequest]) -> _Sent:
        for number, part in enumerate(parts):
            sent = self._send(address, part)
            if sent is _Sent.NOTHING and number > 0:
                return _Sent.PERHAPS
            if sent is not _Sent.TAKEN:
                return sent
        return _Sent.TAKEN

    def _send(self, address: str, part: HandOverRequest) -> _Sent:
        """Send one part; sending it again to the same gateway changes nothing."""
        outcome = _Sent.NOTHING
        for _ in range(SEND_ATTEMPTS):
            try:
                reply = self._loop.submit(self._peers.hand_over(address, part)).result()
            except PeerError as error:
                log_event(Event.PEER_EXCHANGE_FAILED, peer=address, reason=str(error))
                if error.is_sent:
                    outcome = _Sent.PERHAPS
                time.sleep(RETRY_PAUSE_S)
                continue
            return _Sent.TAKEN if reply.accepted else outcome
        return outcome


def _to_message(record: OnceRecord) -> OnceRecordMessage:
    answer = record.answer or StoredAnswer(0, "", b"")
    return OnceRecordMessage(
        customer=record.scoped_key.customer,
        key=record.scoped_key.key,
        state=record.state.value,
        fingerprint=record.fingerprint,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        age_ms=max(0, int((time.monotonic() - record.began_s) * 1000)),
    )


def _from_message(message: OnceRecordMessage) -> OnceRecord:
    state = OnceState(message.state)
    record = OnceRecord(
        ScopedKey(CustomerId(message.customer), IdempotencyKey(message.key)),
        Fingerprint(message.fingerprint),
        state,
        time.monotonic() - message.age_ms / 1000,
    )
    if state is OnceState.DONE:
        record.answer = StoredAnswer(message.status, message.content_type, message.body)
    record.settled.set_result(state)
    return record
