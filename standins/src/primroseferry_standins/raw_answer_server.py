"""Server whose answers are bytes that a test chooses, sound or broken."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress


class RawAnswerServer:
    """Sends ``pieces`` on each request after its first bytes, then may close the connection.

    ``connections`` counts the connections that were accepted. Without ``reads_on`` the server reads
    nothing for some seconds after an answer.
    """

    def __init__(
        self, *pieces: bytes, pause_s: float = 0.0, closes: bool = False, reads_on: bool = True
    ) -> None:
        self.connections = 0
        self.pieces = pieces
        self._pause_s = pause_s
        self._closes = closes
        self._reads_on = reads_on
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.url = f"http://{self.address}/"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, suppress(OSError):
            while connection.recv(65_536):
                for piece in self.pieces:
                    connection.sendall(piece)
                    time.sleep(self._pause_s)
                if self._closes:
                    return
                if not self._reads_on:
                    time.sleep(5)
