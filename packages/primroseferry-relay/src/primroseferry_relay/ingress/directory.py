"""Readiness, and the answer to the question which gateways a caller may use."""

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
    from ..messages import RelayRequest
    from ..messages import WholeAnswer
    from ..routes.route_table import RouteTable
    from .answer_channel import AnswerChannel

# Callers ask again after this time; a gateway that is lost is used no longer than that.
DIRECTORY_TTL_S = 2
MAX_ADDRESSES = 64
# A region whose gateways were heard so recently is being restarted, not lost.
RESTART_S = 15.0


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """Who asks: the host that it calls, and the region that it is in."""

    host: str
    region: RegionId


class DirectoryDialect(Protocol):
    """The directory's calls on the wire."""

    @property
    def ready_path(self) -> str:
        """The path that is asked for readiness."""

    def read_query(self, request: RelayRequest) -> DirectoryQuery | None:
        """Return the question, ``None`` where the request is none."""

    def answer(self, addresses: Sequence[str], ttl_s: int) -> WholeAnswer:
        """Return the answer that names ``addresses``."""


class Directory:
    """Names the ready gateways nearest to the caller."""

    def __init__(
        self,
        peers: PeerTable,
        own_front: str,
        dialect: DirectoryDialect,
        tables: Callable[[], RouteTable | None],
    ) -> None:
        self._peers = peers
        self._own_front = own_front
        self._dialect = dialect
        self._tables = tables

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one question."""
        if request.path == self._dialect.ready_path:
            channel.send(self._ready())
            return
        query = self._dialect.read_query(request)
        if query is None:
            problem = Problem(ErrorKind.UNKNOWN_PATH, "nothing answers this path")
            channel.send(problem_answer(problem))
            return
        addresses = self.addresses(query)
        if not addresses:
            problem = Problem(ErrorKind.GATEWAY_NOT_READY, "no gateway is ready")
            channel.send(problem_answer(problem))
            return
        channel.send(self._dialect.answer(addresses, DIRECTORY_TTL_S))

    def addresses(self, query: DirectoryQuery) -> list[str]:
        """Return the gateways of the caller's region, or else those of permitted regions."""
        if self._peers.own_state is GatewayState.STARTING:
            return []
        near = self._fronts(query.region)
        if near:
            return near[:MAX_ADDRESSES]
        return self._fronts_elsewhere(query)[:MAX_ADDRESSES]

    def _fronts_elsewhere(self, query: DirectoryQuery) -> list[str]:
        """Return gateways for a caller whose region has none that is ready.

        Routes that are bound to home regions must not be led elsewhere. While the caller's region
        is only restarting, its own draining gateways are the next best, and no answer at all is
        better than a region that not all routes permit: callers keep their last answer.
        """
        table = self._tables()
        if table is None:
            return []
        regions = sorted({*self._peers.regions(), self._peers.own_region})
        counts = {region: table.count_permitting(query.host, region) for region in regions}
        most = max(counts.values())
        best = [region for region in regions if counts[region] == most]
        fronts = [front for region in best for front in self._fronts(region)]
        if fronts:
            return fronts
        if self._peers.was_heard(query.region, RESTART_S):
            return self._peers.draining_fronts(query.region)
        return [front for region in regions for front in self._fronts(region)]

    def _fronts(self, region: RegionId) -> list[str]:
        fronts = [report.address.front for report in self._peers.ready_peers(region)]
        is_own = region == self._peers.own_region
        if is_own and self._peers.own_state is GatewayState.READY:
            fronts.append(self._own_front)
        return sorted(fronts)

    def _ready(self) -> WholeAnswer:
        if self._peers.own_state is GatewayState.READY:
            return json_answer(200, {"state": self._peers.own_state.value})
        problem = Problem(ErrorKind.GATEWAY_NOT_READY, f"state {self._peers.own_state.value}")
        return problem_answer(problem)
