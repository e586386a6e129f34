"""Copies of prompt parts between engines."""

from __future__ import annotations

from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_policy.endpoint_loads import NO_WORK
from primroseferry_policy.part_cache import PREFILL_DELAY_S
from primroseferry_policy.part_cache import CachedTokens
from primroseferry_policy.part_cache import PartCache
from primroseferry_policy.part_copy import COPY_SETUP_MS
from primroseferry_policy.part_copy import CopySources
from primroseferry_policy.part_copy import PartHolder
from primroseferry_policy.placement import Candidate
from primroseferry_policy.placement import engine_choice
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart

SAME_DOMAIN, OTHER_DOMAIN = FailureDomainId("near"), FailureDomainId("far")
EMPTY = PartHolder(EndpointId("empty"), SAME_DOMAIN)


def holder(name: str, domain: FailureDomainId, computed_tokens: int) -> PartHolder:
    return PartHolder(EndpointId(name), domain, CachedTokens(computed_tokens, computed_tokens))


def test_copy_prefers_most_tokens_then_the_same_failure_domain() -> None:
    holders = [
        EMPTY,
        holder("less", SAME_DOMAIN, 1_000),
        holder("b", OTHER_DOMAIN, 6_300),
        holder("a", SAME_DOMAIN, 6_300),
    ]
    copy = CopySources(holders, 420).choose(EMPTY)
    assert copy is not None
    assert copy.source == "a"
    assert copy.tokens == 6_300
    assert copy.duration_ms == COPY_SETUP_MS + 15


def test_copy_between_failure_domains_takes_twice_as_long() -> None:
    copy = CopySources([holder("b", OTHER_DOMAIN, 4_200)], 420).choose(EMPTY)
    assert copy is not None
    assert copy.duration_ms == COPY_SETUP_MS + 20


def test_copy_that_saves_little_is_not_chosen() -> None:
    full = holder("full", SAME_DOMAIN, 6_300)
    assert CopySources([full], 420).choose(full) is None
    assert CopySources([full, holder("same", SAME_DOMAIN, 6_400)], 420).choose(full) is None
    assert CopySources([full], 0).choose(EMPTY) is None


def test_parts_in_prefill_are_not_copied() -> None:
    now_s = 100.0
    cache = PartCache(lambda: now_s)
    parts = [PromptPart(PartId("shared"), 6_000), PromptPart(PartId("own"), 900)]
    name = EndpointId("reader")
    cache.record_prefill(name, parts)
    assert cache.cached_tokens(name, parts) == CachedTokens(6_900, 0)
    now_s += PREFILL_DELAY_S
    assert cache.cached_tokens(name, parts) == CachedTokens(6_900, 6_900)
    other = [parts[0], PromptPart(PartId("another"), 500)]
    cache.record_prefill(name, other)
    assert cache.cached_tokens(name, other) == CachedTokens(6_500, 6_000)


def test_engine_choice_expects_a_copy_to_be_faster_than_prefill() -> None:
    generation = Generation((PromptPart(PartId("shared"), 6_300),), 9_000, 50)
    copy = CopySources([holder("full", SAME_DOMAIN, 6_300)], 420).choose(EMPTY)
    without_copy = Candidate(EMPTY.endpoint, 64, 250_000, NO_WORK, 0, 1.0, 0.0)
    with_copy = Candidate(EMPTY.endpoint, 64, 250_000, NO_WORK, 0, 1.0, 0.0, copy=copy)
    prefill_choice, copy_choice = engine_choice(without_copy, generation), engine_choice(
        with_copy, generation
    )
    assert copy_choice.uncached_tokens == 2_700
    assert copy_choice.copy == copy
    assert copy_choice.first_ms < prefill_choice.first_ms - 100
    assert copy_choice.score < prefill_choice.score
