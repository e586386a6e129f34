"""``primroseferry plans edit``."""

from __future__ import annotations

import os
import shlex
import subprocess
import tempfile
from pathlib import Path

from primroseferry_core.plan_format import to_yaml

from primroseferry_cli.console.options import KeyValueAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_cli.plan_store import PlanStoreError

from .plans_apply import Author
from .plans_apply import apply_text


def run(
    key_value_address: KeyValueAddress, author: Author = "", output: Output = OutputFormat.TEXT
) -> None:
    """Open both lists in the editor set by $VISUAL or $EDITOR and apply the saved text.

    Example: EDITOR=nano primroseferry plans edit
    """
    with open_plan_store(key_value_address) as store:
        try:
            document = store.read().document
        except PlanStoreError as error:
            fail(output, str(error))
    original = to_yaml(document)
    try:
        edited = _edit(original)
    except (OSError, subprocess.CalledProcessError) as error:
        fail(output, f"the editor failed, nothing was changed: {error}")
    if edited == original:
        fail(output, "the text was not edited, nothing was changed")
    apply_text(edited, key_value_address, author, output)


def _edit(text: str) -> str:
    """Return the edited text. Raises ``OSError`` or ``CalledProcessError`` on failure."""
    editor = os.environ.get("VISUAL") or os.environ.get("EDITOR") or "vi"
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "plans.yaml"
        file.write_text(text, encoding="utf-8")
        subprocess.run([*shlex.split(editor), str(file)], check=True)
        return file.read_text(encoding="utf-8")
