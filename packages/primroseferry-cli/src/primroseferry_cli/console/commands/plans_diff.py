"""``primroseferry plans diff``."""

from __future__ import annotations

from dataclasses import asdict

from primroseferry_core.plan_diff import diff_documents
from primroseferry_core.plan_format import PlanFormatError
from primroseferry_core.plan_format import parse_yaml

from primroseferry_cli.console.options import KeyValueAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import PlansFile
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import read_text
from primroseferry_cli.console.options import show
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import PlanStoreError


def run(
    file: PlansFile, key_value_address: KeyValueAddress, output: Output = OutputFormat.TEXT
) -> None:
    """Print the rows that differ between a file and the lists in force.

    Example: primroseferry plans diff plans.yaml
    """
    try:
        desired = parse_yaml(read_text(file))
        with open_plan_store(key_value_address) as store:
            current = store.read().document
    except (PlanFormatError, PlanStoreError) as error:
        fail(output, str(error))
    changes = diff_documents(current, desired)
    text = "\n".join(change.describe() for change in changes) or "no differences"
    if current.revision != desired.revision:
        text += f"\nthe file has revision {desired.revision}, in force is {current.revision}"
    rows = [{**asdict(change), "kind": change.kind.value} for change in changes]
    data = {"file_revision": desired.revision, "revision": current.revision, "changes": rows}
    show(output, text, data)
