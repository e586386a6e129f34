"""Recording of failed attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_policy.routing import LocalTarget
from primroseferry_policy.routing import RemoteTarget

from .decisions import describe_target
from .targets import region_circuit_key

if TYPE_CHECKING:
    from primroseferry_policy.routing import Option

    from .request_context import RequestContext


def record_failure(context: RequestContext, option: Option, reason: str) -> None:
    """Trace and log a failed attempt, and exclude its target from the next attempts."""
    target = describe_target(option.target)
    context.trace.note("attempt failed", f"{target}: {reason}")
    log_event(Event.ATTEMPT_FAILED, request_id=context.request_id, target=target, reason=reason)
    match option.target:
        case LocalTarget(endpoint):
            context.excluded_endpoints.add(endpoint)
        case RemoteTarget(region):
            context.excluded_endpoints.add(region_circuit_key(region))
