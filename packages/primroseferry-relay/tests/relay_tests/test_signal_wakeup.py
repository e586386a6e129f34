"""Signals end the main thread's wait, also those that another thread receives."""

from __future__ import annotations

import os
import resource
import signal
import threading
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_relay.lifecycle.signal_wakeup import SignalWakeup

if TYPE_CHECKING:
    from collections.abc import Iterator

WAIT_S = 20.0


@pytest.fixture
def received() -> Iterator[list[int]]:
    numbers: list[int] = []
    before = signal.signal(signal.SIGUSR1, lambda number, _frame: numbers.append(number))
    yield numbers
    signal.signal(signal.SIGUSR1, before)


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Occupy so many descriptors that those opened next are beyond the limit of ``select``."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 4_096), hard))
    files = [os.open(os.devnull, os.O_RDONLY) for _ in range(1_100)]
    yield
    for file in files:
        os.close(file)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_signal_that_another_thread_receives_ends_the_wait(
    received: list[int], many_descriptors: None
) -> None:
    wakeup = SignalWakeup()
    is_over = threading.Event()
    thread = threading.Thread(target=is_over.wait)
    thread.start()

    def send() -> None:
        time.sleep(0.2)
        assert thread.ident is not None
        signal.pthread_kill(thread.ident, signal.SIGUSR1)

    sender = threading.Thread(target=send)
    sender.start()
    started_s = time.monotonic()
    try:
        wakeup.wait(WAIT_S)
    finally:
        # A signal after the handler is restored would end the process.
        sender.join()
        is_over.set()
        thread.join()
        wakeup.close()
    assert received == [signal.SIGUSR1]
    assert time.monotonic() - started_s < WAIT_S / 2


def test_wait_without_a_signal_ends_at_its_limit(received: list[int]) -> None:
    wakeup = SignalWakeup()
    wakeup.wait(0.01)
    assert received == []
    wakeup.close()
