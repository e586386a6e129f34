"""Bad input gets an answer that names the fault, leaks nothing and affects no other caller."""

from __future__ import annotations

import json
import socket
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import single_region

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment
    from primroseferry_standins.process import Process

TOKEN = "shop-token"
CHAT = "/v1/chat/completions"
OPTIONS = ("--receive-timeout-ms", "1500", "--max-body-bytes", "50000", "--max-connections", "20")


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    with start_deployment(single_region(gateway_options=OPTIONS)) as running:
        yield running


@pytest.fixture
def gateway(deployment: Deployment) -> Iterator[Process]:
    """Yield the gateway; afterwards check that it has no open request and still serves chats."""
    process = deployment.gateways["dakar-1"]
    yield process
    wait_until(
        lambda: gateway_state(process)["gateway"]["open_requests"] == 0, "no request is open"
    )
    answer = chat(process.address, TOKEN, "small", "still there?", 2)
    assert isinstance(answer, StreamedAnswer)
    assert answer.is_complete()


def chat_body(**changes: object) -> dict[str, object]:
    return {"model": "small", "messages": [{"role": "user", "content": "x"}], **changes}


@pytest.mark.parametrize(
    ("path", "data", "status", "kind", "named"),
    [
        (CHAT, chat_body(model="huge"), 404, "unknown-model", "huge"),
        (CHAT, chat_body(model=7), 400, "bad-request", "field model"),
        (CHAT, chat_body(messages=[]), 400, "bad-request", "field messages"),
        (CHAT, chat_body(messages=["x"]), 400, "bad-request", "field messages"),
        (CHAT, chat_body(max_tokens=0), 400, "bad-request", "field max_tokens"),
        (CHAT, chat_body(max_tokens=True), 400, "bad-request", "field max_tokens"),
        (CHAT, chat_body(stream="yes"), 400, "bad-request", "field stream"),
        (CHAT, [], 400, "bad-request", "JSON object"),
        (CHAT, chat_body(pad="x" * 60_000), 413, "body-too-large", "50000"),
        ("/v1/services/orders/orders", {}, 400, "key-required", "Idempotency-Key"),
        ("/v1/services/orders/other", {}, 404, "unknown-operation", "POST /orders"),
        ("/v1/services/nothing/orders", {}, 404, "unknown-service", "nothing"),
        ("/v1/nothing", {}, 404, "unknown-path", "/v1/nothing"),
    ],
)
def test_bad_request_gets_a_problem_that_names_the_fault(
    gateway: Process, path: str, data: object, status: int, kind: str, named: str
) -> None:
    answer = request(gateway.address, "POST", path, data, TOKEN)

    problem = answer.json()
    assert (answer.status, problem["type"]) == (status, f"urn:primroseferry:problem:{kind}")
    assert named in problem["detail"]
    assert problem["ran"] == "no"


@pytest.mark.parametrize(
    ("token", "status", "kind"),
    [
        ("", 401, "unauthenticated"),
        ("nobody", 401, "unauthenticated"),
        ("stranger-token", 403, "no-plan"),
    ],
)
def test_unknown_caller_is_refused(gateway: Process, token: str, status: int, kind: str) -> None:
    answer = request(gateway.address, "POST", CHAT, chat_body(), token)

    assert (answer.status, answer.json()["type"]) == (status, f"urn:primroseferry:problem:{kind}")


@pytest.mark.parametrize("value", ["soon", "0", "-5", "99999999999", "1.5"])
def test_invalid_needed_within_header_is_refused(gateway: Process, value: str) -> None:
    answer = request(gateway.address, "POST", CHAT, chat_body(), TOKEN, X_Needed_Within_Ms=value)

    assert answer.status == 400
    assert "X-Needed-Within-Ms" in answer.json()["detail"]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n", b"431"),
        (b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n", b"431"),
        (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\n\r\n{nope", b"40"),
        (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n", b"40"),
        (b"GET /healthz HTTP/1.1\r\n" + b"X: y\r\n" * 200 + b"\r\n", b"431"),
    ],
)
def test_malformed_request_gets_a_problem(gateway: Process, data: bytes, status: bytes) -> None:
    answer = raw_call(gateway, data)

    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"application/problem+json" in answer


def test_body_that_is_not_json_is_refused(gateway: Process) -> None:
    head = f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\nContent-Length: 5\r\n\r\n"

    assert b"not valid JSON" in raw_call(gateway, head.encode() + b"{nope")


def test_chunked_body_is_bounded(gateway: Process) -> None:
    head = (
        f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"

    assert raw_call(gateway, head.encode() + chunk * 10 + b"0\r\n\r\n").startswith(b"HTTP/1.1 413")


def test_slow_request_times_out(gateway: Process) -> None:
    with connect(gateway) as connection:
        answer = b""
        for byte in b"POST /v1/chat/completions HTTP/1.1\r\nX-Padding: never ends":
            try:
                connection.send(bytes([byte]))
                connection.settimeout(0.1)
                answer = connection.recv(1_000)
                break
            except TimeoutError:
                continue
            except OSError:
                break

    assert answer.startswith(b"HTTP/1.1 408")
    assert has_event(gateway, 2004)


def test_caller_that_disconnects_during_its_request_leaves_nothing_open(
    gateway: Process,
) -> None:
    with connect(gateway) as connection:
        connection.sendall(
            f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n"
            "Content-Length: 500\r\n\r\n{".encode()
        )


@pytest.mark.parametrize("is_streamed", [True, False])
def test_engine_is_stopped_when_the_caller_disconnects(
    deployment: Deployment, gateway: Process, is_streamed: bool
) -> None:
    engine = deployment.endpoints["dakar-engine-1"]
    body = chat_body(max_tokens=5_000, stream=is_streamed)
    connection = send_chat(gateway, body)
    wait_until(lambda: bool(engine.control("/state")["running"]), "the engine runs the request")
    connection.close()

    wait_until(lambda: not engine.control("/state")["running"], "the engine stopped", 10)
    assert has_event(gateway, 2003)


def test_connection_beyond_the_limit_is_refused_at_once(gateway: Process) -> None:
    idle = [connect(gateway) for _ in range(20)]
    try:
        answer = raw_call(gateway, b"GET /healthz HTTP/1.1\r\n\r\n")
    finally:
        for connection in idle:
            connection.close()
    wait_until(lambda: is_healthy(gateway), "the slots are free again")

    assert answer.startswith(b"HTTP/1.1 503")
    assert b'"ran": "no"' in answer


def is_healthy(gateway: Process) -> bool:
    return request(gateway.address, "GET", "/healthz").status == 200


def connect(gateway: Process) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", gateway.ports["port"]), timeout=10)
    return connection


def raw_call(gateway: Process, data: bytes) -> bytes:
    with connect(gateway) as connection:
        connection.sendall(data)
        answer = b""
        while chunk := connection.recv(65_536):
            answer += chunk
        return answer


def send_chat(gateway: Process, body: dict[str, Any]) -> socket.socket:
    content = json.dumps(body).encode()
    connection = connect(gateway)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    connection.sendall(head.encode() + content)
    return connection


def has_event(gateway: Process, number: int) -> bool:
    deadline_s = time.monotonic() + 5
    while time.monotonic() < deadline_s:
        if any(row.get("event") == number for row in gateway.log_lines()):
            return True
        time.sleep(0.05)
    return False
