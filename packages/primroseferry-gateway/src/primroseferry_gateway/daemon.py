"""Builds the components of a gateway process, starts them and stops them gracefully."""

from __future__ import annotations

import logging
import os
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING
from typing import NoReturn

from primroseferry_core.events import Event
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import new_incarnation_id
from primroseferry_core.logs import configure_logs
from primroseferry_core.logs import log_event
from primroseferry_once.table import OnceTable
from primroseferry_peers.exchanger import Exchanger
from primroseferry_peers.exchanger import SelfIdentity
from primroseferry_peers.fact_store import FactStore
from primroseferry_peers.loop_thread import LoopThread
from primroseferry_peers.peer_client import PeerClient
from primroseferry_peers.peer_server import PeerServer
from primroseferry_peers.proto.peer_pb2 import CRASH_BLAME
from primroseferry_peers.proto.peer_pb2 import ENDPOINT_LOAD
from primroseferry_peers.proto.peer_pb2 import GATEWAY
from primroseferry_peers.proto.peer_pb2 import REGION_LOAD
from primroseferry_peers.proto.peer_pb2 import Fact
from primroseferry_peers.proto.peer_pb2 import FetchPlansReply
from primroseferry_peers.proto.peer_pb2 import GatewayFact
from primroseferry_platform.client_directory import ClientDirectory
from primroseferry_platform.instance_list import InstanceListClient
from primroseferry_platform.key_value import KeyValueClient
from primroseferry_policy.routing_policy import ROUTING_POLICIES
from primroseferry_transport.curl_loop import CurlLoop
from primroseferry_transport.serving import HttpServer
from primroseferry_transport.serving import ServerLimits

from .at_most_once import AtMostOnceService
from .chat import ChatService
from .chat_route import ChatRoute
from .claim_store import KeyValueClaims
from .crash_watch import CrashWatch
from .decisions import DecisionLog
from .engine_orders import EngineOrders
from .entry import EntryDirectory
from .fleet import FleetView
from .forward_client import ForwardClient
from .forward_server import ForwardServer
from .hand_over import HandOver
from .http_api import HttpApi
from .load_poller import LoadPoller
from .load_poller import load_report
from .metrics import Metrics
from .operation_dispatch import OperationDispatcher
from .operation_lookup import OperationLookup
from .peer_selector import PeerSelector
from .plan_manager import PlanManager
from .policy_state import PolicyState
from .request_intake import RequestIntake
from .service_route import ServiceRoute
from .services import ServiceCalls
from .state import StateDump
from .targets import TargetSelector
from .targets import region_circuit_key
from .targets import region_load_key
from .work_gate import WorkGate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseferry_peers.proto.peer_pb2 import ExchangeReply
    from primroseferry_peers.proto.peer_pb2 import ExchangeRequest
    from primroseferry_peers.proto.peer_pb2 import FetchPlansRequest
    from primroseferry_peers.proto.peer_pb2 import ForwardEvent
    from primroseferry_peers.proto.peer_pb2 import ForwardRequest
    from primroseferry_peers.proto.peer_pb2 import HandOverReply
    from primroseferry_peers.proto.peer_pb2 import HandOverRequest

    from .settings import GatewaySettings

HEARTBEAT_S = 5.0
HEARTBEAT_TTL_MS = 15_000
PRE_CLOSE_DELAY_S = 0.5
SIGNAL_CHECK_S = 0.25
CLAIM_TIMEOUT_MS = 1_500
THREAD_STACK_BYTES = 512 * 1024
SWITCH_INTERVAL_S = 0.001


class Gateway:
    """The components of one gateway process."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        incarnation = new_incarnation_id()
        self.identity = SelfIdentity(settings.instance, incarnation, settings.region)
        self._loop = CurlLoop("gateway")
        self._peer_loop = LoopThread("peers")
        self._peers = PeerClient()
        self._metrics = Metrics()
        self._gate = WorkGate()
        self._decisions = DecisionLog()
        self._facts = FactStore(settings.region)
        instance_list = InstanceListClient(self._loop, settings.directory_address, settings.region)
        self._fleet = FleetView(self.identity, instance_list, self._facts)
        key_value = KeyValueClient(self._loop, settings.key_value_address)
        self._plans = PlanManager(
            key_value, self._peers, self._peer_loop, self._fleet, self._push_plans
        )
        self._exchanger = Exchanger(
            self.identity, self._peers, self._facts, self._fleet, self._plans
        )
        self._build_policy()
        self._build_services(key_value)
        self._build_servers()
        self._facts.add_listener(self._apply_fact)
        self._stop_signals = 0
        self._stopping = threading.Event()
        self._drain_aborted = threading.Event()

    def _build_policy(self) -> None:
        self._policy = PolicyState()
        self._crashes = CrashWatch(
            self.identity, self._policy.quarantine, self._facts, self._exchanger, self._fleet
        )
        self._poller = LoadPoller(
            self.identity,
            self._loop,
            self._fleet,
            self._facts,
            self._exchanger,
            self._policy.loads,
            self._policy.breakers,
            self._settings.load_poll_ms,
        )
        policy = ROUTING_POLICIES[self._settings.routing_policy]
        self._targets = TargetSelector(
            self._fleet, self._policy.loads, self._policy.breakers, policy
        )

    def _build_services(self, key_value: KeyValueClient) -> None:
        settings = self._settings
        self._table = OnceTable(self.identity.incarnation, settings.once_retention_s)
        forwards = ForwardClient(self._peers, self._peer_loop, settings)
        peers = PeerSelector(self._fleet)
        self._chat = ChatService(
            settings,
            self._loop,
            peers,
            self._targets,
            self._policy,
            self._crashes,
            forwards,
            self._metrics,
        )
        self._services = ServiceCalls(
            self._loop,
            peers,
            self._targets,
            self._policy,
            forwards,
            self._metrics,
        )
        claim_service = KeyValueClient(
            self._loop, settings.key_value_address, CLAIM_TIMEOUT_MS, CLAIM_TIMEOUT_MS
        )
        self._dispatcher = OperationDispatcher(self._table, self._targets, self._services)
        self._at_most_once = AtMostOnceService(
            self.identity,
            self._table,
            KeyValueClaims(claim_service, settings.once_retention_s),
            self._facts,
            self._fleet,
            self._dispatcher,
            OperationLookup(self._fleet, self._services),
            forwards,
        )
        self._engine_orders = EngineOrders(
            self.identity,
            self._loop,
            key_value,
            self._fleet,
            self._plans,
            settings.weight_loads_per_minute,
        )
        self._hand_over = HandOver(
            self.identity,
            self._table,
            self._peers,
            self._peer_loop,
            self._fleet,
            self._facts,
            self._exchanger,
            settings.once_retention_s,
        )

    def _build_servers(self) -> None:
        settings = self._settings
        self._forward_server = ForwardServer(
            settings.region,
            self._plans,
            self._gate,
            self._decisions,
            self._chat,
            self._services,
            self._at_most_once,
            self._dispatcher,
        )
        state = StateDump(
            self.identity,
            settings,
            self._plans,
            self._fleet,
            self._facts,
            self._exchanger,
            self._gate,
            self._policy,
            self._table,
            self._decisions,
            self._metrics,
        )
        clients = ClientDirectory(self._loop, settings.directory_address)
        intake = RequestIntake(
            settings,
            clients,
            self._fleet,
            self._plans,
            self._gate,
            self._policy.capacity,
            self._decisions,
            self._metrics,
        )
        api = HttpApi(
            intake,
            ChatRoute(intake, self._chat, self._loop, settings.default_chat_timeout_ms),
            ServiceRoute(
                intake, self._services, self._at_most_once, settings.default_service_timeout_ms
            ),
            EntryDirectory(self.identity, self._fleet, self._gate),
            self._plans,
            self._gate,
            self._decisions,
            self._metrics,
            state,
        )
        limits = ServerLimits(
            max_connections=settings.max_connections,
            max_head_bytes=settings.max_head_bytes,
            max_body_bytes=settings.max_body_bytes,
            receive_timeout_ms=settings.receive_timeout_ms,
        )
        self._http = HttpServer(settings.host, settings.port, api.router().handle, limits)
        self._peer_server = PeerServer(self, settings.host, settings.peer_port)

    def start(self) -> None:
        """Open the ports and start the background tasks."""
        self._peer_loop.submit(self._peer_server.start()).result(5)
        self._fleet.start()
        self._plans.start()
        self._poller.start()
        self._engine_orders.start()
        self._peer_loop.submit(self._exchanger.run())
        threading.Thread(target=self._run_heartbeat, name="heartbeat", daemon=True).start()
        self._http.start()
        log_event(
            Event.GATEWAY_STARTED,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            region=self.identity.region,
            port=self._http.port,
            peer_port=self._peer_server.port,
        )

    def stop(self) -> bool:
        """Stop gracefully; ``False`` if in-flight requests did not complete in time.

        The gateway rejects new work, waits for in-flight requests and hands over its at-most-once
        table before it closes the ports. The wait ends after ``drain_timeout_ms`` or on a second
        stop signal.
        """
        log_event(Event.DRAIN_STARTED, open_requests=self._gate.open_requests)
        limit_s = time.monotonic() + self._settings.drain_timeout_ms / 1000
        self._gate.close()
        self._table.seal()
        self._publish_heartbeat()
        self._exchanger.push_soon()
        is_finished = self._wait_finished(limit_s)
        self._hand_over.send_table()
        time.sleep(PRE_CLOSE_DELAY_S)
        unfinished = self._gate.open_requests
        if is_finished and unfinished == 0:
            log_event(Event.DRAIN_FINISHED)
        else:
            log_event(Event.DRAIN_INCOMPLETE, open_requests=unfinished)
        self._http.stop()
        self._plans.stop()
        self._poller.stop()
        self._engine_orders.stop()
        self._fleet.stop()
        return is_finished

    def run(self) -> int:
        """Run until SIGTERM or SIGINT; return the exit code, 1 if requests were cut off."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self.start()
        threading.Thread(target=self._log_ready, name="ready", daemon=True).start()
        # The wait needs a timeout: a signal that the kernel delivers to another thread does not
        # wake the main thread, and Python runs signal handlers only there.
        while not self._stopping.wait(SIGNAL_CHECK_S):
            continue
        return 0 if self.stop() else 1

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Answer an exchange of facts that a peer started."""
        return await self._exchanger.answer(request)

    async def fetch_plans(self, request: FetchPlansRequest) -> FetchPlansReply:
        """Return the revision in force, with the plans if it is newer than the peer's."""
        revision = self._plans.held_revision()
        if revision <= request.held_revision:
            return FetchPlansReply(revision=revision)
        return FetchPlansReply(revision=revision, stored=self._plans.stored())

    async def hand_over(self, request: HandOverRequest) -> HandOverReply:
        """Receive a part of a stopping peer's at-most-once table."""
        return await self._hand_over.receive_part(request)

    def forward(self, request: ForwardRequest) -> AsyncIterator[ForwardEvent]:
        """Serve a request that a peer forwards; see :class:`ForwardServer`."""
        return self._forward_server.serve(request, self._peer_loop.loop)

    def _on_signal(self, _number: int, _frame: object) -> None:
        self._stop_signals += 1
        if self._stop_signals > 1:
            self._drain_aborted.set()
        self._stopping.set()

    def _wait_finished(self, limit_s: float) -> bool:
        """Wait for in-flight requests and dispatches; ``False`` on time-out or a second signal."""
        while time.monotonic() < limit_s and not self._drain_aborted.is_set():
            if self._gate.wait_empty(0.1) and self._table.count_open() == 0:
                return True
        return False

    def _log_ready(self) -> None:
        while not self._plans.is_loaded:
            if self._stopping.wait(0.02):
                return
        log_event(Event.GATEWAY_READY, revision=self._plans.held_revision())

    def _run_heartbeat(self) -> None:
        while True:
            self._publish_heartbeat()
            time.sleep(HEARTBEAT_S)

    def _publish_heartbeat(self) -> None:
        fact = Fact(
            kind=GATEWAY,
            subject=self.identity.instance,
            region=self.identity.region,
            version=time.time_ns() // 1_000_000,
            ttl_ms=HEARTBEAT_TTL_MS,
            gateway=GatewayFact(
                instance=self.identity.instance,
                incarnation=self.identity.incarnation,
                draining=self._gate.is_closed,
            ),
        )
        self._facts.accept([fact])

    def _push_plans(self) -> None:
        self._exchanger.push_soon()

    def _apply_fact(self, fact: Fact) -> None:
        match fact.kind:
            case kind if kind == ENDPOINT_LOAD:
                self._policy.loads.report(fact.subject, load_report(fact.load))  # type: ignore[arg-type]
            case kind if kind == REGION_LOAD:
                region = RegionId(fact.subject.partition("/")[0])
                self._policy.breakers.permit_trial_now(region_circuit_key(region))
                name = region_load_key(region, fact.subject.partition("/")[2])
                self._policy.loads.report(name, load_report(fact.load))
            case kind if kind == CRASH_BLAME:
                self._crashes.record_peer_blame(fact)
            case kind if kind == GATEWAY and fact.gateway.draining:
                self._exchanger.push_soon()


def run_gateway(settings: GatewaySettings) -> NoReturn:
    """Run a gateway until it receives a stop signal, then exit the process."""
    configure_logs(settings.log_level)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    code = Gateway(settings).run()
    logging.shutdown()
    # Threads of the pools may still run requests that were cut off. A normal exit would wait for
    # them.
    os._exit(code)
