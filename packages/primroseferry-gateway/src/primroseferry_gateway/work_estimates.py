"""Estimates of the work of a request, derived from the request itself."""

from __future__ import annotations

import json
from typing import Any

from primroseferry_core.hashing import request_fingerprint
from primroseferry_policy.routing import TYPICAL_ANSWER_TOKENS
from primroseferry_policy.routing import Work

from .targets import Demand

PREFIX_CHARACTERS = 1_024
SERVICE_WORK = Work(prompt_characters=0, answer_tokens=1)


def chat_demand(customer: str, body: dict[str, Any]) -> Demand:
    """Return the demand of a validated chat request; its prefix determines cache affinity."""
    prompt = json.dumps(body["messages"], sort_keys=True)
    answer_tokens = body.get("max_tokens") or TYPICAL_ANSWER_TOKENS
    prefix = prompt[:PREFIX_CHARACTERS].encode()
    return Demand(
        serves=body["model"],
        is_engine=True,
        work=Work(len(prompt), answer_tokens),
        affinity_key=request_fingerprint(customer, body["model"], prefix),
    )


def service_demand(service: str) -> Demand:
    """Return the demand of a call to a plain service."""
    return Demand(serves=service, is_engine=False, work=SERVICE_WORK)
