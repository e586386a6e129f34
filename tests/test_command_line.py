"""The operators' command line, run against a deployment."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from primroseferry_standins.caller import request
from primroseferry_standins.deployment import start_deployment
from primroseferry_standins.process import process_environment
from primroseferry_standins.shapes import single_region

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_standins.deployment import Deployment

GATEWAY = ("gateway", "--instance", "a", "--region", "b", "--failure-domain", "c")
ADDRESSES = ("--key-value-address", "127.0.0.1:1", "--directory-address", "127.0.0.1:2")
COMMANDS = [
    ("gateway",),
    ("plans", "get"),
    ("plans", "edit"),
    ("plans", "diff"),
    ("plans", "apply"),
    ("plans", "history"),
    ("state", "dump"),
    ("state", "explain"),
]


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    with start_deployment(single_region()) as running:
        yield running


def run_program(
    *arguments: str, text: str = "", **environment: str
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "primroseferry_cli", *arguments],
        input=text,
        capture_output=True,
        text=True,
        env={**process_environment(), **environment},
        timeout=60,
        check=False,
    )


def run_plans(
    deployment: Deployment, *arguments: str, text: str = "", **environment: str
) -> subprocess.CompletedProcess[str]:
    address = ("--key-value-address", deployment.key_value.address)
    return run_program("plans", *arguments, *address, text=text, **environment)


@pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
def test_every_command_has_help_with_an_example(command: tuple[str, ...]) -> None:
    result = run_program(*command, "--help")

    assert result.returncode == 0
    assert "Example: " in result.stdout


def test_edited_plans_are_applied_and_appear_in_the_history(deployment: Deployment) -> None:
    text = run_plans(deployment, "get").stdout
    changed = text.replace("accepted_cost: 10.0", "accepted_cost: 12.0", 1)
    difference = json.loads(
        run_plans(deployment, "diff", "-", "--output", "json", text=changed).stdout
    )
    applied = json.loads(
        run_plans(
            deployment, "apply", "-", "--author", "ada", "--output", "json", text=changed
        ).stdout
    )
    history = json.loads(run_plans(deployment, "history", "--output", "json").stdout)

    assert [row["row_name"] for row in difference["changes"]] == ["franchise"]
    assert applied["outcome"] == "accepted"
    assert history[0]["change_id"] == applied["change_id"]
    assert history[0]["author"] == "ada"


def test_outdated_plans_are_refused_with_both_changes(
    deployment: Deployment,
) -> None:
    text = run_plans(deployment, "get").stdout
    run_plans(deployment, "apply", "-", text=text.replace("urgency: normal", "urgency: low", 1))
    result = run_plans(
        deployment, "apply", "-", text=text.replace("urgency: high", "urgency: low", 1)
    )

    assert result.returncode == 1
    assert "plans/home-only changed" in result.stdout
    assert "plans/franchise changed" in result.stdout


def test_invalid_field_is_named_and_nothing_is_written(deployment: Deployment) -> None:
    text = run_plans(deployment, "get").stdout
    result = run_plans(
        deployment, "apply", "-", text=text.replace("urgency: high", "urgency: soon")
    )

    assert result.returncode == 1
    assert "plans[1].urgency: expected one of high, normal, low" in result.stderr
    assert run_plans(deployment, "get").stdout == text


def test_edit_applies_what_the_editor_saves(deployment: Deployment) -> None:
    editor = "sed -i s/accepted_cost:.12.0/accepted_cost:\\ 13.0/"
    result = run_plans(deployment, "edit", EDITOR=editor)

    assert result.returncode == 0, result.stderr
    assert "accepted_cost: 13.0" in run_plans(deployment, "get").stdout


def test_explanation_shows_the_options_considered(deployment: Deployment) -> None:
    address = deployment.gateways["dakar-1"].address
    body = {"model": "small", "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}
    answer = request(address, "POST", "/v1/chat/completions", body, "shop-token")
    result = run_program("state", "explain", answer.request_id, "--gateway-address", address)

    assert "chosen: endpoint dakar-engine-1" in result.stdout
    assert "score" in result.stdout


def test_dump_shows_the_state(deployment: Deployment) -> None:
    address = deployment.gateways["dakar-1"].address
    result = run_program("state", "dump", "--gateway-address", address, "--output", "json")

    state = json.loads(result.stdout)
    assert state["gateway"]["instance"] == "dakar-1"
    assert state["endpoints"][0]["slots"] > 0


def test_unreachable_gateway_is_an_error(deployment: Deployment) -> None:
    result = run_program("state", "dump", "--gateway-address", "127.0.0.1:1", "--output", "json")

    assert result.returncode == 1
    assert "cannot be reached" in json.loads(result.stdout)["error"]


@pytest.mark.parametrize(
    ("variable", "value", "allowed"),
    [
        ("PRIMROSEFERRY_PORT", "99999", "a whole number from 0 to 65535"),
        ("PRIMROSEFERRY_PORT", "http", "a whole number from 0 to 65535"),
        ("PRIMROSEFERRY_HOST", "localhost", "an IP number such as 10.0.0.7"),
        ("PRIMROSEFERRY_LOG_LEVEL", "loud", "one of info, warning, error"),
        ("PRIMROSEFERRY_DRAIN_TIMEOUT_MS", "-1", "a whole number from 100"),
        ("PRIMROSEFERRY_ONCE_RETENTION_S", "1", "a whole number from 60"),
    ],
)
def test_invalid_setting_is_refused_with_variable_value_and_allowed_values(
    variable: str, value: str, allowed: str
) -> None:
    result = run_program(*GATEWAY, *ADDRESSES, **{variable: value})

    assert result.returncode == 1
    assert f"{variable}={value!r}: expected {allowed}" in result.stderr
