"""BUDGET: a part deep in its prompts goes on to crash workers."""

from __future__ import annotations

import http.client
import os
import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import ENGINE  # noqa: E402
from harness_2 import HOST  # noqa: E402
from harness_2 import Deployment  # noqa: E402
from harness_2 import Record  # noqa: E402
from harness_2 import route  # noqa: E402
from harness_2 import service  # noqa: E402

IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How many parts precede the part that crashes workers.
DEPTH = int(os.environ.get("DEPTH", "35"))
SHARED_PARTS = 40
CONTACT_S = 5.0
# A worker that a request crashes is back after some seconds.
DOWN_S = 2.0
MOST_AFTER = 3
SOUND_CALLERS, SOUND_PER_S = 6, 2.0
CRASH_EVERY_S, LENGTH_S = 1.0, 45.0
# The stand-in of a worker crashes on this part, before it answers.
BAD_PART = "bad0"
PARTS = [f"{0x5C1E0000 + number:08x}" for number in range(SHARED_PARTS)]


class Callers:
    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment, self.record = deployment, record
        self.statuses: Counter[str] = Counter()
        self.number = 0
        self.lock = threading.Lock()
        self.is_running = True

    def call(self, gateway, is_sound: bool) -> None:
        with self.lock:
            self.number += 1
            request_id = f"{self.number:08x}"
        shared = list(PARTS)
        if not is_sound and IS_TROUBLE:
            shared[DEPTH] = BAD_PART
        parts = ",".join(f"{part}:20" for part in [*shared, request_id])
        headers = {
            "Host": HOST, "Request-Id": request_id, "Deadline-Ms": "5000", "Model": "m",
            "Token-Counts": f"{20 * SHARED_PARTS + 20},4", "Prompt-Prefix": parts,
        }
        connection = http.client.HTTPConnection(*gateway.front, timeout=6)
        try:
            # No two requests are alike.
            connection.request("POST", "/chat/stream-4", request_id.encode(), headers)
            answer = connection.getresponse()
            answer.read()
            status = str(answer.status)
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        kind = "sound" if is_sound else "crashing"
        self.statuses[f"{kind} {status}"] += 1
        self.record.note(f"{kind} {request_id} at {gateway.name}: {status}")

    def sound(self, gateway) -> None:
        while self.is_running:
            self.call(gateway, is_sound=True)
            time.sleep(random.uniform(0.5, 1.5) / SOUND_PER_S)

    def crashing(self) -> None:
        while self.is_running:
            gateway = random.choice(self.deployment.gateways)
            threading.Thread(target=self.call, args=(gateway, False), daemon=True).start()
            time.sleep(CRASH_EVERY_S)


def bring_back(deployment: Deployment, record: Record) -> None:
    """Start each crashed worker again, under its id, after some seconds."""
    while True:
        for name, endpoint in list(deployment.endpoints.items()):
            if not endpoint.is_running and not deployment.is_closed:
                record.note(f"{name} has crashed")
                del deployment.endpoints[name]
                threading.Timer(DOWN_S, start_again, (deployment, name, endpoint.address)).start()
        time.sleep(0.05)


def start_again(deployment: Deployment, name: str, address: str) -> None:
    if not deployment.is_closed:
        deployment.add_endpoint(name, "kura-model", "dakar-a", address=address)


def main() -> int:
    record = Record(__file__)
    deployment = Deployment({"dakar-a": 2}, {"dakar-a": "dakar"})
    try:
        deployment.put_config(
            [route("chat", "/chat/", "streaming", "kura-model", Resumable=True, Sticky=True)],
            [service("kura-model", Engine=ENGINE)],
        )
        for number in range(6):
            deployment.add_endpoint(f"i-model-{number}", "kura-model", "dakar-a")
        deployment.start()
        if not deployment.wait_ready():
            record.say("the gateways did not become ready")
            return 2
        threading.Thread(target=bring_back, args=(deployment, record), daemon=True).start()
        callers = Callers(deployment, record)
        for gateway in deployment.gateways:
            for _ in range(SOUND_CALLERS):
                threading.Thread(target=callers.sound, args=(gateway,), daemon=True).start()
        time.sleep(3)
        threading.Thread(target=callers.crashing, daemon=True).start()
        time.sleep(LENGTH_S)
        callers.is_running = False
        time.sleep(5.5)
        return judge(deployment, callers, record)
    finally:
        deployment.close()


def judge(deployment: Deployment, callers: Callers, record: Record) -> int:
    record.say(f"answers: {dict(callers.statuses)}")
    times = [one.at_s for one in deployment.runs.crashes]
    record.say(f"crashes: {len(times)}")
    if len(times) < 5:
        return 1 if IS_TROUBLE and not times else 0
    limit_s = times[4] + CONTACT_S
    late = [one for one in deployment.runs.crashes if one.at_s > limit_s]
    for one in late:
        record.note(f"{one.request_id} reached {one.endpoint} {one.at_s - times[4]:.1f} s after")
    record.say(
        f"{len(late)} requests with the part reached workers later than {CONTACT_S:.0f} s after the "
        f"fifth crash, allowed {MOST_AFTER}"
    )
    return 1 if len(late) > MOST_AFTER else 0


if __name__ == "__main__":
    sys.exit(main())
