"""Graceful shutdown completes running requests and hands the order table to a successor."""

from __future__ import annotations

import ctypes
import os
import signal
import threading
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import Answer
from primroseferry_standins.caller import CallFailedError
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

SHOP = "shop-token"
ORDERS = "/v1/services/orders/orders"


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    with start_deployment(single_region(gateways=2)) as running:
        yield running


def start_chat(process: Process, answers: list[Answer | StreamedAnswer]) -> threading.Thread:
    def run() -> None:
        answers.append(chat(process.address, SHOP, "small", "long", 150))

    thread = threading.Thread(target=run)
    thread.start()
    wait_until(
        lambda: gateway_state(process)["gateway"]["open_requests"] == 1, "the request is open"
    )
    return thread


def test_stop_completes_running_requests_and_refuses_new_ones(deployment: Deployment) -> None:
    stopping, other = deployment.gateways["dakar-1"], deployment.gateways["dakar-2"]
    answers: list[Answer | StreamedAnswer] = []
    thread = start_chat(stopping, answers)
    stopping.terminate()
    wait_until(
        lambda: request(stopping.address, "GET", "/readyz").status == 503, "the gateway drains"
    )
    refused = chat(stopping.address, SHOP, "small", "late", 3)
    wait_until(lambda: "dakar-1" not in entries(other), "dakar-1 is no longer listed as an entry")
    code = stopping.wait()
    thread.join()

    assert isinstance(refused, Answer)
    assert (refused.status, refused.ran) == (503, "no")
    assert "/v1/entry" in refused.json()["detail"]
    assert isinstance(answers[0], StreamedAnswer)
    assert answers[0].is_complete()
    assert code == 0


def entries(process: Process) -> list[str]:
    entry = request(process.address, "GET", "/v1/entry", token=SHOP).json()
    return [row["instance"] for row in entry["entries"]]


def test_successor_answers_for_the_keys_of_the_stopped_gateway(deployment: Deployment) -> None:
    stopping, other = deployment.gateways["dakar-1"], deployment.gateways["dakar-2"]
    prefix = own_prefix(stopping, "dakar-1")
    before = request(stopping.address, "POST", ORDERS, {}, SHOP, Idempotency_Key=prefix + "a")
    stopping.terminate()
    assert stopping.wait() == 0
    again = request(other.address, "POST", ORDERS, {}, SHOP, Idempotency_Key=prefix + "a")
    new = request(other.address, "POST", ORDERS, {}, SHOP, Idempotency_Key=prefix + "b")

    log = deployment.endpoints["dakar-orders-1"].control("/state")["log"]
    assert (before.status, again.body, new.status) == (201, before.body, 201)
    assert [row["key"] for row in log] == [prefix + "a", prefix + "b"]


def own_prefix(process: Process, instance: str) -> str:
    while True:
        entry = request(process.address, "GET", "/v1/entry", token=SHOP).json()
        if f"~{instance}~" in entry["idempotency_key_prefix"]:
            return str(entry["idempotency_key_prefix"])


def test_signal_that_reaches_another_thread_stops_the_gateway(deployment: Deployment) -> None:
    """The kernel may deliver a signal to any thread, while Python handles it on the main thread."""
    process = deployment.gateways["dakar-1"]
    threads = [int(name) for name in os.listdir(f"/proc/{process.pid}/task")]
    other = max(thread for thread in threads if thread != process.pid)
    ctypes.CDLL(None).tgkill(process.pid, other, int(signal.SIGTERM))

    assert process.wait() == 0


def test_second_signal_ends_the_stop_and_logs_the_interrupted_requests(
    deployment: Deployment,
) -> None:
    stopping = deployment.gateways["dakar-1"]
    deployment.endpoints["dakar-engine-1"].fault(hold_at_event=5)
    answers: list[Answer | StreamedAnswer] = []
    thread = start_interrupted_chat(stopping, answers)
    stopping.terminate()
    wait_until(
        lambda: request(stopping.address, "GET", "/readyz").status == 503, "the gateway drains"
    )
    stopping.terminate()
    code = stopping.wait()
    thread.join()

    stop_events = [row for row in stopping.log_lines() if row.get("event") == 1005]
    assert not [answer for answer in answers if is_success(answer)]
    assert code == 1
    assert stop_events[0]["open_requests"] == 1


def is_success(answer: Answer | StreamedAnswer) -> bool:
    return answer.is_complete() if isinstance(answer, StreamedAnswer) else answer.status < 400


def start_interrupted_chat(
    process: Process, answers: list[Answer | StreamedAnswer]
) -> threading.Thread:
    def run() -> None:
        try:
            answers.append(chat(process.address, SHOP, "small", "held", 10))
        except CallFailedError:  # the test interrupts the connection on purpose
            return

    thread = threading.Thread(target=run)
    thread.start()
    wait_until(
        lambda: gateway_state(process)["gateway"]["open_requests"] == 1, "the request is open"
    )
    return thread
