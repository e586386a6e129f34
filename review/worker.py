"""A model server or a plain service that follows the users' protocol, as a process of its own.

Each request that it begins to run is one JSON line in the log file. It ends when its standard input
is closed, or by a signal.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import sys
import threading
import time
from typing import Any


# A request to this path crashes the worker that begins to run it: the process stands still with its
# connections open, as when its machine falls silent.
SILENCING_PATH = "/look/silence"


def read_request(connection: socket.socket, buffer: bytearray) -> tuple[str, str, dict[str, str], bytes] | None:
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65_536)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = bytearray(rest)
    while len(body) < length:
        data = connection.recv(65_536)
        if not data:
            return None
        body += data
    buffer[:] = body[length:]
    return method, path, headers, bytes(body[:length])


class Worker:
    def __init__(self, options: Any) -> None:
        self.options = options
        self.is_leaving = False
        self.log = open(options.log, "a", buffering=1)
        self.lock = threading.Lock()
        self.running = 0

    def note(self, **fields: Any) -> None:
        with self.lock:
            self.log.write(json.dumps({"worker": self.options.id, "at_s": time.monotonic(), **fields}) + "\n")

    def serve_connection(self, connection: socket.socket) -> None:
        buffer = bytearray()
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while (request := read_request(connection, buffer)) is not None:
                if not self.answer(connection, *request):
                    break
        except OSError:
            pass
        finally:
            connection.close()

    def answer(self, connection: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes) -> bool:
        options = self.options
        request_id = headers.get("request-id", "")
        expected = headers.get("expect-instance", options.id)
        echo = f"Request-Id: {request_id}\r\n" if request_id else ""
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        common = f"{echo}{leaving}Server-Load: {self.running},0,{options.slots}\r\n"
        if expected != options.id:
            connection.sendall(
                f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {options.id}\r\n{common}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if path == "/healthz":
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {options.id}\r\n{common}Content-Length: 2\r\n\r\nok".encode()
            )
            return True
        with self.lock:
            self.running += 1
        try:
            self.note(run=request_id, gateway=connection.getpeername()[0], path=path, method=method)
            if path == SILENCING_PATH:
                os.kill(os.getpid(), signal.SIGSTOP)
            head = f"HTTP/1.1 200 OK\r\n{common}Response-Stamp: {options.id}.{request_id}\r\n"
            if "/stream/" in path:
                return self.stream(connection, head, request_id, int(headers.get("last-event-id") or 0))
            time.sleep(options.work_ms / 1000)
            data = f"answer to {request_id} ".encode().ljust(options.answer_bytes, b".")
            connection.sendall(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            self.note(done=request_id)
            return True
        finally:
            with self.lock:
                self.running -= 1

    def stream(self, connection: socket.socket, head: str, request_id: str, after: int) -> bool:
        options = self.options
        is_unframed = options.unframed
        framing = "" if is_unframed else "Transfer-Encoding: chunked\r\n"
        connection.sendall(f"{head}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        for number in range(after + 1, options.events + 1):
            event = f"id: {number}\ndata: ".encode().ljust(options.event_bytes - 2, b"x") + b"\n\n"
            connection.sendall(event if is_unframed else b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(options.pause_ms / 1000)
        if not is_unframed:
            connection.sendall(b"0\r\n\r\n")
        self.note(done=request_id)
        return not is_unframed

    def run(self) -> None:
        host, _, port = self.options.address.rpartition(":")
        server = socket.create_server((host, int(port)), backlog=256)
        print("listening", flush=True)
        threading.Thread(target=self.read_commands, daemon=True).start()
        while True:
            connection, _ = server.accept()
            threading.Thread(target=self.serve_connection, args=(connection,), daemon=True).start()

    def read_commands(self) -> None:
        for line in sys.stdin:
            if line.strip() == "leave":
                self.is_leaving = True
        os._exit(0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=45.0)
    parser.add_argument("--answer-bytes", type=int, default=800)
    parser.add_argument("--events", type=int, default=58)
    parser.add_argument("--event-bytes", type=int, default=55)
    parser.add_argument("--pause-ms", type=float, default=50.0)
    parser.add_argument("--unframed", action="store_true")
    Worker(parser.parse_args()).run()
