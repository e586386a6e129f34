"""``not run`` is a proof for chats too."""

from __future__ import annotations

from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.shapes import single_region


def test_chat_whose_only_engine_died_at_work_is_not_said_not_to_have_run() -> None:
    with start_deployment(single_region()) as deployment:
        engine = deployment.endpoints["dakar-engine-1"]
        engine.fault(crash_marker="poison")
        address = deployment.gateways["dakar-1"].address
        died = chat(address, "shop-token", "small", "poison", 5)
        wait_until(lambda: not engine.is_running(), "the engine died")
        refused = [chat(address, "shop-token", "small", f"later {n}", 5) for n in range(4)]

    assert not isinstance(died, StreamedAnswer)
    assert died.ran == "unknown"
    last = refused[-1]
    assert not isinstance(last, StreamedAnswer)
    assert (last.status, last.ran) == (503, "no")
