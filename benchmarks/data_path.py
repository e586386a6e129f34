"""Measures CPU time per relayed token, gaps between tokens and added first-token latency."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np
from primroseferry_standins.caller import chat
from primroseferry_standins.deployment import Deployment
from primroseferry_standins.deployment import DeploymentShape
from primroseferry_standins.deployment import EndpointShape
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.process import Process
from primroseferry_standins.process import process_environment
from process_usage import PEAK_MEMORY
from process_usage import cpu_s
from process_usage import memory_mb

STEP_MS = 43.0
ENGINES = 4
STREAM_COUNTS = (100, 300)
WARM_UP_S = 4.0
WINDOW_S = 8.0
FIRST_TOKEN_CALLS = 60
TARGET_CPU_US = 60.0
TARGET_GAP_RATIO = 1.1
TARGET_MEMORY_MB = 256.0
PLANS = """
revision: 0
customers:
  - {customer: bench, plan: bench}
plans:
  - plan: bench
    regions: [here]
    urgency: normal
    accepted_cost: 10
    models:
      - {model: small, max_open_requests: 2000}
"""


@dataclass(frozen=True, slots=True)
class StreamResult:
    """The measurements of one run of streams."""

    tokens_per_s: float
    p50_ms: float
    p95_ms: float
    cpu_us_per_token: float


def main() -> None:
    """Run the measurement and print it."""
    shape = DeploymentShape(
        regions=("here",),
        gateways_per_region=1,
        endpoints=tuple(
            EndpointShape(
                f"engine-{number}",
                "here",
                "small",
                options=("--slots", "200", "--step-ms", str(STEP_MS)),
            )
            for number in range(ENGINES)
        ),
        plans=PLANS,
        clients={"bench": {"customer": "bench", "region": "here"}},
        gateway_options=("--log-level", "error"),
    )
    with start_deployment(shape) as deployment:
        gateway = deployment.gateways["here-1"]
        engines = [process.address for process in deployment.endpoints.values()]
        _print_first_token(deployment, gateway)
        print("| streams | target | tokens/s | p50 gap ms | p95 gap ms | CPU us/token |")
        print("| --- | --- | --- | --- | --- | --- |")
        for count in STREAM_COUNTS:
            direct = _run(engines, count, None)
            relayed = _run([gateway.address], count, gateway)
            _print_row(count, "engine", direct)
            _print_row(count, "gateway", relayed)
            ratio = relayed.p95_ms / direct.p95_ms
            print(
                f"| {count} | ratio {ratio:.3f}, target {TARGET_GAP_RATIO} | | | "
                f"| target {TARGET_CPU_US} |"
            )
        peak_mb = memory_mb(gateway, PEAK_MEMORY)
        print(f"\nmemory of the gateway: {peak_mb:.0f} MB, target {TARGET_MEMORY_MB:.0f} MB")


def _run(addresses: list[str], streams: int, measured: Process | None) -> StreamResult:
    task = {
        "addresses": addresses,
        "streams": streams,
        "model": "small",
        "max_tokens": int((WARM_UP_S + WINDOW_S + 2) * 1000 / STEP_MS),
        "warm_up_s": WARM_UP_S,
        "window_s": WINDOW_S,
    }
    client = subprocess.Popen(
        [sys.executable, str(Path(__file__).with_name("stream_load.py"))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=process_environment(),
        text=True,
    )
    assert client.stdin is not None
    assert client.stdout is not None
    client.stdin.write(json.dumps(task) + "\n")
    client.stdin.flush()
    client.stdout.readline()
    before_s = cpu_s(measured) if measured is not None else 0.0
    client.stdin.write("go\n")
    client.stdin.flush()
    result = json.loads(client.stdout.readline())
    used_s = cpu_s(measured) - before_s if measured is not None else 0.0
    client.wait()
    time.sleep(1.0)
    gaps = np.array(result["gaps_ms"])
    return StreamResult(
        tokens_per_s=result["tokens"] / result["elapsed_s"],
        p50_ms=float(np.percentile(gaps, 50)),
        p95_ms=float(np.percentile(gaps, 95)),
        cpu_us_per_token=used_s * 1e6 / max(1, result["tokens"]),
    )


def _print_row(count: int, target: str, result: StreamResult) -> None:
    cpu = f"{result.cpu_us_per_token:.1f}" if result.cpu_us_per_token else ""
    print(
        f"| {count} | {target} | {result.tokens_per_s:.0f} | {result.p50_ms:.1f} "
        f"| {result.p95_ms:.1f} | {cpu} |"
    )


def _print_first_token(deployment: Deployment, gateway: Process) -> None:
    """Measure one-token answers one at a time, so that no other request is in flight."""
    engine = next(iter(deployment.endpoints.values()))
    direct, relayed = [], []
    for number in range(FIRST_TOKEN_CALLS):
        direct.append(_first_token_ms(engine.address, f"direct {number}"))
        relayed.append(_first_token_ms(gateway.address, f"relayed {number}"))
    added_ms = float(np.median(relayed) - np.median(direct))
    print(
        f"first token: engine {np.median(direct):.1f} ms, gateway {np.median(relayed):.1f} ms, "
        f"added {added_ms:.1f} ms (medians of {FIRST_TOKEN_CALLS})\n"
    )


def _first_token_ms(address: str, prompt: str) -> float:
    began_s = time.monotonic()
    chat(address, "bench", "small", prompt, 1)
    return (time.monotonic() - began_s) * 1000


if __name__ == "__main__":
    main()
