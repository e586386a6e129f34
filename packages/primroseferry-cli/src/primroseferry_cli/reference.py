"""Generates the reference pages from the code."""

from __future__ import annotations

import typer
from primroseferry_core.client_limits import CLIENT_LIMITS
from primroseferry_core.errors import ERROR_ANSWERS
from primroseferry_core.events import Event
from primroseferry_core.relay_variables import RELAY_VARIABLES

from .console.application import application


def events_page() -> str:
    """Return the page that lists the log events."""
    rows = [f"| {event.number} | {event.level} | {event.sentence} |" for event in Event]
    head = [
        "# Events",
        "",
        "Logs are JSON, one line each, on standard error, with the event's number in `event`. The",
        "first digit is the group: 1 process, 2 requests, 3 plans, 4 peers, 5 endpoints,",
        "6 at-most-once, 7 platform. No event contains the content of a request.",
        "",
        "| number | level | description |",
        "| --- | --- | --- |",
    ]
    return "\n".join([*head, *rows]) + "\n"


def errors_page() -> str:
    """Return the page that lists the error kinds and their answers."""
    rows = [
        f"| `{kind.value}` | {answer.status} | {answer.ran.value} | "
        f"{'' if answer.retry_after_s is None else answer.retry_after_s} | {answer.title} |"
        for kind, answer in ERROR_ANSWERS.items()
    ]
    head = [
        "# Errors",
        "",
        "The closed list of error kinds. `ran` says whether the request was executed. A",
        "gateway that refuses an at-most-once operation without owning its key says `unknown`.",
        "`retry after` is in seconds; where it is empty, a retry cannot succeed.",
        "",
        "| kind | status | ran | retry after | title |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*head, *rows]) + "\n"


def settings_page() -> str:
    """Return the page that lists the gateway's settings."""
    command = typer.main.get_command(application).commands["gateway"]  # type: ignore[attr-defined]
    rows = [
        f"| `{option.opts[0]}` | `{option.envvar}` | "
        f"{'required' if option.required else f'`{option.default}`'} | {option.help} |"
        for option in command.params
        if option.envvar
    ]
    head = [
        "# Settings",
        "",
        "Every setting of `primroseferry gateway` is a flag or an environment variable; the flag",
        "takes precedence. The gateway does not start with an invalid one; the error names its",
        "variable, its value and the allowed values.",
        "",
        "| flag | variable | default | meaning |",
        "| --- | --- | --- | --- |",
    ]
    relay_rows = [
        f"| `{variable.name}` | `{variable.default}` | {variable.help} |"
        for variable in RELAY_VARIABLES
    ]
    relay_head = [
        "",
        "## Relay",
        "",
        "A relay gateway reads the platform's settings file, see [operations](OPERATIONS.md), and",
        "these variables at its start.",
        "",
        "| variable | default | meaning |",
        "| --- | --- | --- |",
    ]
    limits = [
        "",
        "## Limits on clients",
        "",
        "A relay gateway reads these variables at its start; the defaults are constants of",
        "`primroseferry_core/client_limits.py`. No client within the documented limits of requests",
        "meets them, unless the memory of the instance is used up.",
        "",
        "| variable | default | allowed | meaning |",
        "| --- | --- | --- | --- |",
        *(
            f"| `{limit.variable}` | `{limit.value}` | {limit.minimum} to {limit.maximum} | "
            f"{limit.meaning} |"
            for limit in CLIENT_LIMITS
        ),
    ]
    return "\n".join([*head, *rows, *relay_head, *relay_rows, *limits]) + "\n"
