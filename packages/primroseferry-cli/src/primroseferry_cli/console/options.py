"""Options and output functions shared by several commands."""

from __future__ import annotations

import enum
import json
import sys
from pathlib import Path
from typing import Annotated
from typing import NoReturn

import typer


class OutputFormat(enum.Enum):
    """How a command prints its result."""

    TEXT = "text"
    JSON = "json"


Output = Annotated[OutputFormat, typer.Option("--output", help="Print text or one JSON value.")]
KeyValueAddress = Annotated[
    str,
    typer.Option(
        "--key-value-address",
        envvar="PRIMROSEFERRY_KEY_VALUE_ADDRESS",
        help="IP number and port of the key-value service.",
    ),
]
GatewayAddress = Annotated[
    str,
    typer.Option(
        "--gateway-address",
        envvar="PRIMROSEFERRY_GATEWAY_ADDRESS",
        help="IP number and port of a running gateway.",
    ),
]
PlansFile = Annotated[
    Path, typer.Argument(help="File with the lists as 'plans get' writes them; - for stdin.")
]


def read_text(path: Path) -> str:
    """Return the text of the file, or of standard input for ``-``; exits on a read error."""
    if str(path) == "-":
        return sys.stdin.read()
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(OutputFormat.TEXT, f"cannot read {path}: {error}")


def show(output: OutputFormat, text: str, data: object) -> None:
    """Print a result: ``text`` or ``data`` as JSON, depending on ``output``."""
    if output is OutputFormat.JSON:
        typer.echo(json.dumps(data))
    else:
        typer.echo(text)


def fail(output: OutputFormat, message: str, **fields: object) -> NoReturn:
    """Print an error to stderr, and as JSON to stdout if selected, and exit with status 1."""
    if output is OutputFormat.JSON:
        typer.echo(json.dumps({"error": message, **fields}))
    typer.echo(f"error: {message}", err=True)
    raise typer.Exit(1)
