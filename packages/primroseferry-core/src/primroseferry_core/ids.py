"""Identifier types. Each is distinct, so that the type checker rejects a mix-up."""

from __future__ import annotations

import secrets
from typing import NewType

RequestId = NewType("RequestId", str)
CustomerId = NewType("CustomerId", str)
WorkspaceId = NewType("WorkspaceId", str)
PlanId = NewType("PlanId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
RegionId = NewType("RegionId", str)
FailureDomainId = NewType("FailureDomainId", str)
InstanceId = NewType("InstanceId", str)
IncarnationId = NewType("IncarnationId", str)
EndpointId = NewType("EndpointId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)

_REQUEST_ID_BYTES = 9
_INCARNATION_BYTES = 8
_CHANGE_ID_BYTES = 8


def new_request_id() -> RequestId:
    """Return a new random request id, for example ``req-k3v0Xq...``."""
    return RequestId("req-" + secrets.token_urlsafe(_REQUEST_ID_BYTES))


def new_incarnation_id() -> IncarnationId:
    """Return a new random id for one run of a process; a restart gets another one."""
    return IncarnationId(secrets.token_hex(_INCARNATION_BYTES))


def new_change_id() -> ChangeId:
    """Return a new random id for one change of the plans."""
    return ChangeId("chg-" + secrets.token_hex(_CHANGE_ID_BYTES))
