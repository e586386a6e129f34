"""Explains to operators where a request would go now, without sending it.

The quarantine is left out: it goes by the content of a request, which operators do not send here.
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import xxhash
from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import Problem
from primroseferry_core.ids import RequestId
from primroseferry_core.ids import WorkspaceId
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from result import Err
from result import Ok
from result import Result

from .decision import DecisionRecord
from .endpoint_adapter import RequestMetadata
from .local_attempts import LocalOption
from .membership.quota_leases import request_cost
from .messages import RelayRequest
from .region_choice import RegionOption
from .request_run import RequestRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import RegionId

    from .ingress.answer_channel import AnswerChannel
    from .local_attempts import EndpointView
    from .request_run import RelayContext
    from .routes.route import Route
    from .routes.route_table import RouteTable
    from .routes.service import Service
    from .routes.workspace import Workspace

PARAMETERS = frozenset(
    {"host", "path", "workspace", "part", "prompt_tokens", "answer_tokens", "request_id"}
)
MAX_TOKENS = 10_000_000


@dataclass(frozen=True, slots=True)
class ExplainQuery:
    """The request to explain. ``workspace`` is empty for none."""

    host: str
    path: str
    workspace: WorkspaceId
    generation: Generation
    request_id: RequestId = RequestId("")


def parse_query(text: str) -> Result[ExplainQuery, Problem]:
    """Parse the query of ``/explain``.

    Errors never repeat a value, which might be an API key given by mistake.

    >>> query = parse_query("host=a.example&path=/x&part=p:9&prompt_tokens=12").unwrap()
    >>> query.generation.parts[0].tokens, query.generation.prompt_tokens
    (9, 12)
    >>> parse_query("host=a.example").unwrap_err().detail
    'host and path are required'
    """
    values: dict[str, str] = {}
    parts: list[PromptPart] = []
    for name, value in parse_qsl(text, keep_blank_values=True):
        if name not in PARAMETERS:
            known = ", ".join(sorted(PARAMETERS))
            return _bad(f"unknown parameter; known are {known}; an API key is never needed")
        if name == "part":
            part, _, tokens = value.rpartition(":")
            count = _parse_count(tokens)
            if not part or count is None:
                return _bad("each part must be NAME:TOKENS")
            parts.append(PromptPart(PartId(part), count))
        elif name in values:
            return _bad(f"{name} is given twice")
        else:
            values[name] = value
    if not values.get("host") or not values.get("path", "").startswith("/"):
        return _bad("host and path are required")
    prompt_tokens = _parse_count(values.get("prompt_tokens") or "0")
    answer_tokens = _parse_count(values.get("answer_tokens") or "0")
    if prompt_tokens is None or answer_tokens is None:
        return _bad("prompt_tokens and answer_tokens must be whole numbers")
    return Ok(
        ExplainQuery(
            values["host"].partition(":")[0],
            values["path"].partition("?")[0],
            WorkspaceId(values.get("workspace", "")),
            Generation(
                tuple(parts), max(prompt_tokens, sum(part.tokens for part in parts)), answer_tokens
            ),
            RequestId(values.get("request_id", "")),
        )
    )


def _bad(detail: str) -> Err[Problem]:
    return Err(Problem(ErrorKind.BAD_REQUEST, detail))


def _parse_count(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_TOKENS))
    return int(text) if is_number and int(text) <= MAX_TOKENS else None


class Explanation:
    """Answers where requests would go now, with the components that serve them."""

    def __init__(
        self, context: RelayContext, current_table: Callable[[], RouteTable | None]
    ) -> None:
        self._context = context
        self._current_table = current_table

    def explain(
        self, query: ExplainQuery, channel: AnswerChannel
    ) -> Result[dict[str, object], Problem]:
        """Return the decision for a request and what it rests on, as JSON values.

        ``channel`` is the operator's; nothing is written to it.
        """
        table = self._current_table()
        if table is None:
            return Err(Problem(ErrorKind.GATEWAY_NOT_READY, "no route table is known yet"))
        route = table.find(query.host, query.path)
        if route is None:
            return Err(Problem(ErrorKind.UNKNOWN_PATH, "no route matches the host and path"))
        match _find_workspace(query, route, table):
            case Err(problem):
                return Err(problem)
            case Ok(workspace):
                return Ok(self._explain(query, channel, table, route, workspace))

    def _explain(
        self,
        query: ExplainQuery,
        channel: AnswerChannel,
        table: RouteTable,
        route: Route,
        workspace: Workspace | None,
    ) -> dict[str, object]:
        if workspace is not None:
            route = route.for_workspace(workspace)
        ticket = xxhash.xxh3_64_intdigest(query.request_id.encode())
        service = table.services[route.service_for(ticket)]
        run = self._run(query, channel, route, service, workspace)
        option = run.preview()
        regions = sorted({self._context.region, *self._context.peers.known_regions})
        return {
            "route": {
                "name": route.name,
                "kind": route.kind.value,
                "priority": route.priority,
                "latency_target_ms": route.latency_target_ms,
                "timeout_ms": route.timeout_ms,
                "is_public": route.is_public,
                "revision": table.revision,
            },
            "service": service.name,
            "shares": {share.service: share.weight for share in route.shares},
            "workspace": self._workspace_fields(workspace, query.generation),
            "permitted_regions": [region for region in regions if route.permits(region)],
            "endpoints": self._endpoint_rows(run, route, service),
            "regions": [
                self._region_row(region, regions, run, route, service)
                for region in regions
                if region != self._context.region
            ],
            "decision": _decision_fields(option, run.plan.remaining_ms),
        }

    def _run(
        self,
        query: ExplainQuery,
        channel: AnswerChannel,
        route: Route,
        service: Service,
        workspace: Workspace | None,
    ) -> RequestRun:
        now_s = time.monotonic()
        request = RelayRequest(
            "POST",
            query.path,
            query.host,
            (),
            b"",
            now_s,
            workspace=workspace.name if workspace is not None else None,
        )
        metadata = RequestMetadata(query.request_id, generation=query.generation)
        record = DecisionRecord(query.request_id, now_s)
        return RequestRun(
            self._context, request, metadata, channel, route, service, record, workspace
        )

    def _workspace_fields(
        self, workspace: Workspace | None, generation: Generation
    ) -> dict[str, object] | None:
        if workspace is None:
            return None
        quota, quotas = workspace.quota, self._context.quotas
        fields: dict[str, object] = {"name": workspace.name, "quota": None}
        if quota is not None:
            fields["quota"] = {
                "unit": quota.unit.value,
                "rate_per_s": quota.rate_per_s,
                "burst": quota.burst,
                "cost": request_cost(quota, generation.memory_tokens or None),
                "balance_here": round(quotas.balance(workspace.name), 1),
                "is_over_here": quotas.is_over(workspace.name),
                "issuable_here": quotas.issuer.dump().get(workspace.name),
            }
        return fields

    def _endpoint_rows(
        self, run: RequestRun, route: Route, service: Service
    ) -> list[dict[str, object]]:
        plan = run.plan
        views = self._context.local.views(
            service, plan.generation, plan.is_urgent, plan.binding, plan.contending
        )
        is_permitted = route.permits(self._context.region)
        return [self._endpoint_row(view, is_permitted, service) for view in views]

    def _endpoint_row(
        self, view: EndpointView, is_permitted: bool, service: Service
    ) -> dict[str, object]:
        policy, name = self._context.policy, view.endpoint.endpoint
        excluded = view.obstacle.value if view.obstacle is not None else ""
        if not is_permitted:
            excluded = "its region is not permitted"
        choice = view.choice if is_permitted else None
        slots = service.engine.slots if service.engine is not None else view.endpoint.slots
        return {
            "endpoint": name,
            "failure_domain": view.endpoint.failure_domain,
            "state": view.endpoint.state.value,
            "slots": slots,
            "open_requests": policy.loads.work(name).requests,
            "pace": round(policy.pace.ratio(name), 2),
            "cached_tokens": view.cached_tokens,
            "first_event_ms": round(choice.first_ms, 1) if choice is not None else None,
            "score": round(choice.score, 1) if choice is not None else None,
            "is_saturated": choice.is_saturated if choice is not None else None,
            "excluded": excluded,
            "age_ms": _milliseconds(policy.loads.report_age_s),
        }

    def _region_row(
        self,
        region: RegionId,
        regions: list[RegionId],
        run: RequestRun,
        route: Route,
        service: Service,
    ) -> dict[str, object]:
        context, plan = self._context, run.plan
        summary = context.peers.summary(region, service.name)
        option = None
        if route.permits(region):
            others = [other for other in regions if other != region]
            option = context.regions.best(
                service,
                plan.generation,
                frozenset({region}),
                others,
                (),
                plan.is_urgent,
                contending=plan.contending,
            )
        if not route.permits(region):
            excluded = "not permitted"
        elif summary is None:
            excluded = "no current report of the service"
        elif summary.endpoints == 0:
            excluded = "no usable endpoint there"
        else:
            excluded = "" if option is not None else "no gateway there takes requests"
        return {
            "region": region,
            "gateway": option.peer.instance if option is not None else None,
            "endpoints": summary.endpoints if summary is not None else None,
            "slots": summary.slots if summary is not None else None,
            "open_requests": summary.work.requests if summary is not None else None,
            "first_event_ms": round(option.first_ms, 1) if option is not None else None,
            "score": round(option.score, 1) if option is not None else None,
            "is_saturated": option.is_saturated if option is not None else None,
            "excluded": excluded,
            "age_ms": _milliseconds(context.peers.age_s(region)),
        }


def _find_workspace(
    query: ExplainQuery, route: Route, table: RouteTable
) -> Result[Workspace | None, Problem]:
    if table.workspaces is None:
        return _bad("no workspaces are configured") if query.workspace else Ok(None)
    if route.is_public:
        return Ok(None)
    if not query.workspace:
        return _bad("the route is not public: name the workspace, not its key")
    workspace = table.workspaces.find(query.workspace)
    return Ok(workspace) if workspace is not None else _bad("no workspace has this name")


def _decision_fields(
    option: LocalOption | RegionOption | None, remaining_ms: float
) -> dict[str, object]:
    target: str
    match option:
        case None:
            return {"target": None, "action": "refuse: no endpoint is available"}
        case LocalOption(endpoint, choice):
            target, first_ms, is_saturated = endpoint.endpoint, choice.first_ms, choice.is_saturated
        case RegionOption():
            target, first_ms, is_saturated = option.target, option.first_ms, option.is_saturated
    action = "wait: all endpoints are saturated" if is_saturated else "send"
    if first_ms > remaining_ms:
        action = "refuse: the first event is expected after the deadline"
    return {"target": target, "action": action, "first_event_ms": round(first_ms, 1)}


def _milliseconds(age_s: float) -> int | None:
    return round(age_s * 1000) if math.isfinite(age_s) else None
