"""Tells endpoints that this gateway cannot reach from those that fail requests.

An endpoint whose circuit is open, or that leaves requests unanswered, gets pings: requests that it
answers without running them. One that does not answer a ping is unreachable and gets no requests
until it answers one. A gateway that can reach no endpoint of its region is partitioned from them,
or they are all down; its requests go through other gateways.

The same pings show that an endpoint's process still runs after an answer that ended with its
connection.
"""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.breaker import BreakerState
from primroseferry_transport.calls import HttpCall
from primroseferry_transport.port_probe import PortState
from primroseferry_transport.port_probe import probe_port
from result import Ok

from .unanswered_requests import UnansweredRequests

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primroseferry_core.ids import RegionId
    from primroseferry_policy.breaker import Breakers
    from primroseferry_transport.calls import Header
    from primroseferry_transport.curl_loop import CurlLoop
    from primroseferry_transport.curl_loop import HttpResult
    from primroseferry_transport.curl_loop import PendingCall

    from ..endpoint_adapter import EndpointAdapter
    from .catalog import EndpointCatalog
    from .endpoint import Endpoint
    from .endpoint import EndpointRun

HTTP_OK = 200
# Status of an endpoint that is not the one for which a request was meant.
OTHER_ENDPOINT_STATUS = 421
PING_INTERVAL_S = 0.5
PING_CONNECT_TIMEOUT_MS = 400
PING_TIMEOUT_MS = 800
# An endpoint that answers a ping with more does not answer sensibly, and gets no requests.
MAX_PING_BODY_BYTES = 64 * 1024
# Pings at one time. After an answer the others are likely to answer too.
MAX_PINGS = 4
MAX_PINGS_AFTER_AN_ANSWER = 32
MAX_SUSPECT_PINGS = 32
# Pings after an answer without a length or chunks, and the time between them. The kernel of an
# ending process may still accept a connection, and a full endpoint may reset one.
MAX_PINGS_AFTER_AN_END = 2
PING_RETRY_DELAY_S = 0.05
MIN_PING_TIMEOUT_MS = 50
MAX_PING_TIMEOUT_AFTER_AN_END_MS = 300


@dataclass(frozen=True, slots=True)
class HealthAnswer:
    """What an endpoint answered when it was asked for its health.

    ``cold_ms`` is how many ms it stays cold, ``None`` if the answer does not tell.
    """

    cold_ms: float | None


class EndpointReach:
    """Which endpoints of the own region this gateway can reach."""

    def __init__(
        self,
        region: RegionId,
        loop: CurlLoop,
        adapter: EndpointAdapter,
        catalog: EndpointCatalog,
        breakers: Breakers,
        health_path: Callable[[Endpoint], str] = lambda _endpoint: "/",
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._region = region
        self._loop = loop
        self._adapter = adapter
        self._catalog = catalog
        self._breakers = breakers
        self._health_path = health_path
        self._clock_s = clock_s
        self.unanswered = UnansweredRequests(clock_s)
        self._unreachable: set[EndpointRun] = set()
        self._in_flight: set[EndpointRun] = set()
        self._next_ping_s = float("-inf")
        self._suspect_pings_s: dict[EndpointRun, float] = {}
        self._was_answered = False
        self._is_partitioned = False
        self._lock = threading.Lock()
        # Called with an endpoint that says in an answer to a ping for how many ms it stays cold.
        self.on_cold: Callable[[Endpoint, float], None] = lambda _endpoint, _cold_ms: None
        # Called with an endpoint that leaves a ping unanswered and answered the one before.
        self.on_became_unreachable: Callable[[Endpoint], None] = lambda _endpoint: None

    @property
    def is_partitioned(self) -> bool:
        """Whether this gateway reaches no endpoint of its region."""
        return self._is_partitioned

    def is_reachable(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint may get requests: it has not left a ping unanswered."""
        return endpoint.run not in self._unreachable

    def outlives_answer(self, endpoint: Endpoint, remaining_ms: float, may_ping: bool) -> bool:
        """Whether a run of an endpoint still runs, after an answer that ended with its connection.

        Blocks until the endpoint answers a ping or its port, some time after the answer, accepts a
        connection. What its entry says is no evidence: one that is leaving or was removed may have
        finished the answer or have ended amid it. Only another run in its place is. Without
        ``may_ping`` only the port is looked at: the endpoint rejects a ping.
        """
        listed = self._catalog.find(endpoint.endpoint)
        if listed is not None and listed.run != endpoint.run:
            return False
        if may_ping and self._answers_ping(endpoint, remaining_ms):
            return True
        time.sleep(PING_RETRY_DELAY_S)
        return probe_port(endpoint.address) is PortState.LISTENING

    def unreachable(self) -> list[str]:
        """Return the names of the endpoints that left a ping unanswered."""
        with self._lock:
            return sorted(run.endpoint for run in self._unreachable)

    def ask_health(
        self, endpoint: Endpoint, on_answer: Callable[[HealthAnswer | None], None]
    ) -> None:
        """Ask an endpoint for its health without blocking; no answer gives ``None``.

        An endpoint without a path for its health gets a ping, whose answer tells nothing of it.
        """
        path = self._health_path(endpoint)
        adapter = self._adapter
        if path:
            headers = adapter.health_headers(endpoint.endpoint)
        else:
            headers = adapter.ping_headers(endpoint.endpoint)
        pending = self._send_request(endpoint, headers, PING_TIMEOUT_MS)
        pending.future.add_done_callback(
            lambda future: on_answer(self._health_answer(future.result(), bool(path)))
        )

    def _health_answer(self, result: HttpResult, has_path: bool) -> HealthAnswer | None:
        if not isinstance(result, Ok):
            return None
        reply = result.ok_value
        cold_ms = self._adapter.read_reply(reply.header_lines).cold_ms
        if reply.status == HTTP_OK:
            return HealthAnswer(cold_ms or 0.0)
        if has_path and reply.status == OTHER_ENDPOINT_STATUS:
            return None
        return HealthAnswer(cold_ms)

    def tick(self) -> None:
        """Send the pings that are due; called many times a second, never blocks."""
        now_s = self._clock_s()
        self._ping_suspects(now_s)
        if now_s < self._next_ping_s:
            return
        self._next_ping_s = now_s + PING_INTERVAL_S
        states = self._breakers.states()
        has_open_circuits = any(state is not BreakerState.CLOSED for state in states.values())
        if not (has_open_circuits or self._unreachable or self._is_partitioned):
            return
        listed = {
            endpoint.run: endpoint
            for endpoint in self._catalog.entries().values()
            if endpoint.region == self._region
        }
        with self._lock:
            self._unreachable &= listed.keys()
            due = [
                endpoint
                for run, endpoint in listed.items()
                if run not in self._in_flight
                and (
                    run in self._unreachable
                    or states.get(run.endpoint, BreakerState.CLOSED) is not BreakerState.CLOSED
                )
            ]
            limit = MAX_PINGS_AFTER_AN_ANSWER if self._was_answered else MAX_PINGS
            self._was_answered = False
            chosen = random.sample(due, min(len(due), max(0, limit - len(self._in_flight))))
            self._in_flight.update(endpoint.run for endpoint in chosen)
        for endpoint in chosen:
            self._ping(endpoint)
        self._update_partition(listed.values())

    def _ping_suspects(self, now_s: float) -> None:
        suspects = [
            endpoint
            for endpoint in self.unanswered.suspects()
            if self._catalog.is_listed(endpoint.run)
        ]
        if not suspects:
            return
        with self._lock:
            self._suspect_pings_s = {
                run: sent_s
                for run, sent_s in self._suspect_pings_s.items()
                if now_s - sent_s < PING_INTERVAL_S
            }
            due = [
                endpoint
                for endpoint in suspects
                if endpoint.run not in self._in_flight and endpoint.run not in self._suspect_pings_s
            ]
            chosen = due[: max(0, MAX_SUSPECT_PINGS - len(self._in_flight))]
            self._in_flight.update(endpoint.run for endpoint in chosen)
            self._suspect_pings_s.update((endpoint.run, now_s) for endpoint in chosen)
        for endpoint in chosen:
            self._ping(endpoint)

    def _ping(self, endpoint: Endpoint) -> None:
        self.unanswered.begin_ping(endpoint.run)
        pending = self._send_ping(endpoint, PING_TIMEOUT_MS)
        pending.future.add_done_callback(lambda future: self._note_ping(endpoint, future.result()))

    def _answers_ping(self, endpoint: Endpoint, remaining_ms: float) -> bool:
        until_s = time.monotonic() + remaining_ms / 1000
        for attempt in range(MAX_PINGS_AFTER_AN_END):
            if attempt > 0:
                time.sleep(PING_RETRY_DELAY_S)
            left_ms = int((until_s - time.monotonic()) * 1000)
            timeout_ms = max(MIN_PING_TIMEOUT_MS, min(MAX_PING_TIMEOUT_AFTER_AN_END_MS, left_ms))
            if isinstance(self._send_ping(endpoint, timeout_ms).future.result(), Ok):
                return True
        return False

    def _send_ping(self, endpoint: Endpoint, timeout_ms: int) -> PendingCall:
        headers = self._adapter.ping_headers(endpoint.endpoint)
        return self._send_request(endpoint, headers, timeout_ms)

    def _send_request(
        self, endpoint: Endpoint, headers: Sequence[Header], timeout_ms: int
    ) -> PendingCall:
        call = HttpCall(
            "GET",
            f"http://{endpoint.address}/",
            headers=tuple(headers),
            connect_timeout_ms=min(PING_CONNECT_TIMEOUT_MS, timeout_ms),
            timeout_ms=timeout_ms,
            is_repeatable=False,
            max_body_bytes=MAX_PING_BODY_BYTES,
            target=self._health_path(endpoint) or "/",
            omits_default_headers=True,
        )
        return self._loop.submit(call)

    def _note_ping(self, endpoint: Endpoint, result: HttpResult) -> None:
        is_answered = isinstance(result, Ok)
        if isinstance(result, Ok):
            cold_ms = self._adapter.read_reply(result.ok_value.header_lines).cold_ms
            if cold_ms:
                self.on_cold(endpoint, cold_ms)
        is_silent = self.unanswered.end_ping(endpoint.run)
        with self._lock:
            self._in_flight.discard(endpoint.run)
            if not is_answered and not is_silent:
                return
            was_unreachable = endpoint.run in self._unreachable
            if is_answered:
                self._was_answered = True
                self._unreachable.discard(endpoint.run)
            else:
                self._unreachable.add(endpoint.run)
        if not is_answered and not was_unreachable:
            self.on_became_unreachable(endpoint)
        if is_answered and was_unreachable and self._catalog.is_listed(endpoint.run):
            self._breakers.succeed(endpoint.endpoint)
        if is_answered is was_unreachable:
            log_event(
                Event.ENDPOINT_REACH_CHANGED,
                endpoint=endpoint.endpoint,
                is_reachable=int(is_answered),
            )

    def _update_partition(self, listed: Iterable[Endpoint]) -> None:
        available = [endpoint for endpoint in listed if self._catalog.is_available(endpoint)]
        unreachable = sum(endpoint.run in self._unreachable for endpoint in available)
        is_partitioned = bool(available) and unreachable == len(available)
        if is_partitioned is not self._is_partitioned:
            self._is_partitioned = is_partitioned
            log_event(
                Event.GATEWAY_PARTITIONED if is_partitioned else Event.GATEWAY_PARTITION_ENDED,
                unreachable=unreachable,
                listed=len(available),
            )
