"""Generates seeded open-loop arrivals whose daily peaks are offset between regions."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of a deployment.

    ``share`` is its share of the arrivals. A prompt starts with one of ``prefixes`` different
    prefixes of ``prefix_characters``, as dossiers share their contracts, followed by
    ``unique_characters``. Requests with ``at_fixed_hour`` arrive in one burst a day.
    """

    name: str
    share: float
    prefix_characters: int
    prefixes: int
    unique_characters: int
    answer_tokens: int
    needed_within_ms: int
    at_fixed_hour: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request: its time after the start of the day, its region, kind and prompt."""

    at_s: float
    region: int
    kind: RequestKind
    prompt: str


TERANGA_KINDS = (
    RequestKind("dossier", 0.4, 3_000, 6, 1_000, 40, 4_000),
    RequestKind("question", 0.6, 0, 1, 200, 10, 1_500),
)
LAMAA_KINDS = (
    RequestKind("history", 0.35, 1_000, 6, 800, 30, 2_500, at_fixed_hour=True),
    RequestKind("draft", 0.65, 400, 4, 200, 12, 1_500),
)
PEAK_AMPLITUDE = 0.6
BURST_SHARE_OF_DAY = 0.25


def record_arrivals(
    kinds: tuple[RequestKind, ...], regions: int, rate_per_s: float, day_s: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of one day, compressed to ``day_s``, ordered by time."""
    rng = np.random.default_rng(seed)
    arrivals = []
    for region in range(regions):
        for kind in kinds:
            count = int(rng.poisson(rate_per_s * kind.share * day_s / regions))
            for _ in range(count):
                at_s = _arrival_time_s(rng, kind, region / regions, day_s)
                arrivals.append(Arrival(at_s, region, kind, _prompt(rng, kind)))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _arrival_time_s(
    rng: np.random.Generator, kind: RequestKind, phase: float, day_s: float
) -> float:
    if kind.at_fixed_hour:
        start = 0.3 + 0.3 * phase
        return float((start + BURST_SHARE_OF_DAY * rng.random()) * day_s)
    while True:
        share_of_day = rng.random()
        relative_rate = 1 + PEAK_AMPLITUDE * math.sin(2 * math.pi * (share_of_day - phase))
        if rng.random() * (1 + PEAK_AMPLITUDE) <= relative_rate:
            return float(share_of_day * day_s)


def _prompt(rng: np.random.Generator, kind: RequestKind) -> str:
    prefix = f"{kind.name} {rng.integers(kind.prefixes)} "
    prefix = (prefix * (kind.prefix_characters // len(prefix) + 1))[: kind.prefix_characters]
    unique = f"{rng.integers(10**9)} "
    return prefix + (unique * (kind.unique_characters // len(unique) + 1))[: kind.unique_characters]
