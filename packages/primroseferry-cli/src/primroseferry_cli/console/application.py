"""The ``primroseferry`` program."""

from __future__ import annotations

import typer

from .commands import gateway
from .commands import plans_apply
from .commands import plans_diff
from .commands import plans_edit
from .commands import plans_get
from .commands import plans_history
from .commands import state_dump
from .commands import state_explain
from .commands import state_route

application = typer.Typer(
    name="primroseferry",
    help="A multi-region inference gateway, driven by two lists of plans.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
plans = typer.Typer(help="Read and change the operators' two lists.", no_args_is_help=True)
state = typer.Typer(help="Inspect a running gateway.", no_args_is_help=True)
application.add_typer(plans, name="plans")
application.add_typer(state, name="state")
application.command("gateway")(gateway.run)
plans.command("get")(plans_get.run)
plans.command("edit")(plans_edit.run)
plans.command("diff")(plans_diff.run)
plans.command("apply")(plans_apply.run)
plans.command("history")(plans_history.run)
state.command("dump")(state_dump.run)
state.command("explain")(state_explain.run)
state.command("route")(state_route.run)


def main() -> None:
    """Run the ``primroseferry`` program."""
    application()
