"""The client side of the protocol between gateways."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import ProtocolError
from grpclib.exceptions import StreamTerminatedError
from primroseferry_core.errors import PrimroseferryError

from .proto.peer_grpc import PeerStub
from .proto.peer_pb2 import ExchangeReply
from .proto.peer_pb2 import ExchangeRequest
from .proto.peer_pb2 import FetchPlansReply
from .proto.peer_pb2 import FetchPlansRequest
from .proto.peer_pb2 import ForwardEvent
from .proto.peer_pb2 import ForwardRequest
from .proto.peer_pb2 import HandOverReply
from .proto.peer_pb2 import HandOverRequest

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
PLANS_TIMEOUT_S = 5.0
HAND_OVER_TIMEOUT_S = 10.0


class PeerError(PrimroseferryError):
    """A call to a peer failed.

    ``is_sent`` is ``False`` only if the peer cannot have received it.
    """

    def __init__(self, address: str, reason: str, is_sent: bool) -> None:
        super().__init__(f"peer {address}: {reason}")
        self.is_sent = is_sent


@dataclass(frozen=True, slots=True)
class _Peer:
    channel: Channel
    stub: PeerStub


@dataclass(frozen=True, slots=True)
class ForwardTimeouts:
    """Time-outs for a peer's head event, its first chunk and the gaps between chunks."""

    head_s: float
    first_chunk_s: float
    gap_s: float


class PeerClient:
    """Keeps one channel per peer. All methods run on the event loop.

    Calls raise :class:`PeerError` if they fail.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Exchange facts with the peer at ``address`` (``ip:port``)."""
        stub = await self._connect(address)
        try:
            reply: ExchangeReply = await stub.Exchange(request, timeout=CONTROL_TIMEOUT_S)
        except _CALL_ERRORS as error:
            raise self._failed(address, error) from error
        return reply

    async def fetch_plans(self, address: str, held_revision: int) -> FetchPlansReply:
        """Return the peer's plans if they are newer than ``held_revision``, else no plans."""
        stub = await self._connect(address)
        request = FetchPlansRequest(held_revision=held_revision)
        try:
            reply: FetchPlansReply = await stub.FetchPlans(request, timeout=PLANS_TIMEOUT_S)
        except _CALL_ERRORS as error:
            raise self._failed(address, error) from error
        return reply

    async def hand_over(self, address: str, request: HandOverRequest) -> HandOverReply:
        """Send the peer a part of an at-most-once table."""
        stub = await self._connect(address)
        try:
            reply: HandOverReply = await stub.HandOver(request, timeout=HAND_OVER_TIMEOUT_S)
        except _CALL_ERRORS as error:
            raise self._failed(address, error) from error
        return reply

    async def forward(
        self,
        address: str,
        request: ForwardRequest,
        on_event: Callable[[ForwardEvent], bool],
        timeouts: ForwardTimeouts,
    ) -> None:
        """Send a request to the peer and call ``on_event`` with each event of the answer.

        The call is cancelled when ``on_event`` returns ``False``.
        """
        stub = await self._connect(address)
        loop = asyncio.get_running_loop()
        try:
            async with (
                asyncio.timeout(timeouts.head_s) as timer,
                stub.Forward.open(timeout=request.remaining_ms / 1000) as stream,
            ):
                await stream.send_message(request, end=True)
                async for event in stream:
                    if not on_event(event):
                        await stream.cancel()
                        return
                    is_head = event.WhichOneof("event") == "head"
                    gap_s = timeouts.first_chunk_s if is_head else timeouts.gap_s
                    timer.reschedule(loop.time() + gap_s)
        except _CALL_ERRORS as error:
            raise self._failed(address, error) from error

    def close(self) -> None:
        """Close every channel."""
        for peer in self._peers.values():
            peer.channel.close()
        self._peers.clear()

    def retain_only(self, addresses: set[str]) -> None:
        """Close the channels to peers that are no longer listed."""
        for address in self._peers.keys() - addresses:
            self._peers.pop(address).channel.close()

    async def _connect(self, address: str) -> PeerStub:
        """Return the peer's stub with an open connection; errors have ``is_sent=False``."""
        peer = self._peers.get(address)
        if peer is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port))
            peer = _Peer(channel, PeerStub(channel))
            self._peers[address] = peer
        try:
            await asyncio.wait_for(peer.channel.__connect__(), CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise PeerError(address, f"cannot connect: {reason}", is_sent=False) from error
        return peer.stub

    def _failed(self, address: str, error: BaseException) -> PeerError:
        """Return the error of a call that may have been sent.

        The channel is closed unless the peer answered with a gRPC status: after a transport error
        or a time-out the connection may be unusable.
        """
        peer = self._peers.pop(address, None)
        if peer is not None and not isinstance(error, GRPCError):
            peer.channel.close()
        elif peer is not None:
            self._peers[address] = peer
        reason = str(error) or type(error).__name__
        return PeerError(address, reason, is_sent=True)


_CALL_ERRORS = (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError)
