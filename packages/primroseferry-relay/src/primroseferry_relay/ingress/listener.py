"""A listening port: a thread that accepts, and one task of a pool for each connection."""

from __future__ import annotations

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event

from .connection import CallerConnection

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_transport.curl_loop import CurlLoop

    from ..messages import RelayRequest
    from ..routes.service import CallerLimits
    from .answer_channel import AnswerChannel

LISTEN_BACKLOG = 1_024
# How often the accepting thread looks whether it is to stop.
ACCEPT_CHECK_S = 2.0


class Listener:
    """Serves ``handle`` on one address.

    ``max_connections`` are open at once, each on a thread. When all are in use, the connection that
    has been idle longest is closed for the next one.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        handle: Callable[[RelayRequest, AnswerChannel], None],
        limits: Callable[[], CallerLimits],
        loop: CurlLoop,
        max_connections: int,
    ) -> None:
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self.handle = handle
        self.limits = limits
        self.loop = loop
        self.is_draining = False
        self.closes_idle = False
        self._name = name
        self._pool = ThreadPoolExecutor(max_connections, thread_name_prefix=name)
        self._max_connections = max_connections
        self._open = 0
        self._idle: dict[CallerConnection, None] = {}
        self._lock = threading.Lock()
        self._is_accepting = True
        self._thread = threading.Thread(target=self._accept, name=f"{name}-accept", daemon=True)

    def start(self) -> None:
        """Accept connections from now on."""
        self._thread.start()

    def drain(self) -> None:
        """Close each connection with its next answer."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close kept connections that wait for a further request, soon and from now on."""
        self.closes_idle = True

    def stop_accepting(self) -> None:
        """Close the port; open connections go on."""
        self._is_accepting = False
        with contextlib.suppress(OSError):  # Not every platform wakes an accept that way.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return self._open

    @property
    def busy(self) -> int:
        """How many connections have a request under way."""
        with self._lock:
            return self._open - len(self._idle)

    @contextlib.contextmanager
    def idle(self, connection: CallerConnection) -> Iterator[None]:
        """Count a connection as idle within the block."""
        with self._lock:
            self._idle[connection] = None
        try:
            yield
        finally:
            with self._lock:
                self._idle.pop(connection, None)

    def _accept(self) -> None:
        self._socket.settimeout(ACCEPT_CHECK_S)
        while self._is_accepting:
            try:
                connection, _address = self._socket.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._is_accepting:
                    log_event(Event.BAD_CONNECTION, reason=f"accept: {error}")
                continue
            self._admit(connection)

    def _admit(self, connection: socket.socket) -> None:
        with self._lock:
            self._open += 1
            oldest = next(iter(self._idle), None) if self._open >= self._max_connections else None
            if oldest is not None:
                del self._idle[oldest]
        if oldest is not None:
            oldest.yield_place()
        try:
            self._pool.submit(self._serve, connection)
        except RuntimeError as error:
            log_event(Event.BAD_CONNECTION, reason=f"the pool is closed: {error}")
            self._note_closed()
            connection.close()

    def _serve(self, connection: socket.socket) -> None:
        try:
            CallerConnection(connection, self).serve()
        finally:
            self._note_closed()

    def _note_closed(self) -> None:
        with self._lock:
            self._open -= 1
