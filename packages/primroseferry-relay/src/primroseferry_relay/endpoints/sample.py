"""Which endpoints of a region are looked at for one request.

Gateways place on figures that are some tens of milliseconds old. If each looked at all endpoints,
all would choose the one that is free in the last digest, and fill it together. The more placements
are under way unseen, the fewer endpoints each looks at, drawn at random: "the power of two choices"
(Mitzenmacher, 2001) keeps loads even without newer figures. Endpoints that hold the prompt's parts
are looked at always; requests with the same parts at the same moment are few.
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

# Without placements that are not seen yet, so many endpoints are all looked at.
MAX_WHOLE = 40
# Beyond, the next ones on a ring by the hash of the prompt's last shared part, which all gateways
# agree on, those that hold most of the prompt, and some drawn at random.
RING_SAMPLE = 4
HOLDER_SAMPLE = 4
MIN_RANDOM_SAMPLE = 4
MAX_RANDOM_SAMPLE = 24


def choose_sample(
    endpoints: Sequence[Endpoint],
    generation: Generation,
    held_tokens: Callable[[Endpoint], int] = lambda _endpoint: 0,
    unseen_placements: float = 0.0,
) -> Sequence[Endpoint]:
    """Return the endpoints to choose among; the cost of the choice stays bounded.

    ``held_tokens`` tells what of the prompt an endpoint holds. ``unseen_placements`` are the
    requests that the region's gateways have probably placed since their last word.
    """
    count = len(endpoints)
    if unseen_placements <= 1 and count <= MAX_WHOLE:
        return endpoints
    drawn = math.ceil(count / max(1.0, unseen_placements))
    drawn = min(count, MAX_RANDOM_SAMPLE, max(MIN_RANDOM_SAMPLE, drawn))
    if drawn + RING_SAMPLE + HOLDER_SAMPLE >= count:
        return endpoints
    ring = sorted(endpoints, key=lambda endpoint: _point(endpoint.endpoint))
    start = _point(generation.affinity_key)
    at = bisect.bisect(ring, start, key=lambda endpoint: _point(endpoint.endpoint))
    near = (ring[at:] + ring[:at])[:RING_SAMPLE]
    holders = _fullest(endpoints, held_tokens)
    chosen = {
        endpoint.endpoint: endpoint
        for endpoint in (*holders, *near, *random.sample(endpoints, drawn))
    }
    return list(chosen.values())


def _fullest(
    endpoints: Sequence[Endpoint], held_tokens: Callable[[Endpoint], int]
) -> list[Endpoint]:
    """Return those that hold most; many may hold the same, and then gateways differ."""
    held = [(held_tokens(endpoint), random.random(), endpoint) for endpoint in endpoints]
    fullest = sorted(held, key=lambda one: one[:2], reverse=True)[:HOLDER_SAMPLE]
    return [endpoint for tokens, _, endpoint in fullest if tokens > 0]


def _point(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
