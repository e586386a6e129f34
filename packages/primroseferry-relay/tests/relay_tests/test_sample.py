from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.endpoints.sample import HOLDER_SAMPLE
from primroseferry_relay.endpoints.sample import MAX_RANDOM_SAMPLE
from primroseferry_relay.endpoints.sample import MAX_WHOLE
from primroseferry_relay.endpoints.sample import RING_SAMPLE
from primroseferry_relay.endpoints.sample import choose_sample

from .test_catalog import ENDPOINT

if TYPE_CHECKING:
    from primroseferry_relay.endpoints.endpoint import Endpoint

PROMPT = Generation((PromptPart(PartId("shared"), 100), PromptPart(PartId("own"), 10)), 110, 5)


def test_few_endpoints_are_all_looked_at() -> None:
    few = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(MAX_WHOLE)]
    assert choose_sample(few, PROMPT) == few


def test_many_endpoints_are_sampled_and_gateways_agree_on_the_ring() -> None:
    many = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(1_000)]
    held = {EndpointId(f"e-{n}"): n + 1 for n in range(HOLDER_SAMPLE)}

    def held_tokens(endpoint: Endpoint) -> int:
        return held.get(endpoint.endpoint, 0)

    first = choose_sample(many, PROMPT, held_tokens)
    second = choose_sample(list(reversed(many)), PROMPT, held_tokens)
    assert len(first) <= HOLDER_SAMPLE + RING_SAMPLE + MAX_RANDOM_SAMPLE
    agreed = HOLDER_SAMPLE + RING_SAMPLE
    assert first[:agreed] == second[:agreed]
    assert {endpoint.endpoint for endpoint in first} >= held.keys()


def _fullest(endpoints: int, placements: int, seen_after: int, knows_unseen: bool) -> int:
    """Place requests by open ones as they were some placements ago; return the most on one."""
    names = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(endpoints)]
    history = [dict.fromkeys((one.endpoint for one in names), 0)]
    source = random.Random(3)
    random.seed(3)
    for _ in range(placements):
        seen = history[max(0, len(history) - 1 - seen_after)]
        prompt = Generation((PromptPart(PartId(str(source.random())), 9),) * 2, 18, 5)
        sample = choose_sample(names, prompt, unseen_placements=seen_after if knows_unseen else 0.0)
        chosen = min(sample, key=lambda one: seen[one.endpoint])
        history.append({**history[-1], chosen.endpoint: history[-1][chosen.endpoint] + 1})
    return max(history[-1].values())


def test_gateways_that_place_on_old_figures_do_not_herd() -> None:
    """A peak of a region: 36 engines, and 20 requests on the way that nobody has heard of."""
    mean = 360 / 36
    assert _fullest(36, 360, 20, knows_unseen=True) <= mean * 1.6
    assert _fullest(36, 360, 20, knows_unseen=False) > mean * 1.6
