"""Signals end the main thread's wait, also those that another thread receives."""

from __future__ import annotations

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


def test_signal_that_another_thread_receives_ends_the_wait(received: list[int]) -> None:
    wakeup = SignalWakeup()
    is_over = threading.Event()
    thread = threading.Thread(target=is_over.wait)
    thread.start()

    def send() -> None:
        time.sleep(0.2)
        assert thread.ident is not None
        signal.pthread_kill(thread.ident, signal.SIGUSR1)

    threading.Thread(target=send).start()
    started_s = time.monotonic()
    wakeup.wait(WAIT_S)
    assert received == [signal.SIGUSR1]
    assert time.monotonic() - started_s < WAIT_S / 2
    is_over.set()
    thread.join()
    wakeup.close()


def test_wait_without_a_signal_ends_at_its_limit(received: list[int]) -> None:
    wakeup = SignalWakeup()
    wakeup.wait(0.01)
    assert received == []
    wakeup.close()
