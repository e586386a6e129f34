"""Capacity of endpoints, learned by a gateway from the answers that it receives.

Handles a service whose endpoints differ in speed, slow down for seconds, or slow down long before
all their slots are taken. See docs/design/endpoint-capacity.md.
"""

from __future__ import annotations

import math
import threading
import time
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseferry_core.ids import EndpointId
    from primroseferry_core.ids import ServiceId

# A service whose endpoints report a slowdown does so with every answer.
ACTIVE_S = 60.0
# Bounds of one observation and of the result, so that a single outlier has little effect.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 8.0
# Observations within one slice count as one: a long prompt delays all streams of an engine once.
SLICE_S = 0.05
# A slowdown is the median of this time, and is therefore followed after about half of it.
WINDOW_S = 0.9
# Weights in the median; a slice has 1. Two slices, or a report, do not change the result alone.
MEMORY_WEIGHT = 2.0
REPORT_WEIGHT = 1.5
REPORT_LIFETIME_S = 0.4
REPORT_LEARNING_RATE = 0.5
MIN_SLICES_TO_LEARN = 3
# The memory of the last slowdown, and the usual slowdown of an endpoint towards which it decays.
# The usual one rises slowly, so that it stays that of an endpoint which is not overloaded.
MEMORY_TIME_S = 2.0
MEMORY_HALF_LIFE_S = 0.7
USUAL_RISE_S = 15.0
USUAL_FALL_S = 8.0
USUAL_HALF_LIFE_S = 10.0
# An unknown endpoint's usual slowdown is the mean of this time.
FIRST_USUAL_S = 1.5
# Share of the endpoints of a service that count as healthy when one is compared with the others.
# If more of them are slower than usual, all are, and none loses room.
HEALTHY_SHARE = 1 / 3
# How much slower than usual an endpoint is, compared with the healthy ones of its service, when it
# loses room, and when not.
BEHIND_RATIO = 1.4
RECOVERED_RATIO = 1.2
# Growth of the room per second as a share of the slots: below the load at which the endpoint fell
# behind, and above it.
FAST_GROWTH_PER_S = 0.8
SLOW_GROWTH_PER_S = 0.06
KNEE_SHARE = 0.9
# An endpoint that falls behind again within this time after it recovered does so by its load.
KNEE_TIME_S = 3.0
# The least room, as a share of the slots, of an endpoint that has been behind for less than this
# time, unless it is by its load. With less, endpoints that change every second lose more by a room
# that is out of date than by their slowness, which counts in their expected times already.
MIN_FIRST_SHARE = 0.6
FIRST_SHARE_S = 1.0
# Rates at which the typical figures of a service are followed: at most so much per second and per
# update, and more by the first observations.
TYPICAL_RATE_PER_S = 0.15
MAX_TYPICAL_CHANGE = 0.05
MIN_TYPICAL_TIME_S = 0.1
FIRST_OBSERVATIONS = 20
FIRST_TYPICAL_RATE = 0.4
TYPICAL_QUANTILE = 0.4
# A stream reports its speed at most once in this time.
MIN_STREAM_REPORT_S = 0.04


class CapacitySwitch(Enum):
    """Whether capacity is learned: for services that report a slowdown, for all or for none."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


@dataclass(frozen=True, slots=True)
class LearnedCapacity:
    """The slowdown of an endpoint, and its room as a share of its slots."""

    slowdown: float
    room_share: float


@dataclass(slots=True)
class _Slice:
    index: int
    log_sum: float = 0.0
    count: int = 0

    @property
    def mean(self) -> float:
        return math.exp(self.log_sum / self.count)


@dataclass(slots=True)
class _Typical:
    """A low quantile of the observations of all endpoints of a service."""

    value: float
    updated_s: float
    observed: int = 0
    below: int = 0
    total: int = 0

    def follow(self, observed: float, now_s: float) -> None:
        self.observed += 1
        self.total += 1
        self.below += observed <= self.value
        rate = min(MAX_TYPICAL_CHANGE, TYPICAL_RATE_PER_S * (now_s - self.updated_s))
        if self.observed < FIRST_OBSERVATIONS:
            rate = FIRST_TYPICAL_RATE / self.observed
        elif now_s - self.updated_s < MIN_TYPICAL_TIME_S:
            return
        self.value *= math.exp(rate * (TYPICAL_QUANTILE - self.below / self.total))
        self.updated_s = now_s
        self.below = self.total = 0


@dataclass(slots=True)
class _ServiceState:
    """``reported_s`` is when an endpoint last reported to any gateway, ``own_`` to this one."""

    reported_s: float = -math.inf
    own_reported_s: float = -math.inf
    first: _Typical | None = None
    event: _Typical | None = None
    endpoints: dict[EndpointId, _Profile] = field(default_factory=dict)
    healthy_excess: float = 1.0
    middle_usual: float = 1.0
    compared_s: float = -math.inf


@dataclass(slots=True)
class _Profile:
    """The state of one run of an endpoint; 1 is the typical speed of its service."""

    service: _ServiceState
    evaluated_s: float
    slices: deque[_Slice] = field(default_factory=deque)
    report: float = 1.0
    reported_s: float = -math.inf
    memory: float = 1.0
    usual: float = 1.0
    learned_s: float = 0.0
    value: float = 1.0
    room_share: float = 1.0
    knee_share: float = 1.0
    room_s: float = -math.inf
    is_behind: bool = False
    behind_s: float = -math.inf
    recovered_s: float = -math.inf

    @property
    def excess(self) -> float:
        """How much slower than usual the endpoint is."""
        return self.value / self.usual


class EndpointProfiles:
    """Slowdown and room of each endpoint that this gateway uses; safe to use from any thread.

    A slowdown of 2 means that the endpoint's answers take twice the expected time. The room is the
    number of requests that it takes while they stay as fast as on the other endpoints.
    """

    def __init__(
        self,
        clock_s: Callable[[], float] = time.monotonic,
        switch: CapacitySwitch = CapacitySwitch.AUTO,
    ) -> None:
        self._clock_s = clock_s
        self._switch = switch
        self._services: dict[ServiceId, _ServiceState] = {}
        self._profiles: dict[EndpointId, _Profile] = {}
        self._lock = threading.Lock()

    def is_active(self, service: ServiceId) -> bool:
        """Whether the capacity of the endpoints of a service is learned and used."""
        match self._switch:
            case CapacitySwitch.ON:
                return True
            case CapacitySwitch.OFF:
                return False
            case CapacitySwitch.AUTO:
                state = self._services.get(service)
                return state is not None and self._clock_s() - state.reported_s < ACTIVE_S

    def note_report(self, service: ServiceId, endpoint: EndpointId, slowdown: float) -> None:
        """Record the slowdown that an endpoint reports of its machine."""
        now_s = self._clock_s()
        with self._lock:
            profile = self._profile(service, endpoint, now_s)
            profile.service.reported_s = profile.service.own_reported_s = now_s
            bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
            is_fresh = now_s - profile.reported_s < REPORT_LIFETIME_S
            rate = REPORT_LEARNING_RATE if is_fresh else 1.0
            profile.report += rate * (bounded - profile.report)
            profile.reported_s = now_s

    def note_peer_report(self, service: ServiceId, age_s: float) -> bool:
        """Record that another gateway got a report of a service ``age_s`` ago.

        Return whether the capacity of the service begins to be used by that.
        """
        if age_s >= ACTIVE_S:
            return False
        now_s = self._clock_s()
        with self._lock:
            state = self._services.setdefault(service, _ServiceState())
            was_active = now_s - state.reported_s < ACTIVE_S
            state.reported_s = max(state.reported_s, now_s - age_s)
            return not was_active

    def report_ages_s(self) -> Mapping[ServiceId, float]:
        """Return for how long each service that reports a slowdown has not done so anywhere."""
        now_s = self._clock_s()
        with self._lock:
            return {
                service: now_s - state.reported_s
                for service, state in self._services.items()
                if now_s - state.reported_s < ACTIVE_S
            }

    def own_report_ages_s(self) -> Mapping[ServiceId, float]:
        """Return the same for the reports that this gateway got itself."""
        now_s = self._clock_s()
        with self._lock:
            return {
                service: now_s - state.own_reported_s
                for service, state in self._services.items()
                if now_s - state.own_reported_s < ACTIVE_S
            }

    def observe_first(
        self, service: ServiceId, endpoint: EndpointId, expected_ms: float, observed_ms: float
    ) -> None:
        """Record the time to the first event, or of a call, with that expected at slowdown 1."""
        if not self.is_active(service):
            return
        now_s = self._clock_s()
        ratio = max(observed_ms, 0.0) / max(1.0, expected_ms)
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        with self._lock:
            profile = self._profile(service, endpoint, now_s)
            state = profile.service
            if state.first is None:
                state.first = _Typical(1.0, now_s)
            state.first.follow(ratio, now_s)
            _observe(profile, ratio / state.first.value, now_s)

    def observe_events(self, service: ServiceId, endpoint: EndpointId, ms_per_event: float) -> None:
        """Record the time between two events of a running stream."""
        if not self.is_active(service):
            return
        now_s = self._clock_s()
        ms_per_event = max(0.1, ms_per_event)
        with self._lock:
            profile = self._profile(service, endpoint, now_s)
            state = profile.service
            if state.event is None:
                state.event = _Typical(ms_per_event, now_s)
            state.event.follow(ms_per_event, now_s)
            _observe(profile, ms_per_event / state.event.value, now_s)

    def slowdown(self, endpoint: EndpointId) -> float:
        """Return the ratio of an endpoint's times to the usual ones, 1 if it is unknown."""
        with self._lock:
            profile = self._profiles.get(endpoint)
            if profile is None:
                return 1.0
            _compare(profile.service, self._clock_s())
            return _slowdown(profile)

    def room(self, endpoint: EndpointId, slots: int, open_requests: int) -> int:
        """Return how many requests an endpoint takes, at least 1 and at most its slots."""
        slots = max(1, slots)
        with self._lock:
            profile = self._profiles.get(endpoint)
            if profile is None:
                return slots
            now_s = self._clock_s()
            _compare(profile.service, now_s)
            _follow_room(profile, slots, open_requests, now_s)
            return max(1, min(slots, round(profile.room_share * slots)))

    def learned(self) -> Mapping[EndpointId, LearnedCapacity]:
        """Return what is known of each endpoint, for operators."""
        with self._lock:
            return {
                endpoint: LearnedCapacity(_slowdown(profile), profile.room_share)
                for endpoint, profile in self._profiles.items()
            }

    def forget(self, endpoint: EndpointId) -> None:
        """Remove what is known of an endpoint whose process is new or has ended."""
        with self._lock:
            profile = self._profiles.pop(endpoint, None)
            if profile is not None:
                profile.service.endpoints.pop(endpoint, None)

    def _profile(self, service: ServiceId, endpoint: EndpointId, now_s: float) -> _Profile:
        profile = self._profiles.get(endpoint)
        if profile is None:
            state = self._services.setdefault(service, _ServiceState())
            profile = _Profile(state, now_s)
            state.endpoints[endpoint] = self._profiles[endpoint] = profile
        return profile


class StreamSpeed:
    """Observes one stream, and reports the time between its events to the profiles."""

    def __init__(
        self,
        profiles: EndpointProfiles,
        service: ServiceId,
        endpoint: EndpointId,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._profiles = profiles
        self._service = service
        self._endpoint = endpoint
        self._clock_s = clock_s
        self._since_s: float | None = None
        self._events = 0

    def note_events(self, count: int) -> None:
        """Record that ``count`` events arrived just now."""
        now_s = self._clock_s()
        if self._since_s is None:
            self._since_s = now_s
            return
        self._events += count
        elapsed_s = now_s - self._since_s
        if self._events and elapsed_s >= MIN_STREAM_REPORT_S:
            self._profiles.observe_events(
                self._service, self._endpoint, elapsed_s * 1000 / self._events
            )
            self._since_s = now_s
            self._events = 0


def _slowdown(profile: _Profile) -> float:
    slowdown = profile.value / profile.service.middle_usual
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def _observe(profile: _Profile, ratio: float, now_s: float) -> None:
    index = int(now_s / SLICE_S)
    if not profile.slices or profile.slices[-1].index != index:
        profile.slices.append(_Slice(index))
        _drop_old_slices(profile, now_s)
    current = profile.slices[-1]
    current.log_sum += math.log(min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio)))
    current.count += 1


def _drop_old_slices(profile: _Profile, now_s: float) -> None:
    oldest = int((now_s - WINDOW_S) / SLICE_S)
    while profile.slices and profile.slices[0].index < oldest:
        profile.slices.popleft()


def _evaluate(profile: _Profile, now_s: float) -> None:
    """Update the slowdown of a profile from its observations, at most once per slice."""
    elapsed_s = now_s - profile.evaluated_s
    if elapsed_s < SLICE_S:
        return
    profile.evaluated_s = now_s
    _drop_old_slices(profile, now_s)
    slices = profile.slices
    if not slices:
        profile.usual = 1.0 + (profile.usual - 1.0) * _decay(elapsed_s, USUAL_HALF_LIFE_S)
        excess = profile.memory - profile.usual
        profile.memory = profile.usual + excess * _decay(elapsed_s, MEMORY_HALF_LIFE_S)
        profile.value = profile.memory
        return
    items = [(entry.mean, 1.0) for entry in slices]
    items.append((profile.memory, MEMORY_WEIGHT))
    if now_s - profile.reported_s < REPORT_LIFETIME_S:
        items.append((profile.report * profile.usual, REPORT_WEIGHT))
    profile.value = _weighted_median(items)
    if len(slices) >= MIN_SLICES_TO_LEARN:
        excess = profile.value - profile.memory
        profile.memory += min(1.0, elapsed_s / MEMORY_TIME_S) * excess
        _follow_usual(profile, elapsed_s)


def _follow_usual(profile: _Profile, elapsed_s: float) -> None:
    time_s = USUAL_RISE_S if profile.value > profile.usual else USUAL_FALL_S
    if profile.learned_s < FIRST_USUAL_S:
        profile.learned_s += elapsed_s
        time_s = min(time_s, profile.learned_s)
    profile.usual += min(1.0, elapsed_s / time_s) * (profile.value - profile.usual)


def _decay(elapsed_s: float, half_life_s: float) -> float:
    return math.pow(0.5, elapsed_s / half_life_s)


def _weighted_median(items: list[tuple[float, float]]) -> float:
    items.sort()
    half = sum(weight for _, weight in items) / 2
    total = 0.0
    for value, weight in items:
        total += weight
        if total >= half:
            return value
    return items[-1][0]


def _follow_room(profile: _Profile, slots: int, open_requests: int, now_s: float) -> None:
    """Update the room: reduce it while the endpoint is behind the others, else let it grow."""
    elapsed_s = min(1.0, now_s - profile.room_s)
    if elapsed_s < SLICE_S:
        return
    profile.room_s = now_s
    behind_ratio = profile.excess / profile.service.healthy_excess
    used_share = min(1.0, open_requests / slots)
    if behind_ratio > BEHIND_RATIO:
        if not profile.is_behind:
            is_by_load = now_s - profile.recovered_s < KNEE_TIME_S
            profile.knee_share = max(used_share, 1 / slots) if is_by_load else 1.0
            profile.behind_s = now_s
        profile.is_behind = True
        is_short = now_s - profile.behind_s < FIRST_SHARE_S and profile.knee_share >= 1.0
        least_share = MIN_FIRST_SHARE if is_short else 0.0
        share = max(least_share, max(used_share, 0.5) / behind_ratio)
        profile.room_share = min(profile.room_share, share)
    elif behind_ratio < RECOVERED_RATIO:
        if profile.is_behind:
            profile.recovered_s = now_s
        profile.is_behind = False
        is_below_knee = profile.room_share < KNEE_SHARE * profile.knee_share
        growth_per_s = FAST_GROWTH_PER_S if is_below_knee else SLOW_GROWTH_PER_S
        if profile.knee_share >= 1.0:
            growth_per_s = FAST_GROWTH_PER_S
        profile.room_share = min(1.0, profile.room_share + growth_per_s * elapsed_s)
        profile.knee_share = max(profile.knee_share, profile.room_share)


def _compare(service: _ServiceState, now_s: float) -> None:
    """Evaluate the endpoints of a service and compare them, at most once per slice."""
    if now_s - service.compared_s < SLICE_S:
        return
    service.compared_s = now_s
    profiles = service.endpoints.values()
    for profile in profiles:
        _evaluate(profile, now_s)
    last = len(profiles) - 1
    excesses = sorted(profile.excess for profile in profiles)
    service.healthy_excess = max(1.0, excesses[int(last * HEALTHY_SHARE)])
    service.middle_usual = sorted(profile.usual for profile in profiles)[last // 2]
