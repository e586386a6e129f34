"""Listens on a port: one thread accepts, and a thread pool serves the connections."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from primroseferry_core.client_limits import DEFAULT_CLIENT_LIMITS
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.vital_thread import VitalThread

from .answer_channel import MIN_SLOW_S
from .client_drops import ClientDrops
from .client_drops import DropReason
from .connection import CallerConnection
from .parse_turns import ParseTurns
from .request_bodies import RequestBodies

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseferry_core.client_limits import ClientLimits
    from primroseferry_transport.curl_loop import CurlLoop

    from ..messages import RelayRequest
    from ..routes.service import CallerLimits
    from .answer_channel import AnswerChannel

LISTEN_BACKLOG = 1_024
# How often the accepting thread checks whether it is to stop.
ACCEPT_CHECK_S = 2.0
# The same while connections wait for a thread.
FULL_CHECK_S = 0.02
# Connections that wait for a thread: this share of those that are served, or the minimum. Further
# ones stay in the kernel's queue, where they take no descriptor.
WAITING_SHARE = 1 / 8
MIN_WAITING = 8


class Listener:
    """Serves the requests to one address with ``handle``.

    At most ``max_connections`` are served at once, each on a thread. When all are in use, the
    connection that has been idle longest is closed to make room for a new one, or the one whose
    client has sent or read slowly for longest. ``bodies``, ``drops`` and ``parse_turns`` are shared
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
        drops: ClientDrops | None = None,
        parse_turns: ParseTurns | None = None,
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.port: int = self._socket.getsockname()[1]
        self.handle = handle
        self.limits = limits
        self.loop = loop
        self.client_limits = client_limits
        self.bodies = bodies or RequestBodies()
        self.parse_turns = parse_turns or ParseTurns()
        self.lock = threading.Lock()
        self._drops = drops or ClientDrops()
        self.is_draining = False
        self.closes_idle = False
        self._name = name
        self._pool = ThreadPoolExecutor(max_connections, thread_name_prefix=name)
        self._max_connections = max_connections
        self._open = 0
        self._max_waiting = max(MIN_WAITING, int(max_connections * WAITING_SHARE))
        self._served: set[CallerConnection] = set()
        self._leaving = 0
        self._idle: dict[CallerConnection, None] = {}
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
        with self.lock:
            return self._open - len(self._idle)

    @contextlib.contextmanager
    def idle(self, connection: CallerConnection) -> Iterator[None]:
        """Count ``connection`` as idle within the ``with`` block."""
        with self.lock:
            self._idle[connection] = None
        try:
            yield
        finally:
            with self.lock:
                self._idle.pop(connection, None)

    def close_slow_sender(self, connection: CallerConnection) -> bool:
        """Refuse a request that is still arriving; ``False`` if it is not, or not any more."""
        with self.lock:
            if connection.drop_reason() is not DropReason.SLOW_SENDER:
                return False
            connection.request_close()
            self._leaving += 1
        self.note_drop(DropReason.SLOW_SENDER)
        return True

    def note_drop(self, reason: DropReason) -> None:
        """Count a client that was closed or refused to protect the process."""
        self._drops.note(reason, self._name)

    def _accept(self) -> None:
        while self._is_accepting:
            self._make_room()
            if self._open >= self._max_connections + self._max_waiting:
                time.sleep(FULL_CHECK_S)
                continue
            try:
                self._socket.settimeout(
                    FULL_CHECK_S if self._open > self._max_connections else ACCEPT_CHECK_S
                )
                connection, _address = self._socket.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._is_accepting:
                    log_event(Event.BAD_CONNECTION, reason=f"accept: {error}")
                continue
            self._admit(connection)

    def _admit(self, connection: socket.socket) -> None:
        with self.lock:
            self._open += 1
        try:
            self._pool.submit(self._serve, connection)
        except Exception as error:
            log_event(
                Event.BAD_CONNECTION,
                reason=f"the thread pool does not accept the connection: {error}",
            )
            self._count_closed()
            connection.close()

    def _make_room(self) -> None:
        """Close as many idle and slow connections as there are others that wait for a thread."""
        while self._open - self._leaving > self._max_connections:
            with self.lock:
                chosen = self._choose_to_close()
                if chosen is None:
                    return
                connection, reason = chosen
                connection.request_close()
                self._leaving += 1
            self.note_drop(reason)

    def _choose_to_close(self) -> tuple[CallerConnection, DropReason] | None:
        now_s = time.monotonic()
        chosen, longest = None, (False, 0.0)
        for connection in self._served:
            reason = connection.drop_reason()
            waited_s = now_s - connection.waiting_since_s
            is_idle = reason is DropReason.IDLE
            if reason is None or (not is_idle and waited_s < MIN_SLOW_S):
                continue
            if chosen is None or (is_idle, waited_s) > longest:
                chosen, longest = (connection, reason), (is_idle, waited_s)
        return chosen

    def _serve(self, connection: socket.socket) -> None:
        caller = CallerConnection(connection, self)
        with self.lock:
            self._served.add(caller)
        try:
            caller.serve()
        finally:
            with self.lock:
                self._served.discard(caller)
                self._leaving -= caller.is_close_requested
            self._count_closed()

    def _count_closed(self) -> None:
        with self.lock:
            self._open -= 1
