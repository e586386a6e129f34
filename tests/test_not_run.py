"""A chat is answered with ``ran: no`` only if no engine started it."""

from __future__ import annotations

from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import single_region


def test_chat_on_a_crashed_engine_is_not_answered_as_not_run() -> None:
    with start_deployment(single_region()) as deployment:
        engine = deployment.endpoints["dakar-engine-1"]
        engine.fault(crash_marker="poison")
        address = deployment.gateways["dakar-1"].address
        crashed = chat(address, "shop-token", "small", "poison", 5)
        wait_until(lambda: not engine.is_running(), "the engine crashed")
        refused = [chat(address, "shop-token", "small", f"later {n}", 5) for n in range(4)]

    assert not isinstance(crashed, StreamedAnswer)
    assert crashed.ran == "unknown"
    last = refused[-1]
    assert not isinstance(last, StreamedAnswer)
    assert (last.status, last.ran) == (503, "no")
