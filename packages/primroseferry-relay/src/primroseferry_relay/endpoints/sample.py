"""Samples the endpoints of a region that are considered for one request.

Gateways place requests by reported loads that are some tens of milliseconds old. If every gateway
considered all endpoints, all would choose the one that is idle in the last digest and overload it
together. The more placements the last digest does not contain, the fewer endpoints are considered,
drawn at random: "the power of two choices" (Mitzenmacher, 2001) keeps the loads balanced although
no newer reports exist. The endpoints with the most cached tokens of the prompt are always
considered, because few requests with the same parts arrive at the same moment.
"""

from __future__ import annotations

import bisect
import math
import random
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseferry_policy.prompt import Generation

    from .endpoint import Endpoint

# Up to this many endpoints are all considered while at most one placement is unreported.
MAX_UNSAMPLED_ENDPOINTS = 40
# Otherwise the sample has three groups: the next endpoints on a hash ring after the hash of the
# prompt's last shared part, which is the same on all gateways; those with the most cached tokens;
# and some drawn at random.
RING_SAMPLE = 4
CACHED_SAMPLE = 4
MIN_RANDOM_SAMPLE = 4
MAX_RANDOM_SAMPLE = 24


def choose_sample(
    endpoints: Sequence[Endpoint],
    generation: Generation,
    cached_tokens: Callable[[Endpoint], int] = lambda _endpoint: 0,
    unreported_placements: float = 0.0,
) -> Sequence[Endpoint]:
    """Return the endpoints to choose among; their number is bounded.

    ``cached_tokens`` returns the number of prompt tokens that an endpoint has cached.
    ``unreported_placements`` is the estimated number of requests that the region's gateways have
    placed since their last reports.
    """
    count = len(endpoints)
    if unreported_placements <= 1 and count <= MAX_UNSAMPLED_ENDPOINTS:
        return endpoints
    random_count = math.ceil(count / max(1.0, unreported_placements))
    random_count = min(count, MAX_RANDOM_SAMPLE, max(MIN_RANDOM_SAMPLE, random_count))
    if random_count + RING_SAMPLE + CACHED_SAMPLE >= count:
        return endpoints
    ring = sorted(endpoints, key=lambda endpoint: _ring_position(endpoint.endpoint))
    key_position = _ring_position(generation.affinity_key)
    index = bisect.bisect(
        ring, key_position, key=lambda endpoint: _ring_position(endpoint.endpoint)
    )
    ring_sample = (ring[index:] + ring[:index])[:RING_SAMPLE]
    cached = _most_cached(endpoints, cached_tokens)
    chosen = {
        endpoint.endpoint: endpoint
        for endpoint in (*cached, *ring_sample, *random.sample(endpoints, random_count))
    }
    return list(chosen.values())


def _most_cached(
    endpoints: Sequence[Endpoint], cached_tokens: Callable[[Endpoint], int]
) -> list[Endpoint]:
    """Return the endpoints with the most cached tokens; each gateway breaks ties at random."""
    ranked = [(cached_tokens(endpoint), random.random(), endpoint) for endpoint in endpoints]
    best = sorted(ranked, key=lambda entry: entry[:2], reverse=True)[:CACHED_SAMPLE]
    return [endpoint for tokens, _, endpoint in best if tokens > 0]


def _ring_position(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
