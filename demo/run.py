"""Runs both example deployments, kills one gateway and stops another during requests.

Exits with status 1 if a check fails: an answer is incomplete, an order ran twice, a confirmed order
did not run, or the stopped gateway did not exit cleanly.
"""

from __future__ import annotations

import os
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_standins.caller import CallFailedError
from primroseferry_standins.caller import StreamedAnswer
from primroseferry_standins.caller import chat
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import gateway_state
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.deployment import wait_until
from primroseferry_standins.example_deployments import lamaa
from primroseferry_standins.example_deployments import teranga_kura
from primroseferry_standins.process import process_environment

if TYPE_CHECKING:
    from primroseferry_standins.caller import Answer
    from primroseferry_standins.deployment import Deployment
    from primroseferry_standins.deployment import DeploymentShape

DOSSIER_TOKENS = 150
QUESTION_TOKENS = 15
ORDERS = 6
MAX_ORDER_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class Script:
    """The requests that the callers of one deployment send."""

    title: str
    shape: DeploymentShape
    region: str
    token: str
    long_model: str
    short_model: str
    lookup: str
    order: str


SCRIPTS = (
    Script(
        "Teranga Kura",
        teranga_kura(),
        "dakar",
        "dakar-token",
        "dossier",
        "question",
        "/v1/services/orders/stock/lot-7",
        "/v1/services/orders/orders",
    ),
    Script(
        "Lamaa",
        lamaa(),
        "casablanca",
        "casablanca-token",
        "draft",
        "draft",
        "/v1/services/bookings/loyalty/card-9",
        "/v1/services/bookings/bookings",
    ),
)


class Demo:
    """One running deployment and the callers that send requests to it."""

    def __init__(self, script: Script, deployment: Deployment) -> None:
        self._script = script
        self._deployment = deployment
        self._failures: list[str] = []

    def run(self) -> list[str]:
        """Run the script and return the failed checks."""
        self._show_chat("streamed long answer", self._script.long_model, DOSSIER_TOKENS)
        self._show_chat("short question", self._script.short_model, QUESTION_TOKENS)
        answer = self._call("GET", self._script.lookup)
        self._check(answer.status == 200, f"look-up: {answer.body.decode().strip()}")
        self._edit_plan()
        self._kill_gateway()
        self._stop_gateway()
        return self._failures

    def _show_chat(self, description: str, model: str, tokens: int) -> None:
        began_s = time.monotonic()
        answer = chat(
            self._entry_addresses()[0], self._script.token, model, f"{description} " * 50, tokens
        )
        elapsed_ms = (time.monotonic() - began_s) * 1000
        is_complete = isinstance(answer, StreamedAnswer) and answer.is_complete()
        self._check(is_complete, f"{description}: {tokens} tokens, complete, {elapsed_ms:.0f} ms")

    def _edit_plan(self) -> None:
        """Change a plan with the command line and wait until each gateway applies it."""
        text = self._run_cli("plans", "get")
        self._run_cli("plans", "apply", "-", text=text.replace("urgency: ", "urgency: low #", 1))
        began_s = time.monotonic()
        for name, process in self._deployment.gateways.items():
            wait_until(
                lambda process=process: gateway_state(process)["plans"]["revision"] == 2,  # type: ignore[misc]
                f"revision 2 at {name}",
                timeout_s=10.0,
            )
            elapsed_ms = (time.monotonic() - began_s) * 1000
            self._print(f"plan revision 2 in force at {name}, observed after {elapsed_ms:.0f} ms")

    def _kill_gateway(self) -> None:
        """Kill the gateway that streams a long answer while callers send orders."""
        addresses, prefix = self._entry_addresses(), self._key_prefix()
        target = next(
            process
            for process in self._deployment.gateways.values()
            if process.address == addresses[0]
        )
        answers: list[str] = []
        callers = [
            threading.Thread(target=self._place_order, args=(f"{prefix}{number}", answers))
            for number in range(ORDERS)
        ]
        reader = threading.Thread(target=self._read_until_complete, args=(addresses,))
        reader.start()
        for caller in callers[: ORDERS // 2]:
            caller.start()
        time.sleep(0.3)
        target.kill()
        self._print(f"killed gateway {target.name}")
        for caller in callers[ORDERS // 2 :]:
            caller.start()
        for thread in [reader, *callers]:
            thread.join()
        self._check_runs(prefix, answers)

    def _read_until_complete(self, addresses: list[str]) -> None:
        """Send the request to each entry gateway in turn until an answer is complete."""
        for address in addresses:
            try:
                answer = chat(address, self._script.token, self._script.long_model, "again", 60)
            except CallFailedError:
                self._print("caller: connection lost, retrying at the next entry gateway")
                continue
            if isinstance(answer, StreamedAnswer) and answer.is_complete():
                self._check(
                    True, "long answer is complete after the retry at the next entry gateway"
                )
                return
        self._check(False, "no entry gateway returned the complete long answer")

    def _place_order(self, key: str, answers: list[str]) -> None:
        """Send one order, and retry it with the same key until there is a final answer."""
        for _ in range(MAX_ORDER_ATTEMPTS):
            try:
                answer = self._call("POST", self._script.order, {"lot": key[-1]}, key)
            except CallFailedError:
                continue
            if answer.status == 201 or answer.status == 200:
                answers.append("answered")
                return
            if answer.ran == "unknown" and answer.json()["type"].endswith("outcome-unknown"):
                answers.append("outcome unknown")
                return
            time.sleep(0.1)
        answers.append("no answer")

    def _check_runs(self, prefix: str, answers: list[str]) -> None:
        keys = [
            row["key"]
            for process in self._deployment.endpoints.values()
            for row in process.control("/state").get("log", [])
            if row["key"].startswith(prefix)
        ]
        self._check(len(keys) == len(set(keys)), f"{len(keys)} orders ran, none twice")
        self._check("no answer" not in answers, f"callers received: {sorted(answers)}")
        answered = answers.count("answered")
        self._check(answered <= len(keys), f"each of {answered} confirmed orders ran")

    def _stop_gateway(self) -> None:
        """Stop a gateway gracefully while it streams an answer."""
        address = self._entry_addresses()[0]
        process = next(row for row in self._deployment.gateways.values() if row.address == address)
        results: list[bool] = []

        def read() -> None:
            answer = chat(address, self._script.token, self._script.long_model, "stop", 60)
            results.append(isinstance(answer, StreamedAnswer) and answer.is_complete())

        reader = threading.Thread(target=read)
        reader.start()
        time.sleep(0.3)
        process.terminate()
        code = process.wait()
        reader.join()
        self._check(results == [True], f"{process.name} completed its answer before it stopped")
        self._check(code == 0, f"{process.name} exited with code {code}")

    def _call(self, method: str, path: str, data: object = None, key: str = "") -> Answer:
        headers = {"Idempotency_Key": key} if key else {}
        return request(
            self._entry_addresses()[0],
            method,
            path,
            data,
            self._script.token,
            timeout_s=20.0,
            **headers,
        )

    def _entry_addresses(self) -> list[str]:
        return [str(row["address"]) for row in self._fetch_entry()["entries"] if self._is_up(row)]

    def _key_prefix(self) -> str:
        return str(self._fetch_entry()["idempotency_key_prefix"])

    def _fetch_entry(self) -> dict[str, list[dict[str, str]]]:
        for process in self._deployment.gateways.values():
            try:
                answer = request(process.address, "GET", "/v1/entry", token=self._script.token)
            except CallFailedError:
                continue
            if answer.status == 200:
                entry: dict[str, list[dict[str, str]]] = answer.json()
                return entry
        raise SystemExit("no gateway answered the request for entry gateways")

    def _is_up(self, row: dict[str, str]) -> bool:
        return self._deployment.gateways[row["instance"]].is_running()

    def _run_cli(self, *arguments: str, text: str = "") -> str:
        environment = process_environment()
        environment["PRIMROSEFERRY_KEY_VALUE_ADDRESS"] = self._deployment.key_value.address
        result = subprocess.run(
            [sys.executable, "-m", "primroseferry_cli", *arguments],
            input=text,
            capture_output=True,
            text=True,
            env=environment,
            check=False,
        )
        if result.returncode != 0:
            raise SystemExit(f"primroseferry {' '.join(arguments)}: {result.stderr}")
        return result.stdout

    def _check(self, is_passed: bool, description: str) -> None:
        if not is_passed:
            self._failures.append(f"{self._script.title}: {description}")
        self._print(f"{'ok  ' if is_passed else 'FAIL'} {description}")

    def _print(self, description: str) -> None:
        print(f"{self._script.title:>12}  {description}", flush=True)


def main() -> int:
    """Run the script of each deployment in turn."""
    failures: list[str] = []
    began_s = time.monotonic()
    for script in SCRIPTS:
        with start_deployment(script.shape) as deployment:
            print(
                f"{script.title:>12}  {len(deployment.gateways)} gateways and "
                f"{len(deployment.endpoints)} endpoints in {', '.join(script.shape.regions)}"
            )
            failures += Demo(script, deployment).run()
    print(f"\n{time.monotonic() - began_s:.0f} s, {len(failures)} failures")
    for failure in failures:
        print(f"  {failure}")
    return 1 if failures else 0


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    sys.exit(main())
