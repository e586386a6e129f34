"""Identifiers used across primroseferry, each a type of its own so that they cannot be mixed up."""

from __future__ import annotations

import secrets
from typing import NewType

RequestId = NewType("RequestId", str)
CustomerId = NewType("CustomerId", str)
PlanId = NewType("PlanId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
RegionId = NewType("RegionId", str)
FailureDomainId = NewType("FailureDomainId", str)
InstanceId = NewType("InstanceId", str)
IncarnationId = NewType("IncarnationId", str)
EndpointId = NewType("EndpointId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)

_REQUEST_ID_BYTES = 9
_INCARNATION_BYTES = 8
_CHANGE_ID_BYTES = 8


def new_request_id() -> RequestId:
    """Return a fresh random request id, for example ``req-k3v0Xq...``."""
    return RequestId("req-" + secrets.token_urlsafe(_REQUEST_ID_BYTES))


def new_incarnation_id() -> IncarnationId:
    """Return the random id that tells one run of a process from every other run of it."""
    return IncarnationId(secrets.token_hex(_INCARNATION_BYTES))


def new_change_id() -> ChangeId:
    """Return a fresh random id for one change of the plans."""
    return ChangeId("chg-" + secrets.token_hex(_CHANGE_ID_BYTES))
