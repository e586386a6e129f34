"""A request that crashes endpoints and recurs slowly, while all gateways are restarted."""

from __future__ import annotations

import random
import socket

import pytest
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import Fingerprint
from primroseferry_core.ids import RegionId
from primroseferry_core.ids import ServiceId
from primroseferry_relay.attempts.outcome import Lost
from primroseferry_relay.attempts.outcome import StreamBroken
from primroseferry_relay.crash_attribution import CrashAttribution
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint import Endpoint
from primroseferry_relay.endpoints.endpoint import EndpointState
from primroseferry_relay.relay_policy import TRIAL_WAITS_S
from primroseferry_relay.suspect import Suspect

from .test_quarantine_records import Fleet

DEADLY = Fingerprint("deadly")
# From the rules: after the third crash and 5 s, at most three sends.
CRASHES = 3
AGREEMENT_S = 5.0
ALLOWED_LATE_SENDS = 3
DAY_S = 120.0


class NoReporter:
    """Reports nothing: the gateways of these tests only compare what they hold."""

    def send_blame(self, blame: object) -> None: ...

    def send_suspicions(self, reports: object) -> None: ...


class RecurringRequest:
    """Sends one request repeatedly to random gateways of a fleet; each run ends an endpoint."""

    def __init__(self, outcome: Lost | StreamBroken, seed: int) -> None:
        self.fleet = Fleet()
        self.crash_times_s: list[float] = []
        self._outcome = outcome
        self._random = random.Random(seed)
        with socket.create_server(("127.0.0.1", 0)) as closed:
            self._refusing_address = f"127.0.0.1:{closed.getsockname()[1]}"
        self.restart()

    def restart(self) -> None:
        """Kill all gateways at once and start them with the records of the store."""
        self.fleet.restart()
        for quarantine in self.fleet.quarantines:
            quarantine._trial_waits_s = TRIAL_WAITS_S
        self._attributions = [
            CrashAttribution(quarantine, EndpointCatalog(), NoReporter())
            for quarantine in self.fleet.quarantines
        ]

    def send(self) -> None:
        """Send the request to a random gateway, which runs it if its quarantine admits it."""
        number = self._random.randrange(len(self._attributions))
        attribution = self._attributions[number]
        admittance = attribution.admit(Suspect(DEADLY))
        if admittance.wait_s > 0:
            return
        self.crash_times_s.append(self.fleet.clock.now_s)
        attribution.record_outcome(self._endpoint(), admittance.suspect, "r", self._outcome)

    def exchange(self) -> None:
        """Let each gateway receive what the others hold."""
        for one in self.fleet.quarantines:
            for other in self.fleet.quarantines:
                one.merge(other.missing_from(one.content_hashes()))

    def late_sends(self) -> int:
        """Return how many sends came later than the rule's time after the third crash."""
        if len(self.crash_times_s) < CRASHES:
            return 0
        limit_s = self.crash_times_s[CRASHES - 1] + AGREEMENT_S
        return sum(at_s > limit_s for at_s in self.crash_times_s)

    def _endpoint(self) -> Endpoint:
        number = len(self.crash_times_s)
        return Endpoint(
            EndpointId(f"engine-{number}"),
            ServiceId("engines"),
            self._refusing_address,
            FailureDomainId("north-a"),
            RegionId("north"),
            8,
            EndpointState.READY,
            0.0,
            number,
        )


OUTCOMES = [
    Lost("connection reset", is_connection_lost=True),
    StreamBroken("connection reset", "2", 2, is_connection_lost=True),
]


@pytest.mark.parametrize("interval_s", [1.0, 4.0, 6.0])
@pytest.mark.parametrize("outcome", OUTCOMES, ids=["before-the-answer", "amid-the-answer"])
@pytest.mark.parametrize("restart_after", [2, 3, 4])
def test_crash_request_is_remembered_by_a_fleet_that_was_restarted(
    outcome: Lost | StreamBroken, interval_s: float, restart_after: int
) -> None:
    request = RecurringRequest(outcome, seed=1)
    has_restarted = False
    while request.fleet.clock.now_s < 1_000.0 + DAY_S:
        request.send()
        request.exchange()
        request.fleet.advance(interval_s)
        if len(request.crash_times_s) >= restart_after and not has_restarted:
            has_restarted = True
            request.restart()
    assert request.late_sends() <= ALLOWED_LATE_SENDS


def test_sound_stream_lost_with_two_endpoints_is_not_quarantined() -> None:
    request = RecurringRequest(OUTCOMES[1], seed=1)
    for _ in range(2):
        request.send()
        request.exchange()
    assert not any(quarantine.is_quarantined(DEADLY) for quarantine in request.fleet.quarantines)
