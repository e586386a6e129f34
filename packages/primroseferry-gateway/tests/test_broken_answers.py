"""Answers of services and engines whose head is broken reach no caller and are not stored."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import cast

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import RequestId
from primroseferry_gateway.answer_stream import DONE_EVENT
from primroseferry_gateway.answer_stream import AnswerStream
from primroseferry_gateway.engine_call import Broken
from primroseferry_gateway.engine_call import EngineBody
from primroseferry_gateway.engine_call import run_on_engine
from primroseferry_gateway.fleet import Endpoint
from primroseferry_gateway.service_call import CallFailed
from primroseferry_gateway.service_call import ServiceRequest
from primroseferry_gateway.service_call import call_service
from primroseferry_standins.raw_answer_server import RawAnswerServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_gateway.settings import GatewaySettings
    from primroseferry_transport.curl_loop import CurlLoop

REQUEST = ServiceRequest("POST", "/orders", "text/plain", b"one", "key-1")
EVENT = b'id: 1\ndata: {"choices":[{"delta":{"content":"a"}}]}\n\n'
BROKEN_HEADS = [
    b"HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 10\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-A: a\x01b\r\nContent-Length: 10\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
    b"HTTP/1.1 200 O\x01K\r\nContent-Length: 10\r\n\r\n",
    b"HTTP/1.1 000 OK\r\nContent-Length: 10\r\n\r\n",
    b"http/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
]
TIMEOUT_MS = 3_000


class RecordingSink:
    def __init__(self) -> None:
        self.data = b""

    def write(self, events: bytes) -> bool:
        self.data += events
        return True


@pytest.fixture(name="server")
def _server() -> Iterator[RawAnswerServer]:
    server = RawAnswerServer(closes=True)
    yield server
    server.close()


def endpoint_of(server: RawAnswerServer) -> Endpoint:
    return Endpoint(EndpointId("e-1"), RegionId("north"), server.address, "m", is_engine=True)


@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("head", BROKEN_HEADS)
def test_broken_answer_of_a_service_is_a_failed_call_that_was_sent(
    loop: CurlLoop, server: RawAnswerServer, head: bytes, is_repeatable: bool
) -> None:
    server.pieces = (head + b"0123456789",)
    outcome = call_service(
        loop, endpoint_of(server), RequestId("r"), REQUEST, TIMEOUT_MS, is_repeatable
    )
    assert isinstance(outcome, CallFailed)
    assert outcome.is_sent
    assert server.connections == 1


@pytest.mark.parametrize("size", [17, 20, 34, 36])
def test_answer_of_a_service_that_breaks_off_in_its_head_is_a_failed_call(
    loop: CurlLoop, server: RawAnswerServer, size: int
) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    server.pieces = (head[:size],)
    outcome = call_service(
        loop, endpoint_of(server), RequestId("r"), REQUEST, TIMEOUT_MS, is_repeatable=False
    )
    assert isinstance(outcome, CallFailed)
    assert outcome.is_sent


@pytest.mark.parametrize("head", BROKEN_HEADS)
def test_broken_answer_of_an_engine_is_a_failed_attempt(
    loop: CurlLoop, server: RawAnswerServer, head: bytes
) -> None:
    server.pieces = (head.replace(b"10", b"%d" % len(EVENT + DONE_EVENT)) + EVENT + DONE_EVENT,)
    sink = RecordingSink()
    settings = SimpleNamespace(first_token_timeout_ms=1_000, token_gap_timeout_ms=1_000)
    outcome = run_on_engine(
        loop,
        cast("GatewaySettings", settings),
        endpoint_of(server),
        RequestId("r"),
        EngineBody(b"{}", b"{}"),
        AnswerStream(sink),
        TIMEOUT_MS,
        lambda: None,
    )
    assert isinstance(outcome, Broken)
    assert outcome.is_sent
    assert not outcome.is_endpoint_crashed
    assert sink.data == b""
