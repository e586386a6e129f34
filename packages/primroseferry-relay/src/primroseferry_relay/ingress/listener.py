"""Listens on a port: one thread accepts, and a thread pool serves the connections."""

from __future__ import annotations

import contextlib
import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.vital_thread import VitalThread

from .connection import CallerConnection
from .request_bodies import RequestBodies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_transport.curl_loop import CurlLoop

    from ..messages import RelayRequest
    from ..routes.service import CallerLimits
    from .answer_channel import AnswerChannel

LISTEN_BACKLOG = 1_024
# How often the accepting thread checks whether it is to stop.
ACCEPT_CHECK_S = 2.0


class Listener:
    """Serves the requests to one address with ``handle``.

    At most ``max_connections`` are served at once, each on a thread. When all are in use, the
    connection that has been idle longest is closed to make room for a new one. ``bodies`` is shared
    by the listeners of a process.
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
        bodies: RequestBodies | None = None,
    ) -> None:
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self.handle = handle
        self.limits = limits
        self.loop = loop
        self.bodies = bodies or RequestBodies()
        self.is_draining = False
        self.closes_idle = False
        self._name = name
        self._pool = ThreadPoolExecutor(max_connections, thread_name_prefix=name)
        self._max_connections = max_connections
        self._open = 0
        self._idle: dict[CallerConnection, None] = {}
        self._lock = threading.Lock()
        self._is_accepting = True
        self._thread = VitalThread(f"{name}-accept", self._accept)

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self._socket.settimeout(ACCEPT_CHECK_S)
        self._thread.start()

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close kept-alive connections that wait for a further request, from now on.

        Each one closes within ``IDLE_CHECK_S``.
        """
        self.closes_idle = True

    def stop_accepting(self) -> None:
        """Close the port. Open connections are still served."""
        self._is_accepting = False
        with contextlib.suppress(OSError):  # Not every platform interrupts ``accept`` this way.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    @property
    def is_failing(self) -> bool:
        """Whether the thread has ended or has just failed."""
        return self._thread.is_failing

    @property
    def open_connections(self) -> int:
        """The number of open connections, including those that wait for a thread."""
        return self._open

    @property
    def busy_connections(self) -> int:
        """The number of connections that are not idle."""
        with self._lock:
            return self._open - len(self._idle)

    @contextlib.contextmanager
    def idle(self, connection: CallerConnection) -> Iterator[None]:
        """Count ``connection`` as idle within the ``with`` block."""
        with self._lock:
            self._idle[connection] = None
        try:
            yield
        finally:
            with self._lock:
                self._idle.pop(connection, None)

    def _accept(self) -> None:
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
            oldest.request_close()
        try:
            self._pool.submit(self._serve, connection)
        except Exception as error:
            log_event(
                Event.BAD_CONNECTION,
                reason=f"the thread pool does not accept the connection: {error}",
            )
            self._count_closed()
            connection.close()

    def _serve(self, connection: socket.socket) -> None:
        try:
            CallerConnection(connection, self).serve()
        finally:
            self._count_closed()

    def _count_closed(self) -> None:
        with self._lock:
            self._open -= 1
