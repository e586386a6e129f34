"""``primroseferry state explain``."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from urllib.parse import quote

import typer

from primroseferry_cli.console.options import GatewayAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import show
from primroseferry_cli.gateway_client import GatewayError
from primroseferry_cli.gateway_client import fetch_state


def run(
    request_id: Annotated[str, typer.Argument(help="The X-Request-Id of the answer.")],
    gateway_address: GatewayAddress,
    output: Output = OutputFormat.TEXT,
) -> None:
    """Print the routing decisions for a recent request.

    Example: primroseferry state explain req-1a2b3c --gateway-address 10.0.0.7:8080
    """
    try:
        trace = fetch_state(gateway_address, f"/v1/state/requests/{quote(request_id, safe='')}")
    except GatewayError as error:
        fail(output, str(error))
    show(output, _describe(trace), trace)


def _describe(trace: dict[str, Any]) -> str:
    lines = [f"{trace['request_id']} for {trace['target']}"]
    for step in trace["steps"]:
        lines.append(f"{step['at_ms']:>10.1f} ms  {step['what']}: {step['detail']}")
        lines += [
            f"{'':>15}{option['target']}: score {option['score']}, wait {option['wait_ms']} ms, "
            f"first token {option['first_token_ms']} ms, total {option['total_ms']} ms, price "
            f"{option['price']}{', prefix cached' if option['is_cached'] else ''}"
            for option in step["options"]
        ]
    return "\n".join(lines)
