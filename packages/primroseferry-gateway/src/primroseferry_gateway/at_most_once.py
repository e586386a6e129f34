"""At-most-once operations: finding the owner of a key and dispatching as the owner.

The gateway that receives an operation finds the owner of its idempotency key and forwards the
operation to it. Only the owner may answer ``ran: no``, because only its table proves that nothing
was dispatched. When another gateway rejects the operation, it answers ``ran: unknown``.
"""

from __future__ import annotations

import time
from concurrent.futures import CancelledError
from concurrent.futures import Future
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.hashing import request_fingerprint
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import InstanceId
from primroseferry_once.claims import ClaimedBy
from primroseferry_once.claims import NotClaimed
from primroseferry_once.claims import claim_key
from primroseferry_once.keys import Owner
from primroseferry_once.keys import ScopedKey
from primroseferry_once.keys import issued_owner
from primroseferry_once.keys import parse_key
from primroseferry_once.table import KeyReused
from primroseferry_once.table import KnownOperation
from primroseferry_once.table import NewOperation
from primroseferry_once.table import OnceRecord
from primroseferry_once.table import OnceState
from primroseferry_once.table import StoredAnswer
from primroseferry_once.table import TableHandedOver
from primroseferry_once.table import TableSealed
from primroseferry_peers.proto.peer_pb2 import KEYS_MOVED
from primroseferry_peers.proto.peer_pb2 import SERVICE_OWNER

from .forward_client import Answered
from .forward_client import PeerFailed
from .forward_client import PeerProblem
from .forward_client import service_payload

if TYPE_CHECKING:
    from primroseferry_core.ids import IncarnationId
    from primroseferry_core.plans import Operation
    from primroseferry_once.claims import ClaimStore
    from primroseferry_once.table import OnceTable
    from primroseferry_peers.exchanger import SelfIdentity
    from primroseferry_peers.fact_store import FactStore

    from .fleet import FleetView
    from .forward_client import ForwardClient
    from .operation_dispatch import OperationDispatcher
    from .operation_lookup import OperationLookup
    from .request_context import RequestContext
    from .service_call import ServiceRequest
    from .targets import Demand

# How long a gateway waits for the fact that names the successor of an owner that it cannot reach.
OWNER_CHANGE_WAIT_S = 1.0
OWNER_CHANGE_POLL_S = 0.1


class AtMostOnceService:
    """Serves at-most-once operations, here or by forwarding them to the owner of their key."""

    def __init__(
        self,
        identity: SelfIdentity,
        table: OnceTable,
        claims: ClaimStore,
        facts: FactStore,
        fleet: FleetView,
        dispatcher: OperationDispatcher,
        lookup: OperationLookup,
        forwards: ForwardClient,
    ) -> None:
        self._identity = identity
        self._table = table
        self._claims = claims
        self._facts = facts
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._lookup = lookup
        self._forwards = forwards

    def serve(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
    ) -> StoredAnswer:
        """Run the operation at most once and return its answer.

        If the key was used before, the answer is the stored one of the first run. Raises
        ``ProblemError`` if there is no answer; its ``ran: no`` is proven by the owner's table.
        """
        scoped_key = ScopedKey(context.customer, parse_key(request.idempotency_key))
        try:
            context.check_region()
            is_owner = self._is_owned_locally(scoped_key)
            owner = self._owner() if is_owner else self._find_owner(scoped_key)
        except ProblemError as error:
            raise self._refusal(scoped_key, error.problem) from error
        context.trace.note("owner", f"{owner.instance} incarnation {owner.incarnation}")
        if is_owner or self._table.owns(owner.incarnation):
            return self.serve_as_owner(context, demand, operation, request)
        return self._forward_to_owner(context, demand, operation, request, owner)

    def serve_as_owner(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
    ) -> StoredAnswer:
        """Dispatch the operation if its key is not in the table, else wait for its first dispatch.

        Raises ``KEY_REUSED``, ``GATEWAY_DRAINING``, ``OUTCOME_UNKNOWN``, ``NO_ENDPOINT`` or
        ``KEY_IN_PROGRESS``.
        """
        scoped_key = ScopedKey(context.customer, parse_key(request.idempotency_key))
        text = f"{demand.serves} {request.method} {request.path}"
        fingerprint = Fingerprint(request_fingerprint(context.customer, text, request.body))
        match self._table.begin(scoped_key, fingerprint):
            case NewOperation(record):
                self._dispatcher.start(context, demand, request, record)
                return self._await_record(context, demand, operation, request, record)
            case KnownOperation(record):
                context.trace.note("joined", record.state.value)
                return self._await_record(context, demand, operation, request, record)
            case KeyReused():
                raise problem_error(
                    ErrorKind.KEY_REUSED,
                    "the idempotency key was used with another method, path or body; use a new key",
                )
            case TableSealed():
                raise problem_error(
                    ErrorKind.GATEWAY_DRAINING,
                    "this gateway is stopping; retry with the same key on another gateway that "
                    "GET /v1/entry lists",
                )
            case TableHandedOver():
                raise problem_error(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the key was handed over to another gateway; retry with the same key",
                )

    def owns(self, incarnation: IncarnationId) -> bool:
        """Whether this gateway is the only one that dispatches keys issued by ``incarnation``."""
        return self._table.owns(incarnation)

    def _owner(self) -> Owner:
        return Owner(self._identity.incarnation, self._identity.instance)

    def _is_owned_locally(self, scoped_key: ScopedKey) -> bool:
        owner = issued_owner(scoped_key.key)
        if owner is not None:
            return self._table.owns(owner.incarnation)
        return self._table.find(scoped_key) is not None

    def _refusal(self, scoped_key: ScopedKey, problem: Problem) -> ProblemError:
        """Return the error, with ``ran: no`` only if this table proves that nothing ran."""
        owner = issued_owner(scoped_key.key)
        is_proved = (
            owner is not None
            and self._table.owns(owner.incarnation)
            and self._table.find(scoped_key) is None
        )
        return ProblemError(problem if is_proved else problem.with_execution_unknown())

    def _find_owner(self, scoped_key: ScopedKey) -> Owner:
        owner = issued_owner(scoped_key.key)
        if owner is not None:
            return owner
        match claim_key(self._claims, scoped_key, self._owner()):
            case ClaimedBy(claimed):
                return claimed
            case NotClaimed():
                raise problem_error(
                    ErrorKind.KEY_NOT_CLAIMED,
                    "the key-value service is unreachable, so a key that no gateway issued cannot "
                    "be claimed; retry with the same key, or use a key with the prefix that "
                    "GET /v1/entry returns",
                )

    def _forward_to_owner(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
        owner: Owner,
    ) -> StoredAnswer:
        payload = replace(
            service_payload(SERVICE_OWNER, demand, request), owner_incarnation=owner.incarnation
        )
        wait_until_s = time.monotonic() + OWNER_CHANGE_WAIT_S
        reason = f"gateway {owner.instance} owns the key and cannot be reached"
        while context.remaining_ms > 0:
            if self._table.owns(owner.incarnation):
                return self.serve_as_owner(context, demand, operation, request)
            holder = self._current_holder(owner)
            if holder == self._identity.instance:
                reason = f"gateway {holder} owned the key before it restarted"
                break
            peer = self._fleet.find_peer(holder)
            outcome: Answered | PeerProblem | PeerFailed = PeerFailed(reason, is_sent=False)
            if peer is not None and self._may_forward_to(context, peer.region):
                outcome = self._forwards.call_service(peer, context, payload)
            match outcome:
                case Answered(answer):
                    return answer
                case PeerProblem(problem) if problem.kind is ErrorKind.OUTCOME_UNKNOWN:
                    reason = problem.detail
                case PeerProblem(problem) if problem.kind in _OWNER_NOT_RUN_KINDS:
                    raise ProblemError(problem)
                case PeerProblem(problem):
                    raise ProblemError(problem.with_execution_unknown())
                case PeerFailed(failure):
                    reason = failure
            if time.monotonic() >= wait_until_s and self._current_holder(owner) == holder:
                break
            time.sleep(OWNER_CHANGE_POLL_S)
        return self._lookup.reconcile(context, demand, operation, request, reason)

    def _current_holder(self, owner: Owner) -> InstanceId:
        moved = self._facts.find(KEYS_MOVED, owner.incarnation)
        return InstanceId(moved.moved.successor) if moved is not None else owner.instance

    def _may_forward_to(self, context: RequestContext, region: str) -> bool:
        if region == context.own_region:
            return True
        return context.may_leave_region and region in context.plan.regions

    def _await_record(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
        record: OnceRecord,
    ) -> StoredAnswer:
        settled = self._wait(record.settled, context.remaining_ms / 1000)
        if record.answer is not None:
            return record.answer
        if settled is OnceState.UNKNOWN or record.state is OnceState.UNKNOWN:
            answer = self._lookup.reconcile(
                context, demand, operation, request, "the endpoint did not answer"
            )
            self._table.finish(record, answer)
            return answer
        if record.settled.cancelled():
            raise problem_error(
                ErrorKind.NO_ENDPOINT,
                f"no endpoint for {demand.serves} could be reached; retry with the same key",
            )
        raise problem_error(
            ErrorKind.KEY_IN_PROGRESS,
            "the operation is still running; retry with the same key to get its answer",
        )

    def _wait(self, settled: Future[OnceState], timeout_s: float) -> OnceState | None:
        try:
            return settled.result(timeout_s)
        except (TimeoutError, CancelledError):
            return None


_OWNER_NOT_RUN_KINDS = frozenset(
    {ErrorKind.NO_ENDPOINT, ErrorKind.GATEWAY_DRAINING, ErrorKind.KEY_REUSED}
)
