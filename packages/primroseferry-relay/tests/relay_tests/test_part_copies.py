"""Prompt parts that an engine copies from another one: choice of the source, and its header."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_policy.far_parts import PartPrefill
from primroseferry_policy.part_cache import PREFILL_DELAY_S
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.attempts.outcome import Answered
from primroseferry_relay.decision import DecisionRecord
from primroseferry_relay.local_attempts import AttemptPlan
from primroseferry_relay.messages import RelayRequest
from primroseferry_relay.routes.service import EngineSize
from primroseferry_relay.suspect import Suspect

from .peer_samples import PEER
from .peer_samples import SOUTH
from .peer_samples import roster_of
from .relay_harness import NORTH
from .relay_harness import RelayHarness
from .test_relay import fixed_answer_endpoint
from .test_route_table import SERVICE

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

ENGINES = replace(SERVICE, engine=EngineSize(64, 250_000, copy_tokens_per_ms=420.0))
SHARED = (PromptPart(PartId("group"), 2_500), PromptPart(PartId("subject"), 3_800))
PROMPT = Generation((*SHARED, PromptPart(PartId("own"), 2_900)), 9_200, 50)
FIRST, SECOND, REMOTE = EndpointId("e-0"), EndpointId("e-1"), EndpointId("far")


def plan() -> AttemptPlan:
    now_s = time.monotonic()
    request = RelayRequest("POST", "/safe/x", "a.example", (), b"prompt", now_s)
    return AttemptPlan(
        request, "r1", Suspect(Fingerprint("f1")), ENGINES.name, PROMPT, now_s + 5, 3, "", False
    )


def test_engine_copies_parts_that_another_engine_has_cached(loop: CurlLoop) -> None:
    engines = [fixed_answer_endpoint(), fixed_answer_endpoint()]
    harness = RelayHarness(loop, engines)
    harness.policy.parts.record_prefill(FIRST, SHARED)
    time.sleep(PREFILL_DELAY_S)
    option = next(
        ranked
        for ranked in harness.local.rank(ENGINES, PROMPT, ())
        if ranked.endpoint.endpoint == SECOND
    )
    assert option.choice.uncached_tokens == 2_900
    record = DecisionRecord("r1", time.monotonic())
    record.note_attempt(option)
    assert record.attempts[0].startswith("e-1 copying 6300 from e-0 (")
    outcome = harness.local.run(option, ENGINES, plan(), None, lambda _call: None)
    assert isinstance(outcome, Answered)
    assert engines[1].requests[0].header("x-copy-from") == engines[0].address


def test_parts_are_copied_from_an_engine_whose_request_limit_is_used_up(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [fixed_answer_endpoint(), fixed_answer_endpoint()])
    harness.policy.parts.record_prefill(FIRST, SHARED)
    time.sleep(PREFILL_DELAY_S)
    limited = harness.catalog.entries()[FIRST]
    limits = harness.policy.request_limits
    limits.note_answer(limited.run, 0.5, limits.now_s())
    harness.local.run(harness.local.rank(ENGINES, PROMPT, ())[0], ENGINES, plan(), None, print)
    (option,) = harness.local.rank(ENGINES, PROMPT, ())
    assert option.endpoint.endpoint == SECOND
    assert option.choice.copy is not None
    assert option.choice.copy.source == FIRST


def test_engine_with_cached_parts_copies_nothing(loop: CurlLoop) -> None:
    engines = [fixed_answer_endpoint(), fixed_answer_endpoint()]
    harness = RelayHarness(loop, engines)
    harness.policy.parts.record_prefill(FIRST, SHARED)
    time.sleep(PREFILL_DELAY_S)
    option = harness.local.rank(ENGINES, PROMPT, ())[0]
    assert option.endpoint.endpoint == FIRST
    harness.local.run(option, ENGINES, plan(), None, lambda _call: None)
    assert engines[0].requests[0].header("x-copy-from") == ""


@pytest.mark.parametrize("change", ["reached", "region-unreached", "other-service", "gone"])
def test_parts_are_copied_from_a_remote_region_only_while_its_engine_is_usable(
    loop: CurlLoop, change: str
) -> None:
    harness = RelayHarness(loop, [fixed_answer_endpoint()])
    local_endpoint = harness.catalog.find(FIRST)
    assert local_endpoint is not None
    service = (
        replace(SERVICE, name="others").name
        if change == "other-service"
        else local_endpoint.service
    )
    remote_endpoint = replace(
        local_endpoint,
        endpoint=REMOTE,
        region=SOUTH,
        failure_domain=FailureDomainId("south-a"),
        service=service,
    )
    if change != "gone":
        harness.catalog.put(remote_endpoint)
    if change != "region-unreached":
        harness.peers.put_roster(roster_of(SOUTH, replace(PEER, region=SOUTH)))
    harness.policy.remote_parts.note(PartPrefill(REMOTE, PartId("subject"), 6_300))
    time.sleep(PREFILL_DELAY_S)
    copy = harness.local.rank(ENGINES, PROMPT, ())[0].choice.copy
    if change == "reached":
        assert copy is not None
        assert copy.source == REMOTE
    else:
        assert copy is None
    assert local_endpoint.region == NORTH


def test_only_requests_to_engines_are_reported_at_once(loop: CurlLoop) -> None:
    harness = RelayHarness(loop, [fixed_answer_endpoint()])
    call = harness.local.rank(SERVICE, PROMPT, ())[0]
    harness.local.run(call, SERVICE, plan(), None, lambda _call: None)
    assert harness.placed == []
    generation = harness.local.rank(ENGINES, PROMPT, ())[0]
    harness.local.run(generation, ENGINES, plan(), None, lambda _call: None)
    assert [placed.endpoint for placed in harness.placed] == [FIRST]
