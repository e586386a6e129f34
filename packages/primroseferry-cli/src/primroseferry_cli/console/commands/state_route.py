"""``primroseferry state route``."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from urllib.parse import urlencode

import typer

from primroseferry_cli.console.options import GatewayAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import show
from primroseferry_cli.gateway_client import GatewayError
from primroseferry_cli.gateway_client import fetch_state

COLUMNS = {
    "endpoint": "endpoint",
    "region": "region",
    "slots": "slots",
    "open_requests": "open",
    "cached_tokens": "cached",
    "first_event_ms": "first ms",
    "score": "score",
    "is_saturated": "saturated",
    "age_ms": "age ms",
    "excluded": "excluded because",
}


def run(
    host: Annotated[str, typer.Argument(help="Host of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    gateway_address: GatewayAddress,
    workspace: Annotated[
        str, typer.Option(help="Name of the caller's workspace; never an API key.")
    ] = "",
    part: Annotated[
        list[str] | None, typer.Option(help="Prompt part as NAME:TOKENS, in order; repeatable.")
    ] = None,
    prompt_tokens: Annotated[int, typer.Option(min=0, help="Tokens of the whole prompt.")] = 0,
    answer_tokens: Annotated[int, typer.Option(min=0, help="Tokens of the longest answer.")] = 0,
    request_id: Annotated[str, typer.Option(help="Request id; chooses a share of a split.")] = "",
    output: Output = OutputFormat.TEXT,
    as_json: Annotated[bool, typer.Option("--json", help="Same as --output json.")] = False,
) -> None:
    """Print where a relay would send a request now, and why, without sending it.

    The address is that of the gateway's metrics port. Example: primroseferry state route
    api.example /chat/ --workspace core --part system:6300 --gateway-address 10.0.0.7:9464
    """
    if as_json:
        output = OutputFormat.JSON
    parameters = [
        ("host", host),
        ("path", path),
        ("workspace", workspace),
        ("prompt_tokens", str(prompt_tokens)),
        ("answer_tokens", str(answer_tokens)),
        ("request_id", request_id),
        *(("part", text) for text in part or ()),
    ]
    try:
        explanation = fetch_state(gateway_address, f"/explain?{urlencode(parameters)}")
    except GatewayError as error:
        fail(output, str(error))
    show(output, _describe(explanation), explanation)


def _describe(explanation: dict[str, Any]) -> str:
    route, decision = explanation["route"], explanation["decision"]
    lines = [
        f"route {route['name']} ({route['kind']}, priority {route['priority']}, table "
        f"{route['revision']}) to service {explanation['service']}",
        *_workspace_lines(explanation["workspace"]),
        f"permitted regions: {', '.join(explanation['permitted_regions']) or 'none known'}",
        f"decision: {decision['action']}{_target_text(decision)}",
    ]
    for title, rows in (
        ("endpoints of this region", explanation["endpoints"]),
        ("other regions", explanation["regions"]),
    ):
        lines += ["", f"{title}:", *(_table(rows) if rows else ["none"])]
    return "\n".join(lines)


def _workspace_lines(workspace: dict[str, Any] | None) -> list[str]:
    if workspace is None:
        return []
    quota = workspace["quota"]
    if quota is None:
        return [f"workspace {workspace['name']}: no quota"]
    state = "denied lately" if quota["is_over_here"] else "not denied lately"
    return [
        f"workspace {workspace['name']}: {quota['rate_per_s']:g} {quota['unit']}/s, burst "
        f"{quota['burst']:g}; the request costs {quota['cost']:g}, this gateway holds "
        f"{quota['balance_here']:g}, {state}"
    ]


def _target_text(decision: dict[str, Any]) -> str:
    if decision["target"] is None:
        return ""
    return f", {decision['target']}, first event after {decision['first_event_ms']} ms"


def _table(rows: list[dict[str, Any]]) -> list[str]:
    names = [name for name in COLUMNS if any(name in row for row in rows)]
    cells = [[COLUMNS[name] for name in names]]
    cells += [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    ]


def _cell(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case _:
            return str(value)
