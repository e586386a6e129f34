"""Recorded arrivals: open loop, seeded, with daily peaks that are offset between regions."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of a deployment.

    ``share`` is its part of the arrivals. Requests of a kind share ``prefixes`` different
    beginnings of ``prefix_characters``, as dossiers share their contracts. ``at_fixed_hour``
    requests arrive in one burst a day.
    """

    name: str
    share: float
    prefix_characters: int
    prefixes: int
    own_characters: int
    answer_tokens: int
    needed_within_ms: int
    at_fixed_hour: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request: when, in which region, and what it asks."""

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
PEAK_DEPTH = 0.6
BURST_SHARE_OF_DAY = 0.25


def record_arrivals(
    kinds: tuple[RequestKind, ...], regions: int, rate_per_s: float, day_s: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of one day, shrunk to ``day_s``, in the order of their times."""
    source = np.random.default_rng(seed)
    arrivals = []
    for region in range(regions):
        for kind in kinds:
            count = int(source.poisson(rate_per_s * kind.share * day_s / regions))
            for _ in range(count):
                at_s = _time(source, kind, region / regions, day_s)
                arrivals.append(Arrival(at_s, region, kind, _prompt(source, kind)))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _time(source: np.random.Generator, kind: RequestKind, phase: float, day_s: float) -> float:
    if kind.at_fixed_hour:
        start = 0.3 + 0.3 * phase
        return float((start + BURST_SHARE_OF_DAY * source.random()) * day_s)
    while True:
        at = source.random()
        height = 1 + PEAK_DEPTH * math.sin(2 * math.pi * (at - phase))
        if source.random() * (1 + PEAK_DEPTH) <= height:
            return float(at * day_s)


def _prompt(source: np.random.Generator, kind: RequestKind) -> str:
    prefix = f"{kind.name} {source.integers(kind.prefixes)} "
    prefix = (prefix * (kind.prefix_characters // len(prefix) + 1))[: kind.prefix_characters]
    own = f"{source.integers(10**9)} "
    return prefix + (own * (kind.own_characters // len(own) + 1))[: kind.own_characters]
