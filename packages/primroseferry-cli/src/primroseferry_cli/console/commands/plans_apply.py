"""``primroseferry plans apply``."""

from __future__ import annotations

import getpass
from typing import Annotated

import typer
from primroseferry_core.plan_format import PlanFormatError
from primroseferry_core.plan_format import parse_yaml

from primroseferry_cli.apply_report import describe_outcome
from primroseferry_cli.apply_report import outcome_data
from primroseferry_cli.console.options import KeyValueAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import PlansFile
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import read_text
from primroseferry_cli.console.options import show
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import PlansConflict
from primroseferry_cli.plan_store import PlanStoreError

Author = Annotated[
    str,
    typer.Option(
        "--author", envvar="PRIMROSEFERRY_AUTHOR", help="Author of the change, for the history."
    ),
]


def run(
    file: PlansFile,
    key_value_address: KeyValueAddress,
    author: Author = "",
    output: Output = OutputFormat.TEXT,
) -> None:
    """Apply the lists in a file, unless they were changed since they were read.

    Example: primroseferry plans apply plans.yaml
    """
    apply_text(read_text(file), key_value_address, author, output)


def apply_text(text: str, key_value_address: str, author: str, output: OutputFormat) -> None:
    """Parse and apply lists in the operators' format, and print the outcome."""
    try:
        desired = parse_yaml(text)
        with open_plan_store(key_value_address) as store:
            outcome = store.apply(desired, author or _login_name())
    except (PlanFormatError, PlanStoreError) as error:
        fail(output, str(error))
    show(output, describe_outcome(outcome), outcome_data(outcome))
    if isinstance(outcome, PlansConflict):
        raise typer.Exit(1)


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
