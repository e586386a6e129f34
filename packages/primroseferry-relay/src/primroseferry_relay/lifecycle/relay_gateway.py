"""Builds the relay gateway from its parts, starts it and stops it gracefully."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import threading
import time
from typing import TYPE_CHECKING
from typing import NoReturn

from primroseferry_core.batched_log import BatchedLogHandler
from primroseferry_core.events import Event
from primroseferry_core.ids import new_incarnation_id
from primroseferry_core.logs import configure_logs
from primroseferry_core.logs import dropped_lines
from primroseferry_core.logs import log_event
from primroseferry_policy.endpoint_profile import EndpointProfiles
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_transport.curl_loop import CurlLoop

from ..control.control_feed import ControlFeed
from ..control.control_state import ControlState
from ..control.counted_store import CountedStore
from ..control.metadata_store import START
from ..control.peer_sync import PeerSync
from ..control.quarantine_records import QuarantineRecords
from ..control.registration import Registration
from ..control.store_watch import StartDelay
from ..control.store_watch import StoreWatch
from ..control.stream_records import StreamRecords
from ..control.version_records import VersionRecords
from ..control.watch_duty import WatchDuty
from ..control.watch_duty import oldest_answer_age_ms
from ..endpoints.catalog import EndpointCatalog
from ..endpoints.endpoint_reach import EndpointReach
from ..endpoints.run_verification import RunVerification
from ..explanation import Explanation
from ..forwarding.hop_server import HopServer
from ..forwarding.region_attempts import RegionAttempts
from ..ingress.client_drops import ClientDrops
from ..ingress.directory import Directory
from ..ingress.listener import Listener
from ..ingress.parse_turns import ParseTurns
from ..ingress.request_bodies import RequestBodies
from ..local_attempts import LocalAttempts
from ..membership.exchange import LocalState
from ..membership.peer import ControlStatus
from ..membership.peer import GatewayState
from ..membership.peer import Peer
from ..membership.peer import PeerAddress
from ..membership.peer import ServiceSummary
from ..membership.peer_feed import PeerFeed
from ..membership.peer_table import PeerTable
from ..membership.quota_leases import QuotaLeases
from ..membership.reporter import Reporter
from ..membership.request_permits import RequestPermits
from ..membership.stream_sync import StreamSync
from ..open_requests import Origin
from ..relay import Relay
from ..relay_policy import RelayPolicy
from ..request_run import RelayContext
from ..routes.service import CallerLimits
from ..streams.resumptions import Resumptions
from ..streams.stream_moves import StreamMoves
from ..streams.stream_origins import StreamOrigins
from .inspection import Inspection
from .process_limits import configure_heap
from .process_limits import process_limits
from .relay_metrics import RelayGauges
from .relay_metrics import RelayMetrics
from .signal_wakeup import SignalWakeup
from .state_dump import dump_endpoints
from .state_dump import dump_gateways
from .state_dump import dump_policy
from .stop_gate import StopGate

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import ServiceId

    from ..control.changes import ControlAdapter
    from ..control.metadata_store import MetadataStore
    from ..decision import DecisionRecord
    from ..endpoint_adapter import EndpointAdapter
    from ..endpoints.endpoint import Endpoint
    from ..ingress.directory import DirectoryAdapter
    from ..routes.workspace import WorkspaceDirectory
    from .settings import RelaySettings
    from .settings_file import SettingsFile

THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_S = 0.002
# Objects created at the start live as long as the process. Scanning all of them after every 700
# allocations, the default, would cost more than the requests that made the allocations.
GC_THRESHOLD = 20_000
# How often the settings file is checked for a change.
SETTINGS_CHECK_S = 0.25
# How long new connections are accepted after a stop signal, for callers that got this gateway's
# address before it.
ACCEPT_AFTER_STOP_S = 2.5
# How long kept-alive connections stay usable after a stop signal while they wait for a request.
IDLE_AFTER_STOP_S = 1.0
# Requests whose answer has not begun get a final one this long before the others are aborted.
FINAL_ANSWER_S = 0.3
# How long aborted requests may take to log how they ended.
ABORT_S = 0.1
DRAIN_CHECK_S = 0.02
# How long requests that are on their way may take to arrive when nothing is open any more.
LAST_ARRIVALS_S = 0.1
# In-flight requests are aborted this long before the stop timeout, so that the process can still
# end in time.
STOP_RESERVE_S = 0.4
DIRECTORY_MAX_CONNECTIONS = 256
# Requests that are logged one by one at the end of an incomplete stop.
MAX_LOGGED_REQUESTS = 50
INSPECTION_MAX_CONNECTIONS = 16
SUMMARY_MAX_AGE_S = 0.15
_DEFAULT_LIMITS = CallerLimits()


class RelayGateway:
    """A gateway process that serves requests according to a route table.

    ``make_store`` takes the HTTP loop and returns a client of the platform's store.
    """

    def __init__(
        self,
        settings: RelaySettings,
        make_store: Callable[[CurlLoop], MetadataStore],
        control_adapter: ControlAdapter,
        endpoint_adapter: EndpointAdapter,
        directory_adapter: DirectoryAdapter,
        settings_file: SettingsFile | None = None,
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._metrics = RelayMetrics()
        self._incarnation = new_incarnation_id()
        self._limits = process_limits(
            settings.memory_mb,
            settings.max_fds,
            settings.max_connections,
            DIRECTORY_MAX_CONNECTIONS,
        )
        self._loop = CurlLoop(
            "relay",
            self._limits.answer_bytes,
            self._limits.unsent_bytes,
            settings.client_limits.read_ahead_bytes,
        )
        self._bodies = RequestBodies(self._limits.request_bytes)
        self._drops = ClientDrops()
        self._parse_turns = ParseTurns()
        self._store = CountedStore(make_store(self._loop))
        self._address: PeerAddress | None = None
        self._watches: list[StoreWatch] = []
        self._summaries: dict[ServiceId, ServiceSummary] = {}
        self._summarized_s = 0.0
        self._is_stopping = False
        self._stop_gate = StopGate()
        self._open_requests = self._stop_gate.open_requests
        self._stop_signal_s: float | None = None
        limits = settings.retry_limits
        budget = SharedRetryBudget(
            limits.window_s,
            limits.ratio,
            limits.slack,
            is_replacement=not settings.is_first_start,
        )
        profiles = EndpointProfiles(switch=settings.capacity_switch)
        self._policy = RelayPolicy(budget, profiles=profiles)
        self._catalog = EndpointCatalog()
        self._peers = PeerTable(settings.instance, settings.region)
        self._permits = RequestPermits(self._policy.request_limits, self._peers)
        self._quotas = QuotaLeases(self._peers, self._workspaces, settings.region_count)
        records = QuarantineRecords(self._store, self._policy.quarantine, self._peers)
        self._records = records
        versions = VersionRecords(
            self._store, self._catalog, self._peers, lambda: self._feed.table()
        )
        origins = StreamOrigins()
        streams = StreamSync(origins, self._peers)
        self._resumptions = Resumptions(
            origins,
            self._catalog,
            versions,
            self._peers,
            streams,
            StreamRecords(self._store, origins, self._incarnation),
            lambda: bool(self._peers.peers_ahead_of(self._state.position)),
        )
        self._feed = ControlFeed(
            control_adapter, self._catalog, self._peers, self._policy, records, versions
        )
        self._state = ControlState(self._feed.apply, self._feed.apply_listing)
        self._moves = StreamMoves(self._catalog)
        self._duty = WatchDuty(self._peers)
        self._sync = PeerSync(self._loop, self._peers, self._state, self._duty)
        self._reach = EndpointReach(
            settings.region,
            self._loop,
            endpoint_adapter,
            self._catalog,
            self._policy.breakers,
            self._health_path,
        )
        self._runs = RunVerification(
            self._catalog,
            self._peers,
            self._reach.ask_health,
            self._warmup_s,
            self._policy.forget,
            lambda: self._reach.is_partitioned,
        )
        self._reach.on_cold = self._runs.note_cold
        self._reach.on_became_unreachable = lambda endpoint: self._runs.note_lost(
            endpoint, "a ping was not answered"
        )
        peer_feed = PeerFeed(
            self._catalog,
            self._policy,
            self._sync,
            self._feed.table,
            self._runs,
            (records, versions, self._resumptions, self._reach, self._moves),
        )
        self._reporter = Reporter(
            settings.host,
            settings.report_port,
            self._peers,
            self._local_state,
            self._current_summaries,
            peer_feed,
            self._policy.quarantine,
            self._permits,
            streams,
            self._quotas,
            self._policy.profiles,
        )
        self._runs.connect(lambda: self._reporter.address, self._reporter.send_run_notice)
        self._watches = [
            StoreWatch(
                self._store,
                self._state,
                prefix,
                self._catalog.note_store_recovered,
                self._duty.is_on_duty,
                _start_delay(settings, self._reporter.address),
                lambda: bool(self._peers.peers_ahead_of(START)),
            )
            for prefix in control_adapter.prefixes
        ]
        self._registration = Registration(
            self._store, settings.instance, self._reporter.address, self._duty.is_on_duty
        )
        self._build_listeners(endpoint_adapter, directory_adapter)

    def _build_listeners(
        self, endpoint_adapter: EndpointAdapter, directory_adapter: DirectoryAdapter
    ) -> None:
        settings = self._settings
        local = LocalAttempts(
            settings.region,
            self._loop,
            endpoint_adapter,
            self._catalog,
            self._peers,
            self._policy,
            self._reporter,
            self._permits,
            self._reach,
            self._runs,
        )
        self._local = local
        local.crash_attribution.on_repeated_loss = self._records.record_now
        parts = RelayContext(
            settings.region,
            self._loop,
            local,
            RegionAttempts(self._loop, self._peers, self._policy),
            self._peers,
            self._policy,
            self._resumptions,
            self._quotas,
            self._moves,
            self._record_decision,
        )
        self._explanation = Explanation(parts, self._feed.table)
        relay = Relay(parts, endpoint_adapter, self._feed.table, self._stop_gate)
        hops = HopServer(
            settings.region,
            self._incarnation,
            self._loop,
            endpoint_adapter,
            self._feed.table,
            local,
            self._sync,
            self._stop_gate,
        )
        self._front_listener = self._listener(
            "front", settings.front_port, relay.serve, self._limits.front_connections
        )
        own_front = f"{settings.host}:{self._front_listener.port}"
        directory = Directory(
            self._peers, own_front, directory_adapter, self._feed.table, self._is_working
        )
        directory_connections = self._limits.directory_connections
        self._hop_listener = self._listener(
            "hops", settings.hop_port, hops.serve, self._limits.hop_connections
        )
        self._other_listeners = [
            self._listener("ready", settings.ready_port, directory.serve, directory_connections),
            self._listener(
                "directory", settings.directory_port, directory.serve, directory_connections
            ),
        ]
        self._open_inspection()
        self._address = PeerAddress(
            own_front, f"{settings.host}:{self._hop_listener.port}", self._reporter.address
        )

    def _listener(
        self, name: str, port: int, handle: Callable[..., None], max_connections: int
    ) -> Listener:
        limits = self._caller_limits if name == "front" else lambda: _DEFAULT_LIMITS
        return Listener(
            name,
            self._settings.host,
            port,
            handle,
            limits,
            self._loop,
            max_connections,
            self._bodies,
            self._drops,
            self._parse_turns,
            self._settings.client_limits,
        )

    def _open_inspection(self) -> None:
        port = self._settings.metrics_port
        if port is None:
            return
        inspection = Inspection(self._metrics, self._gauges, self._dump, self._explanation)
        try:
            self._other_listeners.append(
                self._listener("inspection", port, inspection.serve, INSPECTION_MAX_CONNECTIONS)
            )
        except OSError as error:
            log_event(Event.PORT_NOT_OPENED, port=port, reason=str(error))

    def start(self) -> None:
        """Start the listeners and all background tasks."""
        self._peers.add_candidates(self._settings.seeds)
        for listener in (self._front_listener, self._hop_listener, *self._other_listeners):
            listener.start()
        self._reporter.start()
        for watch in self._watches:
            watch.start()
        self._registration.start()
        log_event(
            Event.GATEWAY_STARTED,
            instance=self._settings.instance,
            incarnation=self._incarnation,
            region=self._settings.region,
            front=f"{self._settings.host}:{self._front_listener.port}",
        )

    def run(self) -> int:
        """Run until a stop signal; return the exit code, 1 if requests were aborted."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        wakeup = SignalWakeup()
        self.start()
        while not self._is_stopping:
            wakeup.wait(SETTINGS_CHECK_S)
            self._reload_settings()
        return 0 if self.stop() else 1

    def stop(self) -> bool:
        """Stop gracefully; return ``False`` if requests were aborted at the time limit.

        The directory stops listing this gateway at once. Callers that got its address before the
        stop are still served for ``ACCEPT_AFTER_STOP_S``.
        """
        stopped_s = self._stop_signal_s or time.monotonic()
        limit_s = stopped_s + self._settings.stop_timeout_ms / 1000 - STOP_RESERVE_S
        log_event(Event.DRAIN_STARTED, **self._drain_status(stopped_s))
        self._stop_gate.stop_at(limit_s)
        self._peers.own_state = GatewayState.DRAINING
        self._front_listener.drain()
        self._reporter.send_state()
        threading.Thread(target=self._registration.stop, daemon=True).start()
        _sleep_until(min(stopped_s + IDLE_AFTER_STOP_S, limit_s - FINAL_ANSWER_S))
        self._front_listener.close_idle()
        _sleep_until(min(stopped_s + ACCEPT_AFTER_STOP_S, limit_s - FINAL_ANSWER_S))
        self._front_listener.stop_accepting()
        self._wait_drained(limit_s - FINAL_ANSWER_S)
        # Other gateways may have sent an attempt just now; it is refused, or served before the end.
        self._stop_gate.close()
        _sleep_until(min(time.monotonic() + LAST_ARRIVALS_S, limit_s - FINAL_ANSWER_S))
        self._wait_drained(limit_s - FINAL_ANSWER_S)
        self._open_requests.give_up(ends_begun=False)
        self._wait_drained(limit_s)
        is_finished = self._in_flight_requests() == 0
        if is_finished:
            log_event(Event.DRAIN_FINISHED, **self._drain_status(stopped_s))
        else:
            log_event(Event.DRAIN_INCOMPLETE, **self._drain_status(stopped_s))
            self._log_open_requests(stopped_s)
            self._open_requests.give_up(ends_begun=True)
            time.sleep(ABORT_S)
        return is_finished

    def _wait_drained(self, until_s: float) -> None:
        while time.monotonic() < until_s and self._in_flight_requests() > 0:
            time.sleep(DRAIN_CHECK_S)

    def _drain_status(self, stopped_s: float) -> dict[str, int]:
        """Return what a graceful shutdown waits for, as fields of a log line."""
        now_s = time.monotonic()
        caller_requests = self._open_requests.count(Origin.CALLER)
        return {
            "signal_age_ms": round((now_s - stopped_s) * 1000),
            "open_requests": caller_requests,
            "gateway_requests": self._open_requests.count(Origin.GATEWAY),
            "waiting_connections": max(0, self._front_listener.open_connections - caller_requests),
        }

    def _log_open_requests(self, stopped_s: float) -> None:
        """Write one line for each request that the end of the process breaks off."""
        for request in self._open_requests.all()[:MAX_LOGGED_REQUESTS]:
            log_event(
                Event.REQUEST_OPEN_AT_STOP,
                request_id=request.request_id,
                origin=request.origin.value,
                age_ms=request.age_ms,
                received_after_stop_ms=round((request.started_s - stopped_s) * 1000),
            )

    def _is_working(self) -> bool:
        """Return whether the threads run without which no request is served or placed."""
        parts = (self._loop, self._front_listener, self._hop_listener, self._reporter)
        return not any(part.is_failing for part in parts)

    def _workspaces(self) -> WorkspaceDirectory | None:
        table = self._feed.table()
        return table.workspaces if table is not None else None

    def _health_path(self, endpoint: Endpoint) -> str:
        table = self._feed.table()
        service = table.services.get(endpoint.service) if table is not None else None
        return service.health_path if service is not None else ""

    def _warmup_s(self, endpoint: Endpoint) -> float:
        """Return how long an endpoint is cold after a start, 0 if its service has no warm-up."""
        table = self._feed.table()
        service = table.services.get(endpoint.service) if table is not None else None
        return service.warmup_s if service is not None and service.warmup_per_s > 0 else 0.0

    def _in_flight_requests(self) -> int:
        return self._front_listener.open_connections + self._hop_listener.busy_connections

    def _caller_limits(self) -> CallerLimits:
        table = self._feed.table()
        return table.limits if table is not None else _DEFAULT_LIMITS

    def _on_stop(self, _number: int, _frame: object) -> None:
        self._stop_signal_s = self._stop_signal_s or time.monotonic()
        self._is_stopping = True

    def _on_reload(self, _number: int, _frame: object) -> None:
        if self._settings_file is not None:
            self._settings_file.expect_change()

    def _reload_settings(self) -> None:
        """Apply changed settings; a change of ports or names takes effect only after a restart."""
        settings = self._settings_file.read_changed() if self._settings_file is not None else None
        if settings is None:
            return
        self._settings = settings
        limits = settings.retry_limits
        self._policy.budget.set_limits(limits.window_s, limits.ratio, limits.slack)
        self._peers.add_candidates(settings.seeds)
        log_event(
            Event.SETTINGS_RELOADED,
            instance=settings.instance,
            retry_ratio=limits.ratio,
            retry_slack=limits.slack,
            stop_timeout_ms=settings.stop_timeout_ms,
        )

    def _record_decision(self, record: DecisionRecord) -> None:
        self._metrics.count(record)
        if record.is_successful:
            self._stop_gate.note_duration(record.route, record.elapsed_ms)
        record.log()

    def _gauges(self) -> RelayGauges:
        table = self._feed.table()
        return RelayGauges(
            self._front_listener.open_connections,
            table.revision if table is not None else 0,
            len(self._catalog.entries()),
            self._peers.live_count(),
            oldest_answer_age_ms(self._watches),
            dropped_lines(),
            self._reporter.member_count,
            self._store.counts(),
            self._local.crash_attribution.verdicts(),
            len(self._policy.quarantine.quarantined()),
            len(self._policy.quarantine.held_parts()),
            {
                run.endpoint: limit_per_s
                for run, limit_per_s in self._policy.request_limits.in_force().items()
            },
            self._permits.outcomes(),
            self._resumptions.counts(),
            len(self._reach.unreachable()),
            self._reach.is_partitioned,
            self._quotas.outcomes(),
            self._quotas.issuer.flows(),
            self._drops.counts(),
            self._policy.profiles.learned(),
            self._moves.outcomes(),
            self._policy.urgent_demand.yield_factors(),
            {
                name: self._policy.event_pace.event_ms(name)
                for name in self._policy.event_pace.services()
            },
        )

    def _dump(self) -> dict[str, object]:
        table = self._feed.table()
        return {
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "state": self._peers.own_state.value,
            "route_revision": table.revision if table is not None else None,
            "control_revision": self._state.revision,
            "store_era": self._state.era,
            "store_age_ms": round(oldest_answer_age_ms(self._watches)),
            "is_on_watch_duty": self._duty.is_on_duty(),
            "evacuated": sorted(self._catalog.evacuated),
            "streams": self._resumptions.dump(),
            "is_partitioned": self._reach.is_partitioned,
            "unreachable_endpoints": self._reach.unreachable(),
            "unverified_endpoints": self._runs.unverified(),
            "endpoints": dump_endpoints(self._catalog, self._policy),
            "issued_quotas": self._quotas.issuer.dump(),
            "gateways": dump_gateways(self._peers),
            **dump_policy(self._policy),
        }

    def _local_state(self, report_address: str) -> LocalState:
        settings = self._settings
        address = PeerAddress(
            f"{settings.host}:{settings.front_port}",
            f"{settings.host}:{settings.hop_port}",
            report_address,
        )
        position = self._state.position
        return LocalState(
            Peer(
                settings.instance,
                self._incarnation,
                settings.region,
                settings.failure_domain,
                self._address or address,
                self._peers.own_state,
                settings.link_mbps,
            ),
            ControlStatus(
                position.revision,
                oldest_answer_age_ms(self._watches),
                era=position.era,
                step=position.step,
            ),
            self._policy.loads.own_work(),
        )

    def _current_summaries(self) -> dict[ServiceId, ServiceSummary]:
        now_s = time.monotonic()
        table = self._feed.table()
        if table is None or now_s - self._summarized_s < SUMMARY_MAX_AGE_S:
            return self._summaries
        self._summarized_s = now_s
        self._summaries = {
            name: self._local.summary(service) for name, service in table.services.items()
        }
        return self._summaries


def _sleep_until(until_s: float) -> None:
    time.sleep(max(0.0, until_s - time.monotonic()))


def _start_delay(settings: RelaySettings, report_address: str) -> StartDelay:
    waits_for_seeds = settings.is_first_start and report_address not in settings.seeds
    return StartDelay.FIRST_START if waits_for_seeds else StartDelay.IMMEDIATE


def run_relay(gateway: RelayGateway) -> NoReturn:
    """Run a gateway until a stop signal, then end the process with its exit code."""
    code = gateway.run()
    logging.shutdown()
    # Pool threads may still be busy with aborted requests and must not delay the exit.
    os._exit(code)


def prepare_process(log_level: str) -> None:
    """Configure logs, threads and garbage collection before any part of a gateway is built."""
    configure_logs(log_level, BatchedLogHandler(sys.stdout.fileno()))
    configure_heap()
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
