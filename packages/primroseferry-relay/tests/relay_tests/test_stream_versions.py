"""A stream goes on at the software version that began it, and at no other."""

from __future__ import annotations

import json
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import SoftwareVersion
from primroseferry_relay.control.control_state import ControlState
from primroseferry_relay.control.peer_sync import PeerSync
from primroseferry_relay.control.watch_duty import WatchDuty
from primroseferry_relay.endpoints.software_version import version_hash
from primroseferry_relay.endpoints.version_history import ACTIVATION_DELAY_S
from primroseferry_relay.forwarding.hop import OUTCOME_HEADER
from primroseferry_relay.forwarding.hop_server import HopServer
from primroseferry_relay.ingress.listener import Listener
from primroseferry_relay.request_run import MAX_NEW_STREAM_RETRY_AFTER_S
from primroseferry_relay.streams.resumptions import OriginSource

from .peer_samples import SOUTH
from .relay_harness import LIMITS
from .relay_harness import NORTH
from .relay_harness import RelayHarness
from .relay_harness import TestAdapter
from .relay_harness import read_all
from .scripted_endpoint import Received
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import chunk
from .scripted_endpoint import reset
from .scripted_endpoint import stream_head
from .test_hop_server import HOP_REQUEST
from .test_hop_server import INCARNATION
from .test_hop_server import send_hop
from .test_partition import add_remote_gateway
from .test_relay import body_of
from .test_relay import status_of
from .test_route_table import SERVICE

if TYPE_CHECKING:
    import socket

    from primroseferry_transport.curl_loop import CurlLoop

V1 = version_hash(SERVICE.name, SoftwareVersion("v1"))
V2 = version_hash(SERVICE.name, SoftwareVersion("v2"))
BOTH = ("v1", "v2")
LAST_EVENT = 6


def streaming_endpoint(version: str, breaks_after: int = 0) -> ScriptedEndpoint:
    """Return an endpoint whose events name its version; new streams break off after some events."""

    def script(connection: socket.socket, request: Received) -> None:
        first = int(request.header("last-event-id") or 0) + 1
        last = breaks_after if breaks_after and first == 1 else LAST_EVENT
        connection.sendall(stream_head(request))
        for number in range(first, last + 1):
            connection.sendall(chunk(b"id: %d\ndata: %b\n\n" % (number, version.encode())))
        if last == LAST_EVENT:
            connection.sendall(b"0\r\n\r\n")
            return
        time.sleep(0.05)
        reset(connection)

    return ScriptedEndpoint(script)


def versions_of(data: bytes) -> set[str]:
    lines = body_of(data).decode().splitlines()
    return {line.removeprefix("data: ") for line in lines if line.startswith("data: ")}


def take_up(harness: RelayHarness, request_id: str, resumes: str, after: int = 2) -> bytes:
    headers = f"X-Id: {request_id}\r\nX-First-Id: {resumes}\r\nLast-Event-Id: {after}\r\n"
    return call(harness, headers)


def begin(harness: RelayHarness, request_id: str) -> bytes:
    return call(harness, f"X-Id: {request_id}\r\n")


def call(harness: RelayHarness, headers: str) -> bytes:
    body = headers.encode()  # Requests that differ are not quarantined together.
    headers += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    with harness.connect() as connection:
        head = f"POST /resumable/ HTTP/1.1\r\nHost: a.example\r\n{headers}"
        connection.sendall(head.encode("latin-1") + body)
        return read_all(connection)


def pair(loop: CurlLoop, breaks_after: int = 0) -> RelayHarness:
    endpoints = [streaming_endpoint(version, breaks_after) for version in BOTH]
    return RelayHarness(loop, endpoints, versions=BOTH)


def test_broken_stream_does_not_go_on_at_another_version(loop: CurlLoop) -> None:
    for _ in range(4):
        data = begin(pair(loop, breaks_after=2), "r1")
        assert len(versions_of(data)) == 1
        assert not data.endswith(b"0\r\n\r\n")


def test_broken_stream_goes_on_at_its_version(loop: CurlLoop) -> None:
    for _ in range(4):
        endpoints = [streaming_endpoint(version, breaks_after=2) for version in (*BOTH, *BOTH)]
        data = begin(RelayHarness(loop, endpoints, versions=BOTH), "r1")
        assert len(versions_of(data)) == 1
        assert data.endswith(b"0\r\n\r\n")


def test_stream_taken_up_goes_on_at_its_version(loop: CurlLoop) -> None:
    for _ in range(4):
        harness = pair(loop, breaks_after=2)
        versions = versions_of(begin(harness, "r1"))
        assert len(versions) == 1
        assert versions_of(take_up(harness, "r2", "r1")) == versions
        resumption = harness.wait_records(2)[1].resumption
        assert resumption is not None
        assert resumption.source is OriginSource.OWN


def test_stream_that_failed_before_its_first_event_is_bound_by_the_one_that_brought_it(
    loop: CurlLoop,
) -> None:
    silent = ScriptedEndpoint(lambda connection, _request: reset(connection))
    for _ in range(4):
        harness = RelayHarness(loop, [silent, streaming_endpoint("v2")], versions=BOTH)
        assert versions_of(begin(harness, "r1")) == {"v2"}
        assert versions_of(take_up(harness, "r2", "r1")) == {"v2"}


def test_stream_of_an_unknown_version_is_refused_at_once(loop: CurlLoop) -> None:
    harness = pair(loop)
    started_s = time.monotonic()
    for resumes in ("elsewhere", "", "\xe9\x7f" * 40):
        data = take_up(harness, "r1", resumes)
        assert status_of(data) == 503
        assert b'"ran": "no"' in data
        assert json.loads(body_of(data))["retry_after_s"] <= MAX_NEW_STREAM_RETRY_AFTER_S
    assert time.monotonic() - started_s < 1


def test_stream_of_the_only_version_goes_on_though_its_origin_is_not_known(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [streaming_endpoint("v1")], versions=("v1",))
    assert status_of(take_up(harness, "r0", "elsewhere")) == 503
    harness.confirm_view()
    assert status_of(take_up(harness, "r1", "elsewhere")) == 200
    assert status_of(take_up(harness, "r2", "")) == 200


def test_stream_of_a_version_that_left_before_a_restart_is_refused(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [streaming_endpoint("v2")], versions=("v2",))
    harness.record_version(V1)
    harness.confirm_view()
    assert status_of(take_up(harness, "r1", "elsewhere")) == 503


def test_stream_of_a_version_that_is_gone_is_refused_at_once(loop: CurlLoop) -> None:
    harness = pair(loop, breaks_after=2)
    (version,) = versions_of(begin(harness, "r1"))
    name = EndpointId(f"e-{BOTH.index(version)}")
    harness.catalog.remove(name)
    data = take_up(harness, "r2", "r1")
    assert status_of(data) == 503
    assert b"no endpoint of the software version that began the stream" in data


def test_third_try_names_the_first_request_that_brought_an_event(loop: CurlLoop) -> None:
    harness = pair(loop, breaks_after=2)
    versions = versions_of(begin(harness, "r1"))
    for number in (2, 3, 4):
        assert versions_of(take_up(harness, f"r{number}", "r1", after=number)) == versions
        assert versions_of(take_up(harness, f"r{number}x", f"r{number}", after=5)) == versions


def test_id_that_began_streams_of_two_versions_resumes_neither(loop: CurlLoop) -> None:
    harness = pair(loop)
    (version,) = versions_of(begin(harness, "r1"))
    harness.drain(EndpointId(f"e-{BOTH.index(version)}"))
    assert versions_of(begin(harness, "r1")) == set(BOTH) - {version}
    assert status_of(take_up(harness, "r2", "r1")) == 503


def test_id_used_by_another_caller_is_another_stream(loop: CurlLoop) -> None:
    harness = pair(loop, breaks_after=2)
    call(harness, "X-Id: r1\r\nAuthorization: one\r\n")
    data = call(harness, "X-Id: r2\r\nAuthorization: two\r\nX-First-Id: r1\r\nLast-Event-Id: 2\r\n")
    assert status_of(data) == 503


def test_stream_of_an_endpoint_whose_entry_changed_meanwhile_is_not_resumed(loop: CurlLoop) -> None:
    def script(connection: socket.socket, request: Received) -> None:
        entry = harness.catalog.entries()[EndpointId("e-0")]
        harness.catalog.put(replace(entry, started_ms=2, version=SoftwareVersion("v2")))
        connection.sendall(stream_head(request))
        connection.sendall(chunk(b"id: 1\ndata: v2\n\n"))
        time.sleep(0.05)
        reset(connection)

    harness = RelayHarness(loop, [ScriptedEndpoint(script)], versions=("v1",))
    assert b"id: 1" in begin(harness, "r1")
    harness.catalog.put(
        replace(harness.catalog.entries()[EndpointId("e-0")], endpoint=EndpointId("e-1"))
    )
    assert status_of(take_up(harness, "r2", "r1", after=1)) == 503


def test_new_version_begins_streams_only_after_others_know_of_it(loop: CurlLoop) -> None:
    harness = pair(loop)
    new = streaming_endpoint("v3")
    entry = harness.catalog.entries()[EndpointId("e-0")]
    time.sleep(ACTIVATION_DELAY_S + 0.1)
    harness.catalog.put(
        replace(
            entry,
            endpoint=EndpointId("e-9"),
            address=new.address,
            version=SoftwareVersion("v3"),
        )
    )
    assert all("v3" not in versions_of(begin(harness, f"r{number}")) for number in range(6))
    for name in ("e-0", "e-1"):
        harness.drain(EndpointId(name))
    assert versions_of(begin(harness, "r9")) == {"v3"}


def hop_listener(loop: CurlLoop, harness: RelayHarness) -> Listener:
    sync = PeerSync(loop, harness.peers, ControlState(lambda _item: None), WatchDuty(harness.peers))
    server = HopServer(
        NORTH, INCARNATION, loop, TestAdapter(), lambda: harness.table, harness.local, sync
    )
    listener = Listener("hops", "127.0.0.1", 0, server.serve, lambda: LIMITS, loop, 8)
    listener.start()
    return listener


RESUMABLE_HOP = replace(HOP_REQUEST, is_stream=True, is_resumable=True)


def test_hop_answers_with_the_version_that_began_the_stream(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [streaming_endpoint("v2")], versions=("v2",))
    listener = hop_listener(loop, harness)
    data = send_hop(harness, listener, RESUMABLE_HOP, "/resumable/")
    assert f"{OUTCOME_HEADER}: answered;version={V2:x}".encode() in data


def test_hop_goes_on_at_the_version_it_names_only(loop: CurlLoop) -> None:
    harness = pair(loop)
    listener = hop_listener(loop, harness)
    for number, version in enumerate((V1, V2) * 3):
        hop_request = replace(
            RESUMABLE_HOP, hop_id=f"h{number}", version=version, last_event_id="2"
        )
        data = send_hop(harness, listener, hop_request, "/resumable/")
        assert versions_of(data) == {BOTH[number % 2]}
    gone = replace(RESUMABLE_HOP, hop_id="h9", version=12345, last_event_id="2")
    assert b"X-Primroseferry-Outcome: refused" in send_hop(harness, listener, gone, "/resumable/")


@pytest.mark.parametrize("detail", ["", f";version={V2:x}", ";version=x", f";version={V1:x}"])
def test_answer_of_a_remote_gateway_is_joined_only_if_it_names_the_version(
    loop: CurlLoop, detail: str
) -> None:
    def remote_script(connection: socket.socket, request: Received) -> None:
        head = stream_head(request).replace(
            b"\r\n\r\n", f"\r\n{OUTCOME_HEADER}: answered{detail}\r\n\r\n".encode()
        )
        connection.sendall(head + chunk(b"id: 3\ndata: far\n\n") + b"0\r\n\r\n")

    remote = ScriptedEndpoint(remote_script)
    harness = RelayHarness(loop, [streaming_endpoint("v1", breaks_after=2)], versions=("v1",))
    far = replace(
        harness.catalog.entries()[EndpointId("e-0")], endpoint=EndpointId("s-0"), region=SOUTH
    )
    harness.catalog.put(far)
    add_remote_gateway(harness, remote)
    data = begin(harness, "r1")
    assert (b"data: far" in data) is (detail == f";version={V1:x}")
