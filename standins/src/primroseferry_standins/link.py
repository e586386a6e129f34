"""A stand-in for a link between two regions, with a one-way delay and simulated partitions.

A cut holds bytes back, as TCP does during a partition, and delivers them once the cut heals;
``reset`` aborts the connections instead. Each direction can be cut separately.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import threading
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from .control import HOST
from .control import control_routes
from .control import json_response
from .control import read_json
from .control import run_until_killed
from .control import serve_routes

if TYPE_CHECKING:
    from primroseferry_transport.router import Router
    from primroseferry_transport.serving import Exchange
    from werkzeug.wrappers import Response

READ_BYTES = 65_536
CUT_POLL_INTERVAL_S = 0.02
MAX_WORD_BYTES = 64


class LinkState:
    """The one-way delay of a link and whether each direction is cut."""

    def __init__(self, delay_ms: float) -> None:
        self.delay_ms = delay_ms
        self.is_cut_forward = False
        self.is_cut_backward = False


class Link:
    """Relays the connections to its ports to their targets with the delay and cuts of the link."""

    def __init__(self, delay_ms: float) -> None:
        self._state = LinkState(delay_ms)
        self._loop = asyncio.new_event_loop()
        self._ports: dict[str, int] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._bytes = {"forward": 0, "backward": 0}
        self._marker = b""
        self._marked_words: set[str] = set()
        threading.Thread(target=self._loop.run_forever, name="link", daemon=True).start()

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set faults: ``delay_ms``, ``cut`` (``both``, ``forward``, ``backward``, ``none``),
        ``reset``, and ``marker``. Words in the traffic that start with ``marker`` are recorded.
        """
        self._state.delay_ms = float(fault.get("delay_ms", self._state.delay_ms))
        if "cut" in fault:
            self._state.is_cut_forward = fault["cut"] in ("both", "forward")
            self._state.is_cut_backward = fault["cut"] in ("both", "backward")
        self._marker = str(fault.get("marker", self._marker.decode())).encode()
        if fault.get("reset"):
            self._loop.call_soon_threadsafe(self._reset)

    def state(self) -> dict[str, Any]:
        """Return the ports by target, the relayed bytes by direction and the marked words."""
        return {"ports": self._ports, "bytes": self._bytes, "marked": sorted(self._marked_words)}

    def open_route(self, exchange: Exchange) -> Response:
        """Answer the port for ``target``; listen on a free port if it has none yet."""
        target = str(read_json(exchange)["target"])
        if target not in self._ports:
            opened = asyncio.run_coroutine_threadsafe(self._listen(target), self._loop)
            self._ports[target] = opened.result(5)
        return json_response({"port": self._ports[target]})

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _listen(self, target: str) -> int:
        host, _, port = target.rpartition(":")

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(reader, writer, host, int(port))

        server = await asyncio.start_server(accept, HOST, 0)
        return int(server.sockets[0].getsockname()[1])

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, port: int
    ) -> None:
        while self._state.is_cut_forward:
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._pump(reader, target_writer, "forward"),
            self._pump(target_reader, writer, "backward"),
        )
        self._writers -= {writer, target_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        """Relay one direction until the sender closes it.

        Chunks are read at once. Each is written after the link's delay, and not during a cut.
        """
        chunks: deque[tuple[float, bytes]] = deque()
        arrived = asyncio.Event()
        deliver = asyncio.create_task(self._deliver(chunks, arrived, writer, direction))
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                chunks.append((self._loop.time(), data))
                arrived.set()
        chunks.append((self._loop.time(), b""))
        arrived.set()
        await deliver

    async def _deliver(
        self,
        chunks: deque[tuple[float, bytes]],
        arrived: asyncio.Event,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        while True:
            while not chunks:
                arrived.clear()
                await arrived.wait()
            arrived_s, data = chunks.popleft()
            due_s = arrived_s + self._state.delay_ms / 1000
            await asyncio.sleep(max(0.0, due_s - self._loop.time()))
            while self._is_cut(direction):
                await asyncio.sleep(CUT_POLL_INTERVAL_S)
            if not data:
                with contextlib.suppress(OSError):
                    writer.close()
                return
            self._bytes[direction] += len(data)
            self._record_marked_words(data)
            with contextlib.suppress(OSError):
                writer.write(data)
                await writer.drain()

    def _record_marked_words(self, data: bytes) -> None:
        """Record the words that start with the marker; a word split over two chunks is missed."""
        if not self._marker:
            return
        start = data.find(self._marker)
        while start >= 0:
            word = re.match(rb"[A-Za-z0-9-]+", data[start : start + MAX_WORD_BYTES])
            if word is not None:
                self._marked_words.add(word[0].decode())
            start = data.find(self._marker, start + 1)

    def _is_cut(self, direction: str) -> bool:
        if direction == "forward":
            return self._state.is_cut_forward
        return self._state.is_cut_backward


def run(control_port: int, delay_ms: float) -> None:
    """Run the stand-in until it is killed."""
    link = Link(delay_ms)
    routes: Router = control_routes(link.set_fault, link.state)
    routes.add("POST", "/routes", link.open_route)
    control = serve_routes(control_port, "control", routes)
    run_until_killed("link", {"control_port": control.port})
