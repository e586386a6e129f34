"""Hands over the at-most-once table of a stopping gateway to one successor in its region.

The stopping gateway stops using its table for good before it sends the first record. It tries a
second successor only if the first cannot have received any part. The successor owns the keys once
the last part has arrived, and publishes this in a fact.
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


class _SendOutcome(Enum):
    """Whether a gateway accepted a part, cannot have received it, or may have received it."""

    ACCEPTED = "taken"
    NOT_SENT = "nothing"
    MAYBE_SENT = "perhaps"


class HandOver:
    """The sending and the receiving side of a hand-over."""

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

    def send_table(self) -> bool:
        """Send the table to one live gateway of the region; ``False`` if none accepted it.

        Another successor is tried only while no gateway can have received any part.
        """
        records = self._table.hand_over()
        parts = self._parts(records)
        for successor in self._successors():
            peer = self._fleet.find_peer(successor)
            if peer is None:
                continue
            sent = self._send_all(peer.address, parts)
            if sent is _SendOutcome.ACCEPTED:
                log_event(Event.HANDOVER_DONE, successor=successor, records=len(records))
                return True
            if sent is _SendOutcome.MAYBE_SENT:
                log_event(Event.HANDOVER_FAILED, reason=f"{successor} did not accept every part")
                return False
        log_event(Event.HANDOVER_FAILED, reason="no other gateway of the region could be reached")
        return False

    async def receive_part(self, request: HandOverRequest) -> HandOverReply:
        """Add a part of another gateway's table; the last part makes this gateway the owner."""
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
        """Return the other gateways of the region, those that published a fact first."""
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

    def _send_all(self, address: str, parts: list[HandOverRequest]) -> _SendOutcome:
        for number, part in enumerate(parts):
            sent = self._send(address, part)
            if sent is _SendOutcome.NOT_SENT and number > 0:
                return _SendOutcome.MAYBE_SENT
            if sent is not _SendOutcome.ACCEPTED:
                return sent
        return _SendOutcome.ACCEPTED

    def _send(self, address: str, part: HandOverRequest) -> _SendOutcome:
        """Send one part, with retries: receiving a part twice has no further effect."""
        outcome = _SendOutcome.NOT_SENT
        for _ in range(SEND_ATTEMPTS):
            try:
                reply = self._loop.submit(self._peers.hand_over(address, part)).result()
            except PeerError as error:
                log_event(Event.PEER_EXCHANGE_FAILED, peer=address, reason=str(error))
                if error.is_sent:
                    outcome = _SendOutcome.MAYBE_SENT
                time.sleep(RETRY_PAUSE_S)
                continue
            return _SendOutcome.ACCEPTED if reply.accepted else outcome
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
