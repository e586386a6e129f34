"""A gateway without a thread that it needs does not call itself ready."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import InstanceId
from primroseferry_relay.control.changes import ItemIgnored
from primroseferry_relay.control.metadata_store import StoredItem
from primroseferry_relay.control.metadata_store import StorePosition
from primroseferry_relay.lifecycle.relay_gateway import RelayGateway
from primroseferry_relay.lifecycle.settings import RelaySettings
from primroseferry_relay.lifecycle.settings import RetryLimits
from primroseferry_relay.membership.peer import GatewayState

from .in_memory_store import InMemoryStore
from .peer_samples import NORTH
from .relay_harness import TestAdapter
from .relay_harness import read_all
from .relay_harness import request_bytes
from .test_directory import PlainAdapter
from .test_relay import status_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_relay.control.changes import ControlChange
    from primroseferry_relay.ingress.listener import Listener

HOST = "127.0.0.1"
SETTINGS = RelaySettings(
    instance=InstanceId("g-1"),
    region=NORTH,
    failure_domain=FailureDomainId("d"),
    host=HOST,
    front_port=0,
    ready_port=0,
    directory_port=0,
    hop_port=0,
    report_port=0,
    metrics_port=None,
    seeds=(),
    retry_limits=RetryLimits(10.0, 0.2, 10.0),
    stop_timeout_ms=1_000,
    max_connections=16,
)


class NoItems:
    prefixes = ()

    def decode(self, item: StoredItem) -> ControlChange:
        return ItemIgnored(item.key)


@pytest.fixture
def gateway() -> Iterator[RelayGateway]:
    started = RelayGateway(
        SETTINGS, lambda _loop: InMemoryStore(), NoItems(), TestAdapter(), PlainAdapter()
    )
    started.start()
    started._peers.own_state = GatewayState.READY
    yield started
    for listener in (started._front_listener, started._hop_listener, *started._other_listeners):
        listener.stop_accepting()
    started._reporter.stop()
    started._registration.stop()
    started._loop.close()


def fail(*_arguments: object) -> None:
    raise SystemExit


def fail_to_accept(listener: Listener, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "_admit", fail)
    socket.create_connection((HOST, listener.port)).close()


def readiness(gateway: RelayGateway) -> int:
    ready = gateway._other_listeners[0]
    with socket.create_connection((HOST, ready.port), timeout=5) as connection:
        connection.sendall(request_bytes("/ready", headers="Connection: close\r\n"))
        return status_of(read_all(connection))


@pytest.mark.parametrize("part", ["_loop", "_front_listener", "_hop_listener", "_reporter"])
def test_gateway_whose_thread_fails_is_not_ready_within_a_second(
    gateway: RelayGateway, monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    thread = getattr(gateway, part)._thread
    run = thread._run
    assert readiness(gateway) == 200

    monkeypatch.setattr(thread, "_run", fail)
    match part:
        case "_loop":
            gateway._loop.run_soon(fail)
        case "_reporter":
            monkeypatch.setattr(gateway._reporter._exchange, "tick", fail)
        case _:
            fail_to_accept(getattr(gateway, part), monkeypatch)
    time.sleep(1.0)
    assert readiness(gateway) == 503

    monkeypatch.undo()
    assert thread._run == run
    time.sleep(1.0)
    assert readiness(gateway) == 200


def test_position_that_a_listing_revealed_is_told_to_peers(gateway: RelayGateway) -> None:
    gateway._state.apply(StoredItem("a", b"1", 1, era=2))
    gateway._state.apply_listing("", [], as_of=3, era=2)
    assert gateway._state.position == StorePosition(2, 3, 1)
    assert gateway._local_state("x").control.position == gateway._state.position
