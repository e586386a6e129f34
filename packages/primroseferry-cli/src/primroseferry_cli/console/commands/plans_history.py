"""``primroseferry plans history``."""

from __future__ import annotations

from dataclasses import asdict

from primroseferry_cli.console.options import KeyValueAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import show
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import PlanStoreError


def run(key_value_address: KeyValueAddress, output: Output = OutputFormat.TEXT) -> None:
    """Print the recent changes, newest first.

    Example: primroseferry plans history --output json
    """
    with open_plan_store(key_value_address) as store:
        try:
            history = store.read().document.history
        except PlanStoreError as error:
            fail(output, str(error))
    lines = [f"{row.revision}  {row.change_id}  {row.author}  {row.summary}" for row in history]
    show(output, "\n".join(lines) or "no changes yet", [asdict(row) for row in history])
