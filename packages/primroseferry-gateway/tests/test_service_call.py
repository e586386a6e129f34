"""Answers of plain services whose end is also the end of their connection."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import RequestId
from primroseferry_gateway.service_call import CallFailed
from primroseferry_gateway.service_call import ServiceRequest
from primroseferry_gateway.service_call import call_service
from primroseferry_once.table import StoredAnswer

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

REQUEST = ServiceRequest("POST", "/orders", "text/plain", b"one", "key-1")


class UnframedService:
    """Answers one request without a length; ``is_crashing`` closes the port before the answer."""

    endpoint = EndpointId("service-1")

    def __init__(self, is_crashing: bool) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._is_crashing = is_crashing
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            data = b""
            while b"one" not in data:
                data += connection.recv(65_536)
            if self._is_crashing:
                self._listener.close()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nacc")


@pytest.mark.parametrize("is_crashing", [True, False])
def test_unframed_answer_that_ends_with_its_endpoint_is_not_stored_as_complete(
    loop: CurlLoop, is_crashing: bool
) -> None:
    service = UnframedService(is_crashing)
    outcome = call_service(loop, service, RequestId("r"), REQUEST, 2_000, is_repeatable=False)
    if is_crashing:
        assert isinstance(outcome, CallFailed)
        assert outcome.is_sent
    else:
        assert isinstance(outcome, StoredAnswer)
        assert outcome.body == b"acc"
