from __future__ import annotations

import threading

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.strategies import integers
from hypothesis.strategies import sets
from primroseferry_core.ids import EndpointId
from primroseferry_core.ids import Fingerprint
from primroseferry_policy.probation import SuspectIsolation
from primroseferry_policy.quarantine import Quarantine

CULPRIT = Fingerprint("culprit")


class QuarantineMachine(RuleBasedStateMachine):
    """One culprit and some innocent requests on batching engines, with suspects isolated.

    Two gateways each keep a quarantine; the second one receives the blames of the first with a
    delay.
    """

    @initialize()
    def start(self) -> None:
        self.gateways = [Quarantine(wall_clock_s=lambda: self.now_s) for _ in range(2)]
        self.innocents = [Fingerprint(f"innocent-{number}") for number in range(6)]
        self.culprit_deaths = 0
        self.now_s = 0
        self.undelivered: list[tuple[Fingerprint, str]] = []

    @rule(batch=sets(integers(0, 5), max_size=4), with_culprit=integers(0, 1))
    def run_batch(self, batch: set[int], with_culprit: int) -> None:
        """Run a batch on one engine, with at most one suspect in it."""
        gateway = self.gateways[0]
        chosen = [self.innocents[number] for number in sorted(batch)]
        if with_culprit:
            chosen.append(CULPRIT)
        runnable = [name for name in chosen if not gateway.is_quarantined(name)]
        suspects = [name for name in runnable if gateway.is_suspected(name)]
        runnable = [name for name in runnable if name not in suspects[1:]]
        self.now_s += 100
        if CULPRIT not in runnable:
            for name in runnable:
                gateway.clear(name)
            return
        self.culprit_deaths += 1
        death = f"engine@{self.now_s}"
        for name in runnable:
            gateway.blame(name, [death])
            self.undelivered.append((name, death))

    @rule()
    def deliver(self) -> None:
        for name, death in self.undelivered:
            self.gateways[1].blame(name, [death])
        self.undelivered.clear()

    @invariant()
    def culprit_crashes_at_most_two_engines(self) -> None:
        assert self.culprit_deaths <= 2

    @invariant()
    def gateways_agree_on_the_culprit_after_delivery(self) -> None:
        if not self.undelivered:
            verdicts = [gateway.is_quarantined(CULPRIT) for gateway in self.gateways]
            assert verdicts[0] == verdicts[1]


QuarantineMachine.TestCase.settings = settings(max_examples=100, derandomize=True, deadline=None)
test_culprit_crashes_at_most_two_engines = QuarantineMachine.TestCase


def test_complete_answer_clears_an_innocent_request() -> None:
    quarantine = Quarantine()
    quarantine.blame(Fingerprint("innocent"), ["engine-1@100"])
    quarantine.clear(Fingerprint("innocent"))
    quarantine.blame(Fingerprint("innocent"), ["engine-2@200"])

    assert not quarantine.is_quarantined(Fingerprint("innocent"))


def test_crash_observed_by_two_gateways_counts_once() -> None:
    quarantine = Quarantine()
    quarantine.blame(CULPRIT, ["engine-1@100", "engine-1@102"])
    assert not quarantine.is_quarantined(CULPRIT)
    quarantine.blame(CULPRIT, ["engine-1@160"])
    assert quarantine.is_quarantined(CULPRIT)


def test_second_suspect_waits_for_the_first_to_leave() -> None:
    probation = SuspectIsolation()
    engine = EndpointId("engine")
    assert probation.enter([engine], 1.0) == engine
    assert probation.enter([engine], 0.0) is None
    entered: list[EndpointId | None] = []
    waiting = threading.Thread(target=lambda: entered.append(probation.enter([engine], 10.0)))
    waiting.start()
    probation.leave(engine)
    waiting.join(10)

    assert entered == [engine]


def test_quarantine_ends_when_the_blame_expires() -> None:
    now_s = [100.0]
    quarantine = Quarantine(lambda: now_s[0], ttl_s=60.0)
    quarantine.blame(Fingerprint("deadly"), ["e-1@100", "e-2@110"])
    assert quarantine.is_quarantined(Fingerprint("deadly"))
    now_s[0] += 61.0
    assert not quarantine.is_quarantined(Fingerprint("deadly"))
