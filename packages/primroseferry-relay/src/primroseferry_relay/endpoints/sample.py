"""Which endpoints of a large region are looked at for one request."""

from __future__ import annotations

import bisect
import random
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseferry_policy.prompt import Generation

    from .endpoint import Endpoint

# With so many endpoints all are looked at.
MAX_WHOLE = 40
# Beyond, the next ones on a ring by the hash of the prompt's last shared part, which all gateways
# agree on, and as many drawn at random, so that load finds the free ones.
RING_SAMPLE = 12
RANDOM_SAMPLE = 12


def choose_sample(endpoints: Sequence[Endpoint], generation: Generation) -> Sequence[Endpoint]:
    """Return the endpoints to choose among; the cost of the choice stays bounded."""
    if len(endpoints) <= MAX_WHOLE:
        return endpoints
    ring = sorted(endpoints, key=lambda endpoint: _point(endpoint.endpoint))
    start = _point(generation.affinity_key)
    at = bisect.bisect(ring, start, key=lambda endpoint: _point(endpoint.endpoint))
    near = (ring[at:] + ring[:at])[:RING_SAMPLE]
    names = {endpoint.endpoint for endpoint in near}
    drawn = random.sample(endpoints, RANDOM_SAMPLE)
    return [*near, *(endpoint for endpoint in drawn if endpoint.endpoint not in names)]


def _point(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
