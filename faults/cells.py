"""The rows and columns of the fault matrix: faults, and the steps at which they come about."""

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

from .history import Ran
from .world import SHOP

if TYPE_CHECKING:
    from collections.abc import Callable

    from .history import ChatAnswered
    from .history import OrderAnswered
    from .world import World

DWELL_S = 0.6
LONG_PAUSE_S = 16.0
FREEZE_S = 1.0
LEAVING_S = 3.2
CUT_S = 3.0
OUTAGE_S = 2.0
RETRIES = 3
HELD_EVENT = 5
CRASH_MARKER = "poison"
MAX_DEATHS = 2


class Fault(Enum):
    """The rows."""

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
    LEASE_LAPSE = "lapse of a lease under a pause"
    LEAVING = "endpoint leaving"
    PLANNED_STOP = "planned stop"


class Step(Enum):
    """The columns."""

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
    """What a cell expected besides the invariants did not come about."""


ORDER_STEPS = (Step.ORDER_AT_SERVICE, Step.ORDER_RAN, Step.ORDER_ANSWERED)
CLAIM_STEPS = (Step.CLAIM_ON_ITS_WAY, Step.CLAIM_WRITTEN)
CHAT_STEPS = (Step.CHAT_BEFORE_FIRST, Step.CHAT_MID_STREAM)
PLAN_STEPS = (Step.PLAN_ON_ITS_WAY, Step.PLAN_WRITTEN, Step.PLAN_IN_FORCE)
OWNER = "dakar-1"
ENTRY = "dakar-2"
FAR_ENTRY = "thies-1"


class CellRun:
    """Runs one cell: reach the step, bring the fault about, go on, heal, and ask again."""

    def __init__(self, world: World, faults: tuple[Fault, ...], step: Step) -> None:
        self._world = world
        self._faults = faults
        self._step = step
        self._subject = OWNER
        self._threads: list[threading.Thread] = []

    def run(self) -> None:
        """Run the cell. Raises ``CellError`` where something never came about."""
        if self._step in PLAN_STEPS:
            self._run_plan_change()
        elif self._step in CHAT_STEPS:
            self._run_chat()
        else:
            self._run_order()

    def _run_order(self) -> None:
        world = self._world
        word = world.new_word("shop")
        is_own_key = self._step in CLAIM_STEPS
        key = f"own-{word}" if is_own_key else self._issued_key(word)
        answers: list[OrderAnswered] = []
        self._close_gates()
        if self._step is Step.ORDER_ANSWERED:
            answers.append(world.send_order(ENTRY, key, word))
        else:
            self._start(lambda: answers.append(world.send_order(ENTRY, key, word)))
            self._wait_held()
        if is_own_key:
            self._subject = ENTRY
        self._bring_about()
        if self._step is Step.ORDER_ANSWERED:
            self._start(lambda: answers.append(world.send_order(ENTRY, key, word)))
        self._open_gates()
        self._dwell()
        self._heal()
        self._join()
        self._ask_order_again(key, word)

    def _ask_order_again(self, key: str, word: str) -> None:
        """Send the order to each gateway until it is answered or its outcome is unknown."""
        last: OrderAnswered | None = None
        for attempt in range(RETRIES):
            for gateway in (ENTRY, OWNER, FAR_ENTRY):
                last = self._world.send_order(gateway, key, word)
                if last.ran is Ran.ANSWERED:
                    return
            time.sleep(0.3 * (attempt + 1))
        assert last is not None
        if last.kind != "outcome-unknown":
            raise CellError(f"order ended with {last.kind or last.ran.value}")

    def _run_chat(self) -> None:
        world = self._world
        word = world.new_word("shop")
        answers: list[ChatAnswered] = []
        self._close_gates()
        self._start(lambda: answers.append(world.send_chat(FAR_ENTRY, word)))
        wait_until(lambda: self._is_held() or bool(answers), "the step is reached", 10.0)
        if answers:
            raise CellError(f"chat ended before the step: {answers[0].kind}")
        self._subject = self._serving_gateway()
        self._bring_about()
        self._open_gates()
        self._dwell()
        self._heal()
        self._join()
        if not answers[0].is_whole:
            self._expect_chat()

    def _expect_chat(self) -> None:
        """Ask anew until an answer is whole."""
        for attempt in range(RETRIES):
            for gateway in (FAR_ENTRY, ENTRY):
                if self._world.send_chat(gateway, self._world.new_word("shop")).is_whole:
                    return
            time.sleep(0.5 * (attempt + 1))
        raise CellError("no answer was whole after the fault was healed")

    def _run_plan_change(self) -> None:
        world = self._world
        before = self._revision()
        results: list[bool] = []
        self._close_gates()
        self._start(lambda: results.append(world.change_plans("ada")))
        if self._step is Step.PLAN_IN_FORCE:
            wait_until(lambda: self._revision() > before, "the change is in force")
        else:
            self._wait_held()
        self._bring_about()
        self._open_gates()
        self._dwell()
        self._heal()
        self._join()
        if not any(results) and Fault.OPERATOR_RACE not in self._faults:
            world.change_plans("ada again")
        wait_until(self._agrees, "every gateway has the newest plans", 10.0)

    def _revision(self) -> int:
        process = self._world.deployment.gateways["saint-louis-1"]
        return int(gateway_state(process)["plans"]["revision"])

    def _agrees(self) -> bool:
        with_store = self._world.collect_stored_revision()
        return all(
            gateway_state(process)["plans"]["revision"] == with_store
            for process in self._world.deployment.gateways.values()
        )

    def _issued_key(self, word: str) -> str:
        """Return a key owned by ``OWNER``."""
        address = self._world.deployment.gateways[OWNER].address
        for _ in range(40):
            answer = request(address, "GET", "/v1/entry", token=SHOP).json()
            prefix = str(answer.get("idempotency_key_prefix", ""))
            if f"~{OWNER}~" in prefix:
                return prefix + word
        raise CellError(f"no key of {OWNER} was issued")

    def _serving_gateway(self) -> str:
        """Return the gateway of Dakar that serves the forwarded chat."""
        for name in (OWNER, ENTRY):
            state = gateway_state(self._world.deployment.gateways[name])
            if state["gateway"]["open_requests"]:
                return name
        return OWNER

    def _close_gates(self) -> None:
        deployment = self._world.deployment
        match self._step:
            case Step.ORDER_AT_SERVICE | Step.ORDER_RAN:
                gate = "hold_before" if self._step is Step.ORDER_AT_SERVICE else "hold_after"
                for process in self._services():
                    process.fault(**{gate: True})
            case Step.CLAIM_ON_ITS_WAY:
                deployment.key_value.fault(hold_prefix="claims/", hold_before=True)
            case Step.CLAIM_WRITTEN:
                deployment.key_value.fault(hold_prefix="claims/", hold_after=True)
            case Step.CHAT_BEFORE_FIRST | Step.CHAT_MID_STREAM:
                event = 1 if self._step is Step.CHAT_BEFORE_FIRST else HELD_EVENT
                for process in self._engines():
                    process.fault(hold_at_event=event)
            case Step.PLAN_ON_ITS_WAY:
                deployment.key_value.fault(hold_prefix="plans", hold_before=True)
            case Step.PLAN_WRITTEN:
                deployment.key_value.fault(hold_prefix="plans", hold_after=True)

    def _open_gates(self) -> None:
        self._world.deployment.key_value.fault(hold_before=False, hold_after=False)
        for process in self._services():
            if process.is_running():
                process.fault(hold_before=False, hold_after=False)
        for process in self._engines():
            if process.is_running():
                process.fault(hold_at_event=0)

    def _wait_held(self) -> None:
        wait_until(self._is_held, f"step '{self._step.value}' is reached", 10.0)

    def _is_held(self) -> bool:
        match self._step:
            case Step.ORDER_AT_SERVICE | Step.ORDER_RAN:
                gate = "held_before" if self._step is Step.ORDER_AT_SERVICE else "held_after"
                return any(process.control("/state")[gate] for process in self._services())
            case Step.CHAT_BEFORE_FIRST | Step.CHAT_MID_STREAM:
                return any(process.control("/state")["held"] for process in self._engines())
            case Step.CLAIM_ON_ITS_WAY | Step.PLAN_ON_ITS_WAY:
                return bool(self._world.deployment.key_value.control("/state")["held_before"])
            case _:
                return bool(self._world.deployment.key_value.control("/state")["held_after"])

    def _services(self) -> list[Process]:
        endpoints = self._world.deployment.endpoints.items()
        return [process for name, process in endpoints if "orders" in name]

    def _engines(self) -> list[Process]:
        endpoints = self._world.deployment.endpoints.items()
        return [process for name, process in endpoints if name.startswith("dakar-engine")]

    def _busy_endpoint(self) -> str:
        """Return the endpoint that the step's request reached, or else any that it may reach."""
        is_chat = self._step in CHAT_STEPS
        group = "dakar-engine" if is_chat else "orders"
        names = [name for name in self._world.deployment.endpoints if group in name]
        for name in names:
            state = self._world.deployment.endpoints[name].control("/state")
            if state.get("held") or state.get("held_before") or state.get("held_after"):
                return name
        return names[0]

    def _bring_about(self) -> None:
        for fault in self._faults:
            self._bring_about_one(fault)

    def _bring_about_one(self, fault: Fault) -> None:
        deployment = self._world.deployment
        match fault:
            case Fault.KILL:
                deployment.gateways[self._subject].kill()
            case Fault.FREEZE | Fault.LONG_PAUSE:
                deployment.gateways[self._subject].freeze()
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
                self._start(lambda: self._world.change_plans("ben"))
                self._start(lambda: self._world.change_plans("eva"))
            case Fault.ENDPOINT_CRASH:
                deployment.endpoints[self._busy_endpoint()].kill()
            case Fault.CRASH_REQUEST:
                self._send_crash_request()
            case Fault.LEAVING:
                self._leave(self._busy_endpoint())
            case Fault.PLANNED_STOP:
                deployment.gateways[self._subject].terminate()

    def _send_crash_request(self) -> None:
        """Send a request that kills each engine that runs it, and wait for its refusal."""
        word = f"{CRASH_MARKER}-{self._world.new_word('shop')}"
        for process in self._engines():
            process.fault(crash_marker=CRASH_MARKER)
        alive = len(self._engines())
        self._world.send_chat(FAR_ENTRY, word)
        dead = alive - sum(process.is_running() for process in self._engines())
        if dead > MAX_DEATHS:
            raise CellError(f"one request killed {dead} engines")

    def _leave(self, name: str) -> None:
        deployment = self._world.deployment
        serves = "orders" if "orders" in name else "small"
        shape = EndpointShape(name, deployment.regions[name], serves, serves == "small")
        deployment.list_endpoint(shape, state="leaving")
        deployment.endpoints[name].fault(leaving=True)
        self._world.note_left(name)

    def _dwell(self) -> None:
        pause_s = DWELL_S
        if Fault.LONG_PAUSE in self._faults:
            pause_s = LONG_PAUSE_S
        elif Fault.FREEZE in self._faults:
            pause_s = FREEZE_S
        elif Fault.LEAVING in self._faults:
            pause_s = LEAVING_S
        elif Fault.CUT in self._faults or Fault.ONE_WAY_CUT in self._faults:
            pause_s = CUT_S
        elif Fault.KEY_VALUE_OUTAGE in self._faults:
            pause_s = OUTAGE_S
        time.sleep(pause_s)

    def _heal(self) -> None:
        deployment = self._world.deployment
        deployment.cut("dakar", "thies", "none")
        deployment.key_value.fault(down=False, delay_ms=0, lose_answers=0)
        for process in deployment.gateways.values():
            if process.is_running():
                process.resume()
        if Fault.PLANNED_STOP in self._faults:
            code = deployment.gateways[self._subject].wait()
            if code != 0 and Fault.KILL not in self._faults:
                raise CellError(f"planned stop ended with exit code {code}")
        for name, process in list(deployment.gateways.items()):
            if not process.is_running():
                self._world.replace_gateway(name)

    def replace_spoilt_endpoints(self) -> None:
        """Start new endpoints in place of those that crashed or left."""
        for name, process in list(self._world.deployment.endpoints.items()):
            is_leaving = any(
                getattr(record, "endpoint", "") == name and type(record).__name__ == "EndpointLeft"
                for record in self._world.records
            )
            if is_leaving or not process.is_running():
                base, _, number = name.rpartition("-")
                self._world.replace_endpoint(name, f"{base}-{int(number) + 2}")

    def _start(self, action: Callable[[], object]) -> None:
        thread = threading.Thread(target=action, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _join(self) -> None:
        for thread in self._threads:
            thread.join(30.0)
            if thread.is_alive():
                raise CellError("a caller or operator got no end")


if TYPE_CHECKING:
    from primroseferry_standins.process import Process
