"""The rows and columns of the fault matrix: faults, and the steps at which they are injected."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_standins.caller import request
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import wait_until

from .history import ExecutionStatus
from .testbed import SHOP_TOKEN

if TYPE_CHECKING:
    from collections.abc import Callable

    from .history import ChatAnswered
    from .history import OrderAnswered
    from .testbed import Testbed

DEFAULT_FAULT_S = 0.6
LONG_PAUSE_FAULT_S = 16.0
FREEZE_FAULT_S = 1.0
LEAVING_FAULT_S = 3.2
CUT_FAULT_S = 3.0
OUTAGE_FAULT_S = 2.0
RETRIES = 3
MID_STREAM_EVENT = 5
CRASH_MARKER = "poison"
MAX_CRASHED_ENGINES = 2


class Fault(Enum):
    """The rows of the matrix; the value is the printed name."""

    KILL = "kill"
    FREEZE = "freeze and resume"
    LONG_PAUSE = "pause until others believe it gone"
    CUT = "cut between two regions"
    ONE_WAY_CUT = "one-way cut"
    KEY_VALUE_OUTAGE = "key-value outage"
    SLOW_KEY_VALUE = "slow key-value service"
    LOST_ANSWER = "write with lost answer"
    OPERATOR_RACE = "operator race"
    ENDPOINT_CRASH = "endpoint crash"
    CRASH_REQUEST = "crash request"
    LEASE_EXPIRY = "lapse of a lease under a pause"
    LEAVING = "endpoint leaving"
    PLANNED_STOP = "planned stop"


class Step(Enum):
    """The columns of the matrix; the value is the printed name."""

    ORDER_AT_SERVICE = "order: at the service, not run"
    ORDER_RAN = "order: ran, answer on its way"
    ORDER_ANSWERED = "order: answered, then sent again"
    CLAIM_ON_ITS_WAY = "own key: claim not yet written"
    CLAIM_WRITTEN = "own key: claim written, answer on its way"
    CHAT_BEFORE_FIRST = "chat: before the first token"
    CHAT_MID_STREAM = "chat: in the middle of the stream"
    PLAN_ON_ITS_WAY = "plan change: not yet written"
    PLAN_WRITTEN = "plan change: written, answer on its way"
    PLAN_IN_FORCE = "plan change: in force"


@dataclass(frozen=True, slots=True)
class Cell:
    """One fault at one step."""

    fault: Fault
    step: Step


class CellError(Exception):
    """The deployment did not do what a cell expects in addition to the invariants."""


ORDER_STEPS = (Step.ORDER_AT_SERVICE, Step.ORDER_RAN, Step.ORDER_ANSWERED)
CLAIM_STEPS = (Step.CLAIM_ON_ITS_WAY, Step.CLAIM_WRITTEN)
CHAT_STEPS = (Step.CHAT_BEFORE_FIRST, Step.CHAT_MID_STREAM)
PLAN_STEPS = (Step.PLAN_ON_ITS_WAY, Step.PLAN_WRITTEN, Step.PLAN_IN_FORCE)
OWNER_GATEWAY = "dakar-1"
ENTRY_GATEWAY = "dakar-2"
REMOTE_GATEWAY = "thies-1"


class CellRun:
    """Runs one cell: reaches the step, injects the faults, waits, heals them and retries."""

    def __init__(self, testbed: Testbed, faults: tuple[Fault, ...], step: Step) -> None:
        self._testbed = testbed
        self._faults = faults
        self._step = step
        self._target_gateway = OWNER_GATEWAY
        self._threads: list[threading.Thread] = []

    def run(self) -> None:
        """Run the cell.

        Raises ``CellError`` if a request or a planned stop fails, or too many engines crash.
        """
        if self._step in PLAN_STEPS:
            self._run_plan_change()
        elif self._step in CHAT_STEPS:
            self._run_chat()
        else:
            self._run_order()

    def _run_order(self) -> None:
        testbed = self._testbed
        word = testbed.unique_word("shop")
        is_own_key = self._step in CLAIM_STEPS
        key = f"own-{word}" if is_own_key else self._issued_key(word)
        answers: list[OrderAnswered] = []
        self._install_holds()
        if self._step is Step.ORDER_ANSWERED:
            answers.append(testbed.send_order(ENTRY_GATEWAY, key, word))
        else:
            self._start(lambda: answers.append(testbed.send_order(ENTRY_GATEWAY, key, word)))
            self._wait_step_reached()
        if is_own_key:
            self._target_gateway = ENTRY_GATEWAY
        self._inject_faults()
        if self._step is Step.ORDER_ANSWERED:
            self._start(lambda: answers.append(testbed.send_order(ENTRY_GATEWAY, key, word)))
        self._release_holds()
        self._wait_fault_duration()
        self._heal()
        self._join()
        self._retry_order(key, word)

    def _retry_order(self, key: str, word: str) -> None:
        """Send the order to each gateway in turn until it is answered.

        Raises ``CellError`` if the last answer is an error other than ``outcome-unknown``.
        """
        last: OrderAnswered | None = None
        for attempt in range(RETRIES):
            for gateway in (ENTRY_GATEWAY, OWNER_GATEWAY, REMOTE_GATEWAY):
                last = self._testbed.send_order(gateway, key, word)
                if last.ran is ExecutionStatus.ANSWERED:
                    return
            time.sleep(0.3 * (attempt + 1))
        assert last is not None
        if last.kind != "outcome-unknown":
            raise CellError(f"order was not answered: {last.kind or last.ran.value}")

    def _run_chat(self) -> None:
        testbed = self._testbed
        word = testbed.unique_word("shop")
        answers: list[ChatAnswered] = []
        self._install_holds()
        self._start(lambda: answers.append(testbed.send_chat(REMOTE_GATEWAY, word)))
        wait_until(lambda: self._is_step_reached() or bool(answers), "the step is reached", 10.0)
        if answers:
            raise CellError(f"chat ended before the step was reached: {answers[0].kind}")
        self._target_gateway = self._serving_gateway()
        self._inject_faults()
        self._release_holds()
        self._wait_fault_duration()
        self._heal()
        self._join()
        if not answers[0].is_complete:
            self._retry_chat()

    def _retry_chat(self) -> None:
        """Send new chats until an answer is complete."""
        for attempt in range(RETRIES):
            for gateway in (REMOTE_GATEWAY, ENTRY_GATEWAY):
                if self._testbed.send_chat(gateway, self._testbed.unique_word("shop")).is_complete:
                    return
            time.sleep(0.5 * (attempt + 1))
        raise CellError("no chat got a complete answer after the faults were healed")

    def _run_plan_change(self) -> None:
        testbed = self._testbed
        before = self._revision()
        results: list[bool] = []
        self._install_holds()
        self._start(lambda: results.append(testbed.change_plans("ada")))
        if self._step is Step.PLAN_IN_FORCE:
            wait_until(lambda: self._revision() > before, "the change is in force")
        else:
            self._wait_step_reached()
        self._inject_faults()
        self._release_holds()
        self._wait_fault_duration()
        self._heal()
        self._join()
        if not any(results) and Fault.OPERATOR_RACE not in self._faults:
            testbed.change_plans("ada again")
        wait_until(self._revisions_match, "every gateway has the stored plan revision", 10.0)

    def _revision(self) -> int:
        process = self._testbed.deployment.gateways["saint-louis-1"]
        return int(gateway_state(process)["plans"]["revision"])

    def _revisions_match(self) -> bool:
        expected = self._testbed.stored_revision()
        return all(
            gateway_state(process)["plans"]["revision"] == expected
            for process in self._testbed.deployment.gateways.values()
        )

    def _issued_key(self, word: str) -> str:
        """Return a key, issued by the gateways, that ``OWNER_GATEWAY`` owns."""
        address = self._testbed.deployment.gateways[OWNER_GATEWAY].address
        for _ in range(40):
            answer = request(address, "GET", "/v1/entry", token=SHOP_TOKEN).json()
            prefix = str(answer.get("idempotency_key_prefix", ""))
            if f"~{OWNER_GATEWAY}~" in prefix:
                return prefix + word
        raise CellError(f"no key owned by {OWNER_GATEWAY} was issued")

    def _serving_gateway(self) -> str:
        """Return the gateway in Dakar that serves the forwarded chat, else ``OWNER_GATEWAY``."""
        for name in (OWNER_GATEWAY, ENTRY_GATEWAY):
            state = gateway_state(self._testbed.deployment.gateways[name])
            if state["gateway"]["open_requests"]:
                return name
        return OWNER_GATEWAY

    def _install_holds(self) -> None:
        deployment = self._testbed.deployment
        match self._step:
            case Step.ORDER_AT_SERVICE | Step.ORDER_RAN:
                hold = "hold_before" if self._step is Step.ORDER_AT_SERVICE else "hold_after"
                for process in self._services():
                    process.fault(**{hold: True})
            case Step.CLAIM_ON_ITS_WAY:
                deployment.key_value.fault(hold_prefix="claims/", hold_before=True)
            case Step.CLAIM_WRITTEN:
                deployment.key_value.fault(hold_prefix="claims/", hold_after=True)
            case Step.CHAT_BEFORE_FIRST | Step.CHAT_MID_STREAM:
                event = 1 if self._step is Step.CHAT_BEFORE_FIRST else MID_STREAM_EVENT
                for process in self._engines():
                    process.fault(hold_at_event=event)
            case Step.PLAN_ON_ITS_WAY:
                deployment.key_value.fault(hold_prefix="plans", hold_before=True)
            case Step.PLAN_WRITTEN:
                deployment.key_value.fault(hold_prefix="plans", hold_after=True)

    def _release_holds(self) -> None:
        self._testbed.deployment.key_value.fault(hold_before=False, hold_after=False)
        for process in self._services():
            if process.is_running():
                process.fault(hold_before=False, hold_after=False)
        for process in self._engines():
            if process.is_running():
                process.fault(hold_at_event=0)

    def _wait_step_reached(self) -> None:
        wait_until(self._is_step_reached, f"step '{self._step.value}' is reached", 10.0)

    def _is_step_reached(self) -> bool:
        match self._step:
            case Step.ORDER_AT_SERVICE | Step.ORDER_RAN:
                held = "held_before" if self._step is Step.ORDER_AT_SERVICE else "held_after"
                return any(process.control("/state")[held] for process in self._services())
            case Step.CHAT_BEFORE_FIRST | Step.CHAT_MID_STREAM:
                return any(process.control("/state")["held"] for process in self._engines())
            case Step.CLAIM_ON_ITS_WAY | Step.PLAN_ON_ITS_WAY:
                return bool(self._testbed.deployment.key_value.control("/state")["held_before"])
            case _:
                return bool(self._testbed.deployment.key_value.control("/state")["held_after"])

    def _services(self) -> list[Process]:
        endpoints = self._testbed.deployment.endpoints.items()
        return [process for name, process in endpoints if "orders" in name]

    def _engines(self) -> list[Process]:
        endpoints = self._testbed.deployment.endpoints.items()
        return [process for name, process in endpoints if name.startswith("dakar-engine")]

    def _busy_endpoint(self) -> str:
        """Return the endpoint that holds the step's request, else the first that could serve it."""
        is_chat = self._step in CHAT_STEPS
        group = "dakar-engine" if is_chat else "orders"
        names = [name for name in self._testbed.deployment.endpoints if group in name]
        for name in names:
            state = self._testbed.deployment.endpoints[name].control("/state")
            if state.get("held") or state.get("held_before") or state.get("held_after"):
                return name
        return names[0]

    def _inject_faults(self) -> None:
        for fault in self._faults:
            self._inject(fault)

    def _inject(self, fault: Fault) -> None:
        deployment = self._testbed.deployment
        match fault:
            case Fault.KILL:
                deployment.gateways[self._target_gateway].kill()
            case Fault.FREEZE | Fault.LONG_PAUSE:
                deployment.gateways[self._target_gateway].freeze()
            case Fault.CUT:
                deployment.cut("dakar", "thies")
            case Fault.ONE_WAY_CUT:
                deployment.links["dakar", "thies"].fault(cut="backward")
                deployment.links["thies", "dakar"].fault(cut="forward")
            case Fault.KEY_VALUE_OUTAGE:
                deployment.key_value.fault(down=True)
            case Fault.SLOW_KEY_VALUE:
                deployment.key_value.fault(delay_ms=800)
            case Fault.LOST_ANSWER:
                prefix = "plans" if self._step in PLAN_STEPS else "claims/"
                deployment.key_value.fault(lose_answers=1, lose_answers_prefix=prefix)
            case Fault.OPERATOR_RACE:
                self._start(lambda: self._testbed.change_plans("ben"))
                self._start(lambda: self._testbed.change_plans("eva"))
            case Fault.ENDPOINT_CRASH:
                deployment.endpoints[self._busy_endpoint()].kill()
            case Fault.CRASH_REQUEST:
                self._send_crash_request()
            case Fault.LEAVING:
                self._mark_leaving(self._busy_endpoint())
            case Fault.PLANNED_STOP:
                deployment.gateways[self._target_gateway].terminate()

    def _send_crash_request(self) -> None:
        """Send a request that crashes each engine that runs it, and wait for its answer.

        Raises ``CellError`` if more than ``MAX_CRASHED_ENGINES`` engines crash.
        """
        word = f"{CRASH_MARKER}-{self._testbed.unique_word('shop')}"
        for process in self._engines():
            process.fault(crash_marker=CRASH_MARKER)
        total = len(self._engines())
        self._testbed.send_chat(REMOTE_GATEWAY, word)
        crashed = total - sum(process.is_running() for process in self._engines())
        if crashed > MAX_CRASHED_ENGINES:
            raise CellError(f"one request crashed {crashed} engines")

    def _mark_leaving(self, name: str) -> None:
        deployment = self._testbed.deployment
        serves = "orders" if "orders" in name else "small"
        shape = EndpointShape(name, deployment.regions[name], serves, serves == "small")
        deployment.publish_endpoint(shape, state="leaving")
        deployment.endpoints[name].fault(leaving=True)
        self._testbed.record_leaving(name)

    def _wait_fault_duration(self) -> None:
        duration_s = DEFAULT_FAULT_S
        if Fault.LONG_PAUSE in self._faults:
            duration_s = LONG_PAUSE_FAULT_S
        elif Fault.FREEZE in self._faults:
            duration_s = FREEZE_FAULT_S
        elif Fault.LEAVING in self._faults:
            duration_s = LEAVING_FAULT_S
        elif Fault.CUT in self._faults or Fault.ONE_WAY_CUT in self._faults:
            duration_s = CUT_FAULT_S
        elif Fault.KEY_VALUE_OUTAGE in self._faults:
            duration_s = OUTAGE_FAULT_S
        time.sleep(duration_s)

    def _heal(self) -> None:
        deployment = self._testbed.deployment
        deployment.cut("dakar", "thies", "none")
        deployment.key_value.fault(down=False, delay_ms=0, lose_answers=0)
        for process in deployment.gateways.values():
            if process.is_running():
                process.resume()
        if Fault.PLANNED_STOP in self._faults:
            code = deployment.gateways[self._target_gateway].wait()
            if code != 0 and Fault.KILL not in self._faults:
                raise CellError(f"planned stop ended with exit code {code}")
        for name, process in list(deployment.gateways.items()):
            if not process.is_running():
                self._testbed.replace_gateway(name)

    def replace_unavailable_endpoints(self) -> None:
        """Start new endpoints in place of those that crashed or are leaving."""
        for name, process in list(self._testbed.deployment.endpoints.items()):
            is_leaving = any(
                getattr(record, "endpoint", "") == name and type(record).__name__ == "EndpointLeft"
                for record in self._testbed.records
            )
            if is_leaving or not process.is_running():
                base, _, number = name.rpartition("-")
                self._testbed.replace_endpoint(name, f"{base}-{int(number) + 2}")

    def _start(self, action: Callable[[], object]) -> None:
        thread = threading.Thread(target=action, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _join(self) -> None:
        for thread in self._threads:
            thread.join(30.0)
            if thread.is_alive():
                raise CellError("a caller or operator did not finish in time")


if TYPE_CHECKING:
    from primroseferry_standins.process import Process
