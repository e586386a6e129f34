"""Reference pages that are written from the code, so that they cannot fall behind it."""

from __future__ import annotations

import typer
from primroseferry_core.errors import ERROR_ANSWERS
from primroseferry_core.events import Event

from .console.application import application


def events_page() -> str:
    """Return the catalogue of log events."""
    rows = [f"| {event.number} | {event.level} | {event.sentence} |" for event in Event]
    head = [
        "# Events",
        "",
        "Logs are JSON, one line each, on standard error, with the event's number in `event`. The",
        "first digit groups them: 1 process, 2 requests, 3 plans, 4 peers, 5 endpoints,",
        "6 at-most-once, 7 platform. No event carries content of a request.",
        "",
        "| number | level | what happened |",
        "| --- | --- | --- |",
    ]
    return "\n".join([*head, *rows]) + "\n"


def errors_page() -> str:
    """Return the table from error kind to answer."""
    rows = [
        f"| `{kind.value}` | {answer.status} | {answer.ran.value} | "
        f"{'' if answer.retry_after_s is None else answer.retry_after_s} | {answer.title} |"
        for kind, answer in ERROR_ANSWERS.items()
    ]
    head = [
        "# Errors",
        "",
        "The closed list of error kinds. `ran` is what the answer says of the work; a refusal of",
        "an at-most-once operation by a gateway that does not own its key says `unknown`.",
        "`retry after` is in seconds; where it is empty, asking again cannot help.",
        "",
        "| kind | status | ran | retry after | title |",
        "| --- | --- | --- | --- | --- |",
    ]
    return "\n".join([*head, *rows]) + "\n"


def settings_page() -> str:
    """Return the list of a gateway's settings."""
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
        "goes first. A wrong one is refused at start with its variable, its value and what is",
        "allowed.",
        "",
        "| flag | variable | unless set | meaning |",
        "| --- | --- | --- | --- |",
    ]
    return "\n".join([*head, *rows]) + "\n"
