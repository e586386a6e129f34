"""All gateways are killed once, after a request has silenced three workers."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

CONTACT_S = 5.0
# herd_kill, for_s = 2.0, of the site file.
GATEWAYS_DOWN_S = 1.5
# A crashed worker is back after some seconds; its entry goes after three heartbeats.
BACK_S, EXPIRY_S = 3.0, 3.6
PAUSE_S = 0.2
OBSERVED_S = 60.0
ALLOWED_RETRIES = 3
WORKERS = 6


def case(record: Path, is_disturbed: bool) -> bool:
    deployment = harness.Deployment(record, {"casa-a": 3}, harness.small_routes())
    is_running = True

    def keep_workers() -> None:
        while is_running:
            deployment.replace_crashed("casa-a", "core", BACK_S, EXPIRY_S)
            time.sleep(0.05)

    def send_crashing(number: int) -> None:
        gateway = list(deployment.gateway_ips)[number % 3]
        deployment.call(gateway, "GET", "/look/silence", f"c{number}", 4000, 4.0)

    try:
        deployment.put_config()
        for number in range(WORKERS):
            deployment.start_worker(f"i-{number + 1}", "core", "casa-a")
        for name in deployment.gateway_ips:
            deployment.start_gateway(name)
        deployment.wait_ready()
        time.sleep(6.0)
        keeper = threading.Thread(target=keep_workers)
        keeper.start()
        began_s = time.monotonic()
        sent = 0
        # The request comes again until it has crashed the third worker.
        while len(crashes(deployment)) < 3 and time.monotonic() - began_s < 20.0:
            caller = threading.Thread(target=send_crashing, args=(sent,))
            caller.start()
            sent += 1
            while caller.is_alive() and len(crashes(deployment)) < 3:
                time.sleep(0.05)
            time.sleep(PAUSE_S)
        if len(crashes(deployment)) < 3:
            raise harness.CannotRun("the request has not crashed three workers")
        third_s = float(crashes(deployment)[2]["at_s"])
        if is_disturbed:
            for name, process in deployment.gateways.items():
                deployment.signal(process, signal.SIGKILL)
                deployment.note("gateway killed", gateway=name)
            time.sleep(GATEWAYS_DOWN_S)
            for name in deployment.gateway_ips:
                deployment.start_gateway(name, is_first=False)
        deployment.wait_ready()
        # All gateways have been without disruption for ContactMs.
        time.sleep(CONTACT_S + 1.0)
        in_touch_s = time.monotonic()
        deployment.note("in touch")
        while time.monotonic() - began_s < OBSERVED_S and retries(deployment, third_s, in_touch_s) <= ALLOWED_RETRIES:
            send_crashing(sent)
            sent += 1
            time.sleep(PAUSE_S)
        is_running = False
        keeper.join()
        time.sleep(EXPIRY_S)
        deployment.note_runs()
        count = retries(deployment, third_s, in_touch_s)
        deployment.note("judged", sent=sent, crashes=len(crashes(deployment)), retries_in_touch_after_the_third=count)
        return count > ALLOWED_RETRIES
    finally:
        is_running = False
        deployment.close()


def crashes(deployment: harness.Deployment) -> list[dict[str, object]]:
    return [entry for entry in deployment.runs() if str(entry.get("run", "")).startswith("c")]


def retries(deployment: harness.Deployment, third_s: float, in_touch_s: float) -> int:
    """Return the arrivals that were sent in touch, over ContactMs after the third crash."""
    from_s = max(third_s + CONTACT_S, in_touch_s)
    return sum(entry["at_s"] > from_s for entry in crashes(deployment))


if __name__ == "__main__":
    harness.main(Path(__file__).with_name("record.txt"), case)
