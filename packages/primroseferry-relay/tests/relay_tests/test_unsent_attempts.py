"""Attempts that are not sent, or that fail inside the gateway, give back what they took."""

from __future__ import annotations

import socket
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import ServiceId
from primroseferry_relay.attempts.outcome import NotRun
from primroseferry_relay.endpoints.run_verification import START_S
from primroseferry_relay.membership.peer_table import DISCOVERY_TIMEOUT_S
from primroseferry_relay.routes.route_table import build_route_table

from .peer_samples import peer_of
from .peer_samples import roster_of
from .relay_harness import LIMITS
from .relay_harness import NORTH
from .relay_harness import ROUTES
from .relay_harness import RelayHarness
from .relay_harness import TestAdapter
from .test_part_copies import ENGINES
from .test_part_copies import plan
from .test_relay import fixed_answer_endpoint
from .test_relay import status_of
from .test_route_table import SERVICE

if TYPE_CHECKING:
    from primroseferry_relay.endpoints.endpoint import EndpointRun
    from primroseferry_transport.curl_loop import CurlLoop

COLD = replace(SERVICE, warmup_s=60.0, warmup_per_s=1.0)


def test_request_to_a_backed_off_endpoint_takes_none_of_its_cold_rate(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [fixed_answer_endpoint()])
    harness.skipped_s = DISCOVERY_TIMEOUT_S
    (option,) = harness.local.rank(SERVICE, plan().generation, ())
    name = option.endpoint.endpoint
    harness.catalog.set_cold(option.endpoint.run, 60_000)
    harness.policy.backoffs.note(name, 30)
    harness.local.run(option, COLD, plan(), None, lambda _call: None)
    assert harness.policy.cold_limiter.may_send(name)


def test_endpoint_that_became_cold_after_the_choice_gets_requests_of_one_gateway_only(
    loop: CurlLoop,
) -> None:
    endpoint = fixed_answer_endpoint()
    harness = RelayHarness(loop, [endpoint])
    harness.skipped_s = DISCOVERY_TIMEOUT_S
    (option,) = harness.local.rank(COLD, plan().generation, ())
    harness.catalog.set_cold(option.endpoint.run, 60_000)
    others = [peer_of(f"g-{number}", NORTH) for number in range(2, 30)]
    harness.peers.put_roster(roster_of(NORTH, *others))
    assert not harness.peers.is_chosen(option.endpoint.endpoint)
    outcome = harness.local.run(option, COLD, plan(), None, lambda _call: None)
    assert isinstance(outcome, NotRun)
    assert endpoint.requests == []


def test_endpoint_that_became_cold_during_the_wait_for_a_permit_gets_requests_of_one_gateway_only(
    loop: CurlLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    endpoint = fixed_answer_endpoint()
    harness = RelayHarness(loop, [endpoint])
    harness.skipped_s = DISCOVERY_TIMEOUT_S
    (option,) = harness.local.rank(COLD, plan().generation, ())
    others = [peer_of(f"g-{number}", NORTH) for number in range(2, 30)]
    harness.peers.put_roster(roster_of(NORTH, *others))

    def acquire(run: EndpointRun, _is_urgent: bool) -> bool:
        harness.catalog.set_cold(run, 60_000)
        return True

    monkeypatch.setattr(harness.permits, "acquire", acquire)
    outcome = harness.local.run(option, COLD, plan(), None, lambda _call: None)
    assert isinstance(outcome, NotRun)
    assert endpoint.requests == []


def test_connection_that_the_deadline_cuts_short_does_not_put_the_run_in_doubt(
    loop: CurlLoop,
) -> None:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        address = server.getsockname()
        # The queue of connections is full, so the next one is not answered.
        waiting = [socket.create_connection(address, 0.1)]
        endpoint = fixed_answer_endpoint()
        harness = RelayHarness(loop, [endpoint])
        harness.table = build_route_table(4, ROUTES, [COLD], LIMITS)
        (entry,) = harness.catalog.entries().values()
        entry = replace(entry, address=f"127.0.0.1:{address[1]}")
        harness.catalog.put(entry)
        harness.skipped_s = START_S + 0.1
        harness.runs.tick()
        assert status_of(harness.call("/short/")) == 504
        assert not harness.runs.is_unverified(entry.run)
        assert status_of(harness.call("/safe/")) in (502, 503)
        assert harness.runs.is_unverified(entry.run)
        for connection in waiting:
            connection.close()


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


def _raise(*_arguments: object) -> None:
    raise _InjectedError


class _InjectedError(Exception):
    pass


@pytest.mark.parametrize("step", ["placement", "headers", "start", "outcome"])
def test_attempt_that_fails_inside_the_gateway_releases_load_and_breaker(
    loop: CurlLoop, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    harness = RelayHarness(loop, [fixed_answer_endpoint()])
    (option,) = harness.local.rank(ENGINES, plan().generation, ())
    name = option.endpoint.endpoint
    breakers = harness.policy.breakers
    breakers.fail(name, is_certain=True)
    breakers.permit_trial_now(name)
    with monkeypatch.context() as patch:
        match step:
            case "placement":
                patch.setattr(harness, "send_placement", _raise)
            case "headers":
                patch.setattr(TestAdapter, "endpoint_headers", _raise)
            case "outcome":
                patch.setattr(harness.local, "_record_outcome", _raise)
        on_start = _raise if step == "start" else lambda _call: None
        for _ in range(100):
            with pytest.raises(_InjectedError):
                harness.local.run(option, ENGINES, plan(), None, on_start)
    assert harness.policy.loads.own_work() == {}
    assert breakers.permits(name)
