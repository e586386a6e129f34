"""Callers' requests and the routes that match them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import xxhash
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem

from .decision import DecisionRecord
from .messages import problem_answer
from .request_run import RelayParts
from .request_run import RequestRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from .dialect import EndpointDialect
    from .ingress.answer_channel import AnswerChannel
    from .messages import RelayRequest
    from .routes.route_table import RouteTable

# A gateway that has no routes yet waits for the store or for a peer.
MIN_START_RETURN_S = 1.0
MAX_START_RETURN_S = 2.5


class Relay:
    """Serves callers' requests by the route table that is in force."""

    def __init__(
        self,
        parts: RelayParts,
        dialect: EndpointDialect,
        tables: Callable[[], RouteTable | None],
    ) -> None:
        self._parts = parts
        self._dialect = dialect
        self._tables = tables

    def serve(self, request: RelayRequest, channel: AnswerChannel) -> None:
        """Answer one request."""
        facts = self._dialect.read_request(request.headers)
        record = DecisionRecord(facts.request_id, request.received_s)
        table = self._tables()
        if table is None:
            problem = Problem(ErrorKind.GATEWAY_NOT_READY, "no route table is known yet")
            wait_s = random.uniform(MIN_START_RETURN_S, MAX_START_RETURN_S)
            self._refuse(channel, record, problem, wait_s)
            return
        record.revision = table.revision
        route = table.find(request.host.partition(":")[0], request.path)
        if route is None:
            problem = Problem(ErrorKind.UNKNOWN_PATH, "no route matches the host and path")
            self._refuse(channel, record, problem, None)
            return
        ticket = xxhash.xxh3_64_intdigest(facts.request_id.encode())
        service = table.services[route.service_for(ticket)]
        record.route = route.name
        record.service = service.name
        self._parts.policy.budget.note_request(service.name, self._parts.peers.live_count())
        RequestRun(self._parts, request, facts, channel, route, service, record).run()

    def _refuse(
        self,
        channel: AnswerChannel,
        record: DecisionRecord,
        problem: Problem,
        retry_after_s: float | None,
    ) -> None:
        record.reason = problem.detail
        channel.send(problem_answer(problem, retry_after_s))
        record.close(problem.kind.value, channel.status)
        self._parts.on_done(record)
