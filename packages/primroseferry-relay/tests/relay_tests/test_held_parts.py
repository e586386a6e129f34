"""What callers get whose prompts hold a part that crashes endpoints."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from primroseferry_policy.part_key import part_key
from primroseferry_policy.prompt import Generation
from primroseferry_policy.prompt import PartId
from primroseferry_policy.prompt import PromptPart
from primroseferry_policy.quarantine import PartLoss
from primroseferry_policy.quarantine import Quarantine
from primroseferry_policy.shared_budget import SharedRetryBudget
from primroseferry_relay.messages import RelayRequest
from primroseferry_relay.relay_policy import RelayPolicy
from primroseferry_relay.suspect import suspect_of_request

from .relay_harness import RelayHarness
from .scripted_endpoint import ScriptedEndpoint
from .scripted_endpoint import answer
from .test_route_table import SERVICE

if TYPE_CHECKING:
    from primroseferry_transport.curl_loop import CurlLoop

BAD_PROMPT = "X-Parts: first,bad,own-1\r\n"
SOUND_PROMPT = "X-Parts: first,good,own-2\r\n"


def harness_with_held_part(loop: CurlLoop, wait_s: float) -> RelayHarness:
    quarantine = Quarantine(trial_waits_s=(wait_s, 60.0))
    policy = RelayPolicy(SharedRetryBudget(10, 0.2, 50), quarantine=quarantine)
    now_s = int(time.time())
    losses = [
        PartLoss(part_key(SERVICE.name, PartId(name)), depth)
        for depth, name in enumerate(("first", "bad"))
    ]
    for number in range(3):
        quarantine.blame_parts(losses, f"x-{number}/1@{now_s + 2 * number}")
    endpoint = ScriptedEndpoint(lambda connection, request: connection.sendall(answer(request)))
    return RelayHarness(loop, [endpoint], policy=policy)


def status_and_wait(data: bytes) -> tuple[int, float]:
    head = data.partition(b"\r\n\r\n")[0].lower()
    _, _, rest = head.partition(b"retry-after:")
    return int(head.split()[1]), float(rest.split()[0]) if rest else -1.0


def test_request_with_a_held_part_is_refused_at_once_and_others_are_served(loop: CurlLoop) -> None:
    harness = harness_with_held_part(loop, 5.0)
    status, wait_s = status_and_wait(harness.call("/once/", "POST", BAD_PROMPT, b"x"))
    assert status == 503
    assert 4 < wait_s <= 7
    assert status_and_wait(harness.call("/once/", "POST", SOUND_PROMPT, b"x"))[0] == 200
    assert harness.wait_records(2)[0].held_part == "part:orders/bad"


def test_gateway_that_may_not_try_a_part_yet_says_when_to_come_back(loop: CurlLoop) -> None:
    """A gateway that has just started leaves the trial to others, although it is due."""
    harness = harness_with_held_part(loop, 0.0)
    status, wait_s = status_and_wait(harness.call("/once/", "POST", BAD_PROMPT, b"x"))
    assert status == 503
    assert wait_s > 0
    harness.end_discovery()
    assert status_and_wait(harness.call("/once/", "POST", BAD_PROMPT, b"x"))[0] == 200
    assert harness.policy.quarantine.held_parts() == []


def test_crashes_are_held_against_a_bounded_number_of_parts_of_one_prompt() -> None:
    request = RelayRequest("POST", "/", "a.example", (), b"", 0.0)
    parts = tuple(PromptPart(PartId(f"{number:x}"), 10) for number in range(300))
    suspect = suspect_of_request(request, SERVICE.name, Generation(parts))
    assert [part.depth for part in suspect.parts] == list(range(32))
