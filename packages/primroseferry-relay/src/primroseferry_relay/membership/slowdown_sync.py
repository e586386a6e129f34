"""Chooses which services that report slowdowns go into updates and digests.

All gateways of a region switch to the learned capacity of a service together, also those that have
got no answer of it. Updates hold what this gateway heard from endpoints itself, digests what their
collector knows. Reports have ages, so that what is passed on ends at the same time everywhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_policy.endpoint_profile import ACTIVE_S

from .datagrams import SlowdownReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseferry_core.ids import ServiceId
    from primroseferry_policy.endpoint_profile import EndpointProfiles

# Updates and digests repeat a service that begins to report, because datagrams can be lost.
REPEAT_S = 1.0
# Endpoints report with each answer. What is known already is sent again at this interval, first in
# updates and then in digests; gateways may differ by twice of it when the reports end.
RENEWAL_INTERVAL_S = 5.0
MAX_SERVICES = 64


class SlowdownSync:
    """Reports one gateway's services to its collectors, and its region's to its members."""

    def __init__(self, profiles: EndpointProfiles, clock_s: Callable[[], float]) -> None:
        self._profiles = profiles
        self._clock_s = clock_s
        self._in_updates = _ReportLog()
        self._in_digests = _ReportLog()

    def for_update(self) -> tuple[SlowdownReport, ...]:
        """Return the services whose endpoints reported to this gateway, if they are due."""
        return self._in_updates.take_due(self._profiles.own_report_ages_s(), self._clock_s())

    def for_full_digest(self) -> tuple[SlowdownReport, ...]:
        """Return all known services."""
        return _newest(_reports(self._profiles.report_ages_s()))

    def take_changes(self) -> tuple[SlowdownReport, ...]:
        """Return the known services that are due."""
        return self._in_digests.take_due(self._profiles.report_ages_s(), self._clock_s())

    def merge(self, reports: Sequence[SlowdownReport]) -> bool:
        """Apply what another gateway reports; return whether a service has become active."""
        has_changed = False
        for report in reports[:MAX_SERVICES]:
            has_changed |= self._profiles.note_peer_report(report.service, report.age_s)
        return has_changed


@dataclass(frozen=True, slots=True)
class _Sent:
    """The last report on a service, which has been active since ``active_since_s``."""

    reported_s: float
    active_since_s: float


class _ReportLog:
    """What was sent of each service."""

    def __init__(self) -> None:
        self._sent: dict[ServiceId, _Sent] = {}

    def take_due(
        self, ages_s: Mapping[ServiceId, float], now_s: float
    ) -> tuple[SlowdownReport, ...]:
        """Return the services that are due, and record them as sent."""
        due = []
        for report in _newest(_reports(ages_s)):
            reported_s = now_s - report.age_s
            last = self._sent.get(report.service)
            if last is None or now_s - last.reported_s >= ACTIVE_S:
                last = _Sent(reported_s, now_s)
            elif (
                now_s - last.active_since_s >= REPEAT_S
                and reported_s - last.reported_s < RENEWAL_INTERVAL_S
            ):
                continue
            self._sent[report.service] = _Sent(reported_s, last.active_since_s)
            due.append(report)
        return tuple(due)


def _reports(ages_s: Mapping[ServiceId, float]) -> list[SlowdownReport]:
    return [SlowdownReport(service, age_s) for service, age_s in ages_s.items()]


def _newest(reports: list[SlowdownReport]) -> tuple[SlowdownReport, ...]:
    return tuple(sorted(reports, key=lambda report: report.age_s)[:MAX_SERVICES])
