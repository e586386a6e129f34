"""``primroseferry plans get``."""

from __future__ import annotations

import json

from primroseferry_core.plan_format import to_data
from primroseferry_core.plan_format import to_yaml

from primroseferry_cli.console.options import KeyValueAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import show
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import PlanStoreError


def run(key_value_address: KeyValueAddress, output: Output = OutputFormat.TEXT) -> None:
    """Print both lists in the format that operators edit.

    Example: primroseferry plans get > plans.yaml
    """
    with open_plan_store(key_value_address) as store:
        try:
            document = store.read().document
        except PlanStoreError as error:
            fail(output, str(error))
    show(output, to_yaml(document).rstrip(), json.loads(json.dumps(to_data(document))))
