"""Answers readiness checks and the callers' queries for gateways to use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem

from ..membership.peer import GatewayState
from ..messages import json_answer
from ..messages import problem_answer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_core.ids import RegionId

    from ..membership.peer_table import PeerTable
    from ..messages import CompleteAnswer
    from ..messages import RelayRequest
    from ..routes.route_table import RouteTable
    from .answer_channel import AnswerChannel

# Callers repeat the query after this time, so they use a lost gateway for at most this long.
DIRECTORY_TTL_S = 2
MAX_ADDRESSES = 64
# A region whose gateways reported within this time is assumed to be restarting, not lost.
RESTART_GRACE_S = 15.0


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """A caller's query: the host that it calls, and its own region."""

    host: str
    region: RegionId


class DirectoryAdapter(Protocol):
    """Decodes queries to the directory and encodes its answers."""

    @property
    def ready_path(self) -> str:
        """The path of readiness checks."""

    def read_query(self, request: RelayRequest) -> DirectoryQuery | None:
        """Return the decoded query, ``None`` if the request is not one."""

    def answer(self, addresses: Sequence[str], ttl_s: int) -> CompleteAnswer:
        """Return the answer that lists ``addresses``, valid for ``ttl_s`` seconds."""


class Directory:
    """Lists the ready gateways for a caller, from its own region if there are any."""

    def __init__(
        self,
        peers: PeerTable,
        own_front: str,
        adapter: DirectoryAdapter,
        current_table: Callable[[], RouteTable | None],
        is_working: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a directory; ``is_working`` tells whether this gateway can serve requests."""
        self._peers = peers
        self._own_front = own_front
        self._adapter = adapter
        self._current_table = current_table
        self._is_working = is_working

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one readiness check or query."""
        if request.path == self._adapter.ready_path:
            channel.send(self._readiness())
            return
        query = self._adapter.read_query(request)
        if query is None:
            problem = Problem(ErrorKind.UNKNOWN_PATH, "this path is not served here")
            channel.send(problem_answer(problem))
            return
        addresses = self.addresses(query)
        if not addresses:
            problem = Problem(ErrorKind.GATEWAY_NOT_READY, "no gateway is ready")
            channel.send(problem_answer(problem))
            return
        channel.send(self._adapter.answer(addresses, DIRECTORY_TTL_S))

    def addresses(self, query: DirectoryQuery) -> list[str]:
        """Return at most ``MAX_ADDRESSES`` gateways, of the caller's region or its fallbacks.

        A starting gateway returns none.
        """
        if self._peers.own_state is GatewayState.STARTING:
            return []
        local = self._fronts(query.region)
        if local:
            return local[:MAX_ADDRESSES]
        return self._fallback_fronts(query)[:MAX_ADDRESSES]

    def _fallback_fronts(self, query: DirectoryQuery) -> list[str]:
        """Return gateways for a caller whose region has no ready one.

        Callers must not be directed to a region that their routes do not permit, so the regions
        that permit the most routes of the host come first. If these have no ready gateway and the
        caller's region is only restarting, its draining gateways are returned, or none at all:
        callers then keep their last answer, which is better than a region that not all routes
        permit. Only if the caller's region is lost, any ready gateway is returned.
        """
        table = self._current_table()
        if table is None:
            return []
        regions = sorted({*self._peers.regions(), self._peers.own_region})
        counts = {region: table.count_permitting(query.host, region) for region in regions}
        most = max(counts.values())
        best = [region for region in regions if counts[region] == most]
        fronts = [front for region in best for front in self._fronts(region)]
        if fronts:
            return fronts
        if self._peers.was_confirmed(query.region, RESTART_GRACE_S):
            return self._peers.draining_fronts(query.region)
        return [front for region in regions for front in self._fronts(region)]

    def _fronts(self, region: RegionId) -> list[str]:
        fronts = [report.address.front for report in self._peers.ready_peers(region)]
        is_own = region == self._peers.own_region
        if is_own and self._peers.own_state is GatewayState.READY and self._is_working():
            fronts.append(self._own_front)
        return sorted(fronts)

    def _readiness(self) -> CompleteAnswer:
        if not self._is_working():
            detail = "a thread of the gateway is failing"
            return problem_answer(Problem(ErrorKind.GATEWAY_NOT_READY, detail))
        if self._peers.own_state is GatewayState.READY:
            return json_answer(200, {"state": self._peers.own_state.value})
        problem = Problem(ErrorKind.GATEWAY_NOT_READY, f"state {self._peers.own_state.value}")
        return problem_answer(problem)
