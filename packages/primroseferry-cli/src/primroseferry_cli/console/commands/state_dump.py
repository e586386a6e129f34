"""``primroseferry state dump``."""

from __future__ import annotations

import yaml

from primroseferry_cli.console.options import GatewayAddress
from primroseferry_cli.console.options import Output
from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail
from primroseferry_cli.console.options import show
from primroseferry_cli.gateway_client import GatewayError
from primroseferry_cli.gateway_client import fetch_state


def run(gateway_address: GatewayAddress, output: Output = OutputFormat.TEXT) -> None:
    """Print the state of a running gateway.

    Example: primroseferry state dump --gateway-address 10.0.0.7:8080
    """
    try:
        state = fetch_state(gateway_address, "/v1/state")
    except GatewayError as error:
        fail(output, str(error))
    show(output, yaml.safe_dump(state, sort_keys=False).rstrip(), state)
