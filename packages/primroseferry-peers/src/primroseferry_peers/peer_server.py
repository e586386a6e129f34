"""The server side of the protocol between gateways."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Protocol

from grpclib.server import Server

from .proto.peer_grpc import PeerBase

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from grpclib.server import Stream

    from .proto.peer_pb2 import ExchangeReply
    from .proto.peer_pb2 import ExchangeRequest
    from .proto.peer_pb2 import FetchPlansReply
    from .proto.peer_pb2 import FetchPlansRequest
    from .proto.peer_pb2 import ForwardEvent
    from .proto.peer_pb2 import ForwardRequest
    from .proto.peer_pb2 import HandOverReply
    from .proto.peer_pb2 import HandOverRequest

LISTEN_BACKLOG = 1_024


class PeerHandler(Protocol):
    """Handles the calls of peers. All methods run on the event loop."""

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Accept the peer's facts and reply with those that it does not have."""

    async def fetch_plans(self, request: FetchPlansRequest) -> FetchPlansReply:
        """Return the plans in force if they are newer than the peer's."""

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Receive a part of the at-most-once table of a stopping gateway."""

    def forward(self, request: ForwardRequest) -> AsyncIterator[ForwardEvent]:
        """Serve a forwarded request; the last event is an ``end`` or a ``problem``."""


class _Service(PeerBase):
    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Exchange(self, stream: Stream[ExchangeRequest, ExchangeReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._handler.exchange(request))

    async def FetchPlans(self, stream: Stream[FetchPlansRequest, FetchPlansReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._handler.fetch_plans(request))

    async def HandOver(self, stream: Stream[HandOverRequest, HandOverReply]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._handler.hand_over(request))

    async def Forward(self, stream: Stream[ForwardRequest, ForwardEvent]) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        async for event in self._handler.forward(request):
            await stream.send_message(event)


class PeerServer:
    """Listens for peers on ``host:port``; for port 0, ``port`` holds the assigned one."""

    def __init__(self, handler: PeerHandler, host: str, port: int) -> None:
        self._handler = handler
        self._server: Server | None = None
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.port: int = self._socket.getsockname()[1]

    async def start(self) -> None:
        """Accept connections.

        The server is created here because grpclib binds it to the event loop that is running.
        """
        self._server = Server([_Service(self._handler)])
        await self._server.start(sock=self._socket)

    async def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
