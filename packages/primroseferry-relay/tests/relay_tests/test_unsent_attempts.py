"""Attempts that are not sent give back what they took."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import ServiceId

from .relay_harness import RelayHarness
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop


def test_retry_that_is_not_sent_takes_nothing_of_the_retry_budget(loop: CurlLoop) -> None:
    failing = fixed_answer_endpoint("500 Internal Server Error")
    harness = RelayHarness(loop, [failing, fixed_answer_endpoint()])
    limits = harness.policy.request_limits
    limited = harness.catalog.entries()[EndpointId("e-1")]
    limits.note_answer(limited.run, 0.5, limits.now_s())
    spent: list[ServiceId] = []
    returned: list[ServiceId] = []
    harness.policy.budget.spend = lambda service, _live: not spent.append(service)  # type: ignore[func-returns-value, method-assign, assignment]
    harness.policy.budget.refund = returned.append  # type: ignore[method-assign, assignment]
    while not spent:
        assert status_of(harness.call("/safe/")) in (500, 503)
    assert returned == spent
