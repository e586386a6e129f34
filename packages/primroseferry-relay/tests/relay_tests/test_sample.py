from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseferry_core.ids import EndpointId
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_relay.endpoints.sample import CACHED_SAMPLE
from primroseferry_relay.endpoints.sample import MAX_RANDOM_SAMPLE
from primroseferry_relay.endpoints.sample import MAX_UNSAMPLED_ENDPOINTS
from primroseferry_relay.endpoints.sample import RING_SAMPLE
from primroseferry_relay.endpoints.sample import choose_sample

from .test_catalog import ENDPOINT

if TYPE_CHECKING:
    from primroseferry_relay.endpoints.endpoint import Endpoint

PROMPT = Generation((PromptPart(PartId("shared"), 100), PromptPart(PartId("own"), 10)), 110, 5)


def test_few_endpoints_are_all_considered() -> None:
    few = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(MAX_UNSAMPLED_ENDPOINTS)]
    assert choose_sample(few, PROMPT) == few


def test_many_endpoints_are_sampled_and_gateways_agree_on_the_ring() -> None:
    many = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(1_000)]
    cached = {EndpointId(f"e-{n}"): n + 1 for n in range(CACHED_SAMPLE)}

    def cached_tokens(endpoint: Endpoint) -> int:
        return cached.get(endpoint.endpoint, 0)

    first = choose_sample(many, PROMPT, cached_tokens)
    second = choose_sample(list(reversed(many)), PROMPT, cached_tokens)
    assert len(first) <= CACHED_SAMPLE + RING_SAMPLE + MAX_RANDOM_SAMPLE
    shared_count = CACHED_SAMPLE + RING_SAMPLE
    assert first[:shared_count] == second[:shared_count]
    assert {endpoint.endpoint for endpoint in first} >= cached.keys()


def _highest_load(endpoints: int, placements: int, staleness: int, knows_unreported: bool) -> int:
    """Place requests by stale loads; return the highest number of requests on one endpoint.

    Each placement sees the loads as they were ``staleness`` placements ago. ``knows_unreported``:
    the sample depends on the number of placements that are not visible yet.
    """
    names = [replace(ENDPOINT, endpoint=EndpointId(f"e-{n}")) for n in range(endpoints)]
    history = [dict.fromkeys((endpoint.endpoint for endpoint in names), 0)]
    source = random.Random(3)
    random.seed(3)
    for _ in range(placements):
        seen = history[max(0, len(history) - 1 - staleness)]
        prompt = Generation((PromptPart(PartId(str(source.random())), 9),) * 2, 18, 5)
        sample = choose_sample(
            names, prompt, unreported_placements=staleness if knows_unreported else 0.0
        )
        chosen = min(sample, key=lambda endpoint: seen[endpoint.endpoint])
        history.append({**history[-1], chosen.endpoint: history[-1][chosen.endpoint] + 1})
    return max(history[-1].values())


def test_gateways_with_stale_loads_do_not_all_choose_the_same_endpoint() -> None:
    """The peak of a region: 36 engines and 20 placed requests that no gateway has reported yet."""
    mean = 360 / 36
    assert _highest_load(36, 360, 20, knows_unreported=True) <= mean * 1.6
    assert _highest_load(36, 360, 20, knows_unreported=False) > mean * 1.6
