from __future__ import annotations

from dataclasses import replace

from primroseferry_core.ids import EndpointId
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.endpoints.sample import MAX_WHOLE
from primroseferry_relay.endpoints.sample import RANDOM_SAMPLE
from primroseferry_relay.endpoints.sample import RING_SAMPLE
from primroseferry_relay.endpoints.sample import choose_sample

from .test_catalog import ENDPOINT

PROMPT = Generation((PromptPart(PartId("shared"), 100), PromptPart(PartId("own"), 10)), 110, 5)


def test_few_endpoints_are_all_looked_at() -> None:
    few = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(MAX_WHOLE)]
    assert choose_sample(few, PROMPT) == few


def test_many_endpoints_are_sampled_and_gateways_agree_on_the_ring() -> None:
    many = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(1_000)]
    first = choose_sample(many, PROMPT)
    second = choose_sample(list(reversed(many)), PROMPT)
    assert len(first) <= RING_SAMPLE + RANDOM_SAMPLE
    assert first[:RING_SAMPLE] == second[:RING_SAMPLE]
