"""Opens many streams from one process and measures the gaps between tokens.

It runs as a separate process, so that its processor time is not counted for the gateway.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import time
from dataclasses import dataclass

TOKEN_MARK = b"\nid: "
FIRST_TOKEN_MARK = b"id: "


@dataclass(slots=True)
class _Stream:
    connection: socket.socket
    last_s: float = 0.0
    tokens: int = 0


def main() -> None:
    """Read the task from standard input and print the token gaps of the measurement window."""
    task = json.loads(sys.stdin.readline())
    streams = [_open(task, number) for number in range(task["streams"])]
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.connection, selectors.EVENT_READ, stream)
    _read_until(selector, time.monotonic() + task["warm_up_s"], [])
    print("warm", flush=True)
    sys.stdin.readline()
    before = sum(stream.tokens for stream in streams)
    began_s = time.monotonic()
    gaps_ms: list[float] = []
    _read_until(selector, began_s + task["window_s"], gaps_ms)
    elapsed_s = time.monotonic() - began_s
    tokens = sum(stream.tokens for stream in streams) - before
    print(json.dumps({"tokens": tokens, "elapsed_s": elapsed_s, "gaps_ms": gaps_ms}), flush=True)


def _open(task: dict[str, object], number: int) -> _Stream:
    addresses = task["addresses"]
    assert isinstance(addresses, list)
    host, _, port = str(addresses[number % len(addresses)]).rpartition(":")
    body = json.dumps(
        {
            "model": task["model"],
            "messages": [{"role": "user", "content": f"stream {number}"}],
            "max_tokens": task["max_tokens"],
            "stream": True,
        }
    )
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer bench\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    connection = socket.create_connection((host, int(port)))
    connection.sendall((head + body).encode())
    connection.setblocking(False)
    return _Stream(connection)


def _read_until(selector: selectors.BaseSelector, end_s: float, gaps_ms: list[float]) -> None:
    while time.monotonic() < end_s:
        for key, _ in selector.select(0.05):
            stream = key.data
            data = stream.connection.recv(65_536)
            if not data:
                selector.unregister(stream.connection)
                continue
            count = data.count(TOKEN_MARK) + data.startswith(FIRST_TOKEN_MARK)
            if not count:
                continue
            now_s = time.monotonic()
            if stream.tokens:
                gaps_ms.append((now_s - stream.last_s) * 1000)
                gaps_ms.extend([0.0] * (count - 1))
            stream.last_s = now_s
            stream.tokens += count


if __name__ == "__main__":
    main()
