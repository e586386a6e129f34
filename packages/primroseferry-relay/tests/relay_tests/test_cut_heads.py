"""An answer whose head was cut is no answer: its caller never gets a success for it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from .relay_harness import RelayHarness
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import reset
from .test_relay import status_of

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

HEADS = {
    "length": "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: yes\r\nContent-Length: 4\r\n\r\n",
    "chunks": "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n",
    "unframed": "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: yes\r\n\r\n",
    "no-content": "HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Signed: yes\r\n\r\n",
    "interim": (
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: yes\r\nContent-Length: 0\r\n\r\n"
    ),
}
PATHS = ("/once/", "/safe/", "/stream/", "/resumable/")
STEP = 9


@pytest.mark.parametrize("ends_with_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", HEADS)
def test_cut_head_is_never_forwarded_as_a_success(
    loop: CurlLoop, kind: str, ends_with_reset: bool
) -> None:
    head = HEADS[kind].encode()
    for index, cut in enumerate(range(1, len(head) - 1, STEP)):

        def script(connection: socket.socket, _request: Received, cut: int = cut) -> None:
            connection.sendall(head[: cut // 2])
            time.sleep(0.005)
            connection.sendall(head[cut // 2 : cut])
            if ends_with_reset:
                time.sleep(0.005)
                reset(connection)

        harness = RelayHarness(loop, [ScriptedEndpoint(script)])
        data = harness.call(PATHS[index % len(PATHS)], "POST", body=b"x")
        assert status_of(data) >= 500, (cut, data)
        harness.listener.stop_accepting()
