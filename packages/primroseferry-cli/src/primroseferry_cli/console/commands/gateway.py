"""``primroseferry gateway``."""

from __future__ import annotations

from typing import Annotated

import typer
from primroseferry_core.ids import FailureDomainId
from primroseferry_core.ids import InstanceId
from primroseferry_core.ids import RegionId
from primroseferry_gateway.daemon import run_gateway
from primroseferry_gateway.settings import GatewaySettings
from primroseferry_gateway.settings import SettingError
from primroseferry_gateway.settings import check_settings
from primroseferry_gateway.settings import parse_integer

from primroseferry_cli.console.options import OutputFormat
from primroseferry_cli.console.options import fail


def _option(name: str, help_text: str, metavar: str = "TEXT") -> typer.models.OptionInfo:
    option: typer.models.OptionInfo = typer.Option(
        f"--{name}",
        envvar=f"PRIMROSEFERRY_{name.upper().replace('-', '_')}",
        help=help_text,
        metavar=metavar,
    )
    return option


def _parse_integer(name: str, text: str, minimum: int, maximum: int = 2**31 - 1) -> int:
    return parse_integer(f"PRIMROSEFERRY_{name.upper()}", text, minimum, maximum)


def run(
    instance: Annotated[str, _option("instance", "Name of this instance.")],
    region: Annotated[str, _option("region", "Region of this instance.")],
    failure_domain: Annotated[str, _option("failure-domain", "Failure domain of this instance.")],
    key_value_address: Annotated[
        str, _option("key-value-address", "IP number and port of the key-value service.")
    ],
    directory_address: Annotated[
        str, _option("directory-address", "IP number and port of the instance list.")
    ],
    host: Annotated[str, _option("host", "IP number to listen on.")] = "127.0.0.1",
    port: Annotated[
        str, _option("port", "Port for callers; 0 selects a free one.", "INTEGER")
    ] = "0",
    peer_port: Annotated[
        str, _option("peer-port", "Port for peers; 0 selects a free one.", "INTEGER")
    ] = "0",
    log_level: Annotated[
        str, _option("log-level", "Lowest level that is logged: info, warning or error.")
    ] = "info",
    max_connections: Annotated[
        str, _option("max-connections", "Maximum concurrent connections of callers.", "INTEGER")
    ] = "1024",
    max_head_bytes: Annotated[
        str, _option("max-head-bytes", "Maximum size of a request head.", "INTEGER")
    ] = "32768",
    max_body_bytes: Annotated[
        str, _option("max-body-bytes", "Maximum size of a request body.", "INTEGER")
    ] = "4194304",
    receive_timeout_ms: Annotated[
        str,
        _option("receive-timeout-ms", "Time in which the complete request must arrive.", "INTEGER"),
    ] = "10000",
    default_chat_timeout_ms: Annotated[
        str,
        _option(
            "default-chat-timeout-ms", "Time limit of a chat request that sets none.", "INTEGER"
        ),
    ] = "120000",
    default_service_timeout_ms: Annotated[
        str,
        _option(
            "default-service-timeout-ms", "Time limit of a service call that sets none.", "INTEGER"
        ),
    ] = "15000",
    first_token_timeout_ms: Annotated[
        str,
        _option("first-token-timeout-ms", "Maximum wait for an engine's first token.", "INTEGER"),
    ] = "20000",
    token_gap_timeout_ms: Annotated[
        str, _option("token-gap-timeout-ms", "Maximum gap between two tokens.", "INTEGER")
    ] = "3000",
    drain_timeout_ms: Annotated[
        str, _option("drain-timeout-ms", "Maximum duration of a graceful shutdown.", "INTEGER")
    ] = "60000",
    once_retention_s: Annotated[
        str,
        _option("once-retention-s", "Retention of the answers of at-most-once calls.", "INTEGER"),
    ] = "86400",
    load_poll_ms: Annotated[
        str, _option("load-poll-ms", "Interval between load reports of an endpoint.", "INTEGER")
    ] = "500",
    weight_loads_per_minute: Annotated[
        str,
        _option(
            "weight-loads-per-minute", "Maximum weight loads per minute in this region.", "INTEGER"
        ),
    ] = "6",
    routing_policy: Annotated[
        str, _option("routing-policy", "weighted; other policies are baselines for comparison.")
    ] = "weighted",
) -> None:
    """Run a gateway until SIGTERM; a second signal ends the graceful shutdown early.

    Example: primroseferry gateway --instance dakar-1 --region dakar --failure-domain dakar-a
    --key-value-address 10.0.0.2:8500 --directory-address 10.0.0.3:8501
    """
    try:
        settings = GatewaySettings(
            instance=InstanceId(instance),
            region=RegionId(region),
            failure_domain=FailureDomainId(failure_domain),
            key_value_address=key_value_address,
            directory_address=directory_address,
            host=host,
            port=_parse_integer("port", port, 0, 65535),
            peer_port=_parse_integer("peer_port", peer_port, 0, 65535),
            log_level=log_level,
            max_connections=_parse_integer("max_connections", max_connections, 1),
            max_head_bytes=_parse_integer("max_head_bytes", max_head_bytes, 1024),
            max_body_bytes=_parse_integer("max_body_bytes", max_body_bytes, 1024),
            receive_timeout_ms=_parse_integer("receive_timeout_ms", receive_timeout_ms, 100),
            default_chat_timeout_ms=_parse_integer(
                "default_chat_timeout_ms", default_chat_timeout_ms, 100
            ),
            default_service_timeout_ms=_parse_integer(
                "default_service_timeout_ms", default_service_timeout_ms, 100
            ),
            first_token_timeout_ms=_parse_integer(
                "first_token_timeout_ms", first_token_timeout_ms, 100
            ),
            token_gap_timeout_ms=_parse_integer("token_gap_timeout_ms", token_gap_timeout_ms, 100),
            drain_timeout_ms=_parse_integer("drain_timeout_ms", drain_timeout_ms, 100),
            once_retention_s=_parse_integer("once_retention_s", once_retention_s, 60),
            weight_loads_per_minute=_parse_integer(
                "weight_loads_per_minute", weight_loads_per_minute, 1, 6_000
            ),
            routing_policy=routing_policy,
            load_poll_ms=_parse_integer("load_poll_ms", load_poll_ms, 50),
        )
        check_settings(settings)
    except SettingError as error:
        fail(OutputFormat.TEXT, str(error))
    run_gateway(settings)
