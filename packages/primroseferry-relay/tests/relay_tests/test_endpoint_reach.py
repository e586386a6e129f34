"""Pings of endpoints, with a simulated clock and answers that come when the test says so."""

from __future__ import annotations

from concurrent.futures import Future
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from primroseferry_policy.breaker import Breakers
from primroseferry_policy.breaker import BreakerState
from primroseferry_relay.endpoints.catalog import EndpointCatalog
from primroseferry_relay.endpoints.endpoint_reach import PING_INTERVAL_S
from primroseferry_relay.endpoints.endpoint_reach import EndpointReach
from result import Err
from result import Ok

from .peer_samples import NORTH
from .peer_samples import Clock
from .relay_harness import TestAdapter
from .test_run_verification import endpoint_of

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop


@dataclass
class _Pending:
    future: Future[Any] = field(default_factory=Future)


class _HeldCalls:
    """Keeps the calls that were submitted, for the test to answer."""

    def __init__(self) -> None:
        self.pending: list[_Pending] = []

    def submit(self, _call: object) -> _Pending:
        self.pending.append(_Pending())
        return self.pending[-1]


def test_late_answer_to_a_ping_of_an_earlier_run_does_not_close_the_circuit_of_the_next_one() -> (
    None
):
    clock, catalog, calls = Clock(), EndpointCatalog(), _HeldCalls()
    breakers = Breakers(clock)
    loop = cast("CurlLoop", calls)
    reach = EndpointReach(NORTH, loop, TestAdapter(), catalog, breakers, clock_s=clock)
    endpoint = endpoint_of()
    catalog.put(endpoint)
    breakers.fail(endpoint.endpoint, is_certain=True)
    reach.tick()
    calls.pending[0].future.set_result(Err("refused"))
    clock.now_s += PING_INTERVAL_S
    reach.tick()
    catalog.put(replace(endpoint, started_ms=2, address="127.0.0.1:9001"))
    breakers.forget(endpoint.endpoint)
    breakers.fail(endpoint.endpoint, is_certain=True)
    calls.pending[1].future.set_result(Ok(None))
    assert breakers.states() == {endpoint.endpoint: BreakerState.OPEN}
