"""At-most-once operations: finding the owner of a key, and dispatching as the owner.

Whoever receives an operation finds the owner of its key and passes the operation on. Only the owner
says ``not run``, because only its table proves that nothing was dispatched; every other gateway's
refusal is ``unknown``.
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
from primroseferry_core.hashing import fingerprint_of
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import InstanceId
from primroseferry_once.claims import ClaimedBy
from primroseferry_once.claims import NotClaimed
from primroseferry_once.claims import claim_key
from primroseferry_once.keys import Owner
from primroseferry_once.keys import ScopedKey
from primroseferry_once.keys import issued_owner
from primroseferry_once.keys import parse_key
from primroseferry_once.table import HandedOver
from primroseferry_once.table import Joined
from primroseferry_once.table import KeyReused
from primroseferry_once.table import OnceRecord
from primroseferry_once.table import OnceState
from primroseferry_once.table import Sealed
from primroseferry_once.table import Started
from primroseferry_once.table import StoredAnswer
from primroseferry_peers.proto.peer_pb2 import KEYS_MOVED
from primroseferry_peers.proto.peer_pb2 import SERVICE_OWNER

from .forward_client import Answered
from .forward_client import PeerLost
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
    from .order_dispatch import OrderDispatcher
    from .order_lookup import OrderLookup
    from .request_context import RequestContext
    from .service_call import ServiceRequest
    from .targets import Demand

MOVED_WAIT_S = 1.0
MOVED_CHECK_S = 0.1


class OrderService:
    """Serves at-most-once operations."""

    def __init__(
        self,
        identity: SelfIdentity,
        table: OnceTable,
        claims: ClaimStore,
        facts: FactStore,
        fleet: FleetView,
        dispatcher: OrderDispatcher,
        lookup: OrderLookup,
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
        """Run the operation at most once and return its answer, or that of its first run."""
        scoped_key = ScopedKey(context.customer, parse_key(request.idempotency_key))
        try:
            context.check_region()
            is_owner = self._is_owned_here(scoped_key)
            owner = self._owner() if is_owner else self._find_owner(scoped_key)
        except ProblemError as error:
            raise self._prove(scoped_key, error.problem) from error
        context.trace.note("owner", f"{owner.instance} incarnation {owner.incarnation}")
        if is_owner or self._table.owns(owner.incarnation):
            return self.serve_as_owner(context, demand, operation, request)
        return self._pass_to_owner(context, demand, operation, request, owner)

    def serve_as_owner(
        self,
        context: RequestContext,
        demand: Demand,
        operation: Operation,
        request: ServiceRequest,
    ) -> StoredAnswer:
        """Dispatch the operation if its key is new here, else wait for its first dispatch."""
        scoped_key = ScopedKey(context.customer, parse_key(request.idempotency_key))
        text = f"{demand.serves} {request.method} {request.path}"
        fingerprint = Fingerprint(fingerprint_of(context.customer, text, request.body))
        match self._table.begin(scoped_key, fingerprint):
            case Started(record):
                self._dispatcher.start(context, demand, request, record)
                return self._await_record(context, demand, operation, request, record)
            case Joined(record):
                context.trace.note("joined", record.state.value)
                return self._await_record(context, demand, operation, request, record)
            case KeyReused():
                raise problem_error(
                    ErrorKind.KEY_REUSED,
                    "the idempotency key was used with another method, path or body; use a new key",
                )
            case Sealed():
                raise problem_error(
                    ErrorKind.GATEWAY_DRAINING,
                    "this gateway is stopping; send the same request with the same key to another "
                    "gateway, see GET /v1/entry",
                )
            case HandedOver():
                raise problem_error(
                    ErrorKind.OUTCOME_UNKNOWN, "the key was handed to a successor; ask again"
                )

    def owns(self, incarnation: IncarnationId) -> bool:
        """Whether the keys of an incarnation are dispatched here and nowhere else."""
        return self._table.owns(incarnation)

    def _owner(self) -> Owner:
        return Owner(self._identity.incarnation, self._identity.instance)

    def _is_owned_here(self, scoped_key: ScopedKey) -> bool:
        owner = issued_owner(scoped_key.key)
        if owner is not None:
            return self._table.owns(owner.incarnation)
        return self._table.find(scoped_key) is not None

    def _prove(self, scoped_key: ScopedKey, problem: Problem) -> ProblemError:
        """Let a refusal stand as ``not run`` only where this table proves it."""
        owner = issued_owner(scoped_key.key)
        is_proved = (
            owner is not None
            and self._table.owns(owner.incarnation)
            and self._table.find(scoped_key) is None
        )
        return ProblemError(problem if is_proved else problem.without_proof())

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
                    "the key-value service is unreachable, so a key of your own cannot be claimed; "
                    "come back with the same key, or use a key with the prefix of GET /v1/entry",
                )

    def _pass_to_owner(
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
        give_up_s = time.monotonic() + MOVED_WAIT_S
        reason = f"gateway {owner.instance} owns the key and cannot be reached"
        while context.remaining_ms > 0:
            if self._table.owns(owner.incarnation):
                return self.serve_as_owner(context, demand, operation, request)
            holder = self._current_holder(owner)
            if holder == self._identity.instance:
                reason = f"the run of {holder} that owned the key has ended"
                break
            peer = self._fleet.find_peer(holder)
            outcome: Answered | PeerProblem | PeerLost = PeerLost(reason, is_sent=False)
            if peer is not None and self._may_pass_to(context, peer.region):
                outcome = self._forwards.call_service(peer, context, payload)
            match outcome:
                case Answered(answer):
                    return answer
                case PeerProblem(problem) if problem.kind is ErrorKind.OUTCOME_UNKNOWN:
                    reason = problem.detail
                case PeerProblem(problem) if problem.kind in _OWNERS_PROOFS:
                    raise ProblemError(problem)
                case PeerProblem(problem):
                    raise ProblemError(problem.without_proof())
                case PeerLost(lost):
                    reason = lost
            if time.monotonic() >= give_up_s and self._current_holder(owner) == holder:
                break
            time.sleep(MOVED_CHECK_S)
        return self._lookup.reconcile(context, demand, operation, request, reason)

    def _current_holder(self, owner: Owner) -> InstanceId:
        moved = self._facts.find(KEYS_MOVED, owner.incarnation)
        return InstanceId(moved.moved.successor) if moved is not None else owner.instance

    def _may_pass_to(self, context: RequestContext, region: str) -> bool:
        if region == context.here:
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
                context, demand, operation, request, "the endpoint gave no answer"
            )
            self._table.finish(record, answer)
            return answer
        if record.settled.cancelled():
            raise problem_error(
                ErrorKind.NO_ENDPOINT,
                f"no endpoint for {demand.serves} could be reached; come back with the same key",
            )
        raise problem_error(
            ErrorKind.KEY_IN_PROGRESS,
            "the operation is still running; come back with the same key for its answer",
        )

    def _wait(self, settled: Future[OnceState], timeout_s: float) -> OnceState | None:
        try:
            return settled.result(timeout_s)
        except (TimeoutError, CancelledError):
            return None


_OWNERS_PROOFS = frozenset(
    {ErrorKind.NO_ENDPOINT, ErrorKind.GATEWAY_DRAINING, ErrorKind.KEY_REUSED}
)
