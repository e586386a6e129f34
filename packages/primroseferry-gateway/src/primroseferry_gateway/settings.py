"""The settings of a gateway, validated before it starts."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.errors import PrimroseferryError

if TYPE_CHECKING:
    from primroseferry_core.ids import FailureDomainId
    from primroseferry_core.ids import InstanceId
    from primroseferry_core.ids import RegionId
from primroseferry_policy.routing_policy import ROUTING_POLICIES

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
LOG_LEVELS = ("info", "warning", "error")


class SettingError(PrimroseferryError):
    """A setting has an invalid value. ``allowed`` describes the valid ones."""

    def __init__(self, variable: str, value: str, allowed: str) -> None:
        super().__init__(f"{variable}={value!r}: expected {allowed}")
        self.variable = variable
        self.value = value
        self.allowed = allowed


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings of one gateway; ``docs/SETTINGS.md`` lists the flags and variables."""

    instance: InstanceId
    region: RegionId
    failure_domain: FailureDomainId
    key_value_address: str
    directory_address: str
    host: str = "127.0.0.1"
    port: int = 0
    peer_port: int = 0
    log_level: str = "info"
    max_connections: int = 1_024
    max_head_bytes: int = 32_768
    max_body_bytes: int = 4_194_304
    receive_timeout_ms: int = 10_000
    default_chat_timeout_ms: int = 120_000
    default_service_timeout_ms: int = 15_000
    first_token_timeout_ms: int = 20_000
    token_gap_timeout_ms: int = 3_000
    drain_timeout_ms: int = 60_000
    once_retention_s: int = 86_400
    load_poll_ms: int = 500
    weight_loads_per_minute: int = 6
    routing_policy: str = "weighted"


def check_settings(settings: GatewaySettings) -> GatewaySettings:
    """Return ``settings`` unchanged. Raises :class:`SettingError` for the first invalid one."""
    _check_name("PRIMROSEFERRY_INSTANCE", settings.instance)
    _check_name("PRIMROSEFERRY_REGION", settings.region)
    _check_name("PRIMROSEFERRY_FAILURE_DOMAIN", settings.failure_domain)
    _check_address("PRIMROSEFERRY_KEY_VALUE_ADDRESS", settings.key_value_address)
    _check_address("PRIMROSEFERRY_DIRECTORY_ADDRESS", settings.directory_address)
    _check_ip("PRIMROSEFERRY_HOST", settings.host)
    _check_choice("PRIMROSEFERRY_LOG_LEVEL", settings.log_level, LOG_LEVELS)
    policies = tuple(ROUTING_POLICIES)
    _check_choice("PRIMROSEFERRY_ROUTING_POLICY", settings.routing_policy, policies)
    return settings


def _check_choice(variable: str, value: str, choices: tuple[str, ...]) -> None:
    if value not in choices:
        raise SettingError(variable, value, f"one of {', '.join(choices)}")


def parse_integer(variable: str, text: str, minimum: int, maximum: int) -> int:
    """Parse an integer setting. Raises :class:`SettingError` for any other value."""
    allowed = f"a whole number from {minimum} to {maximum}"
    try:
        value = int(text)
    except ValueError:
        raise SettingError(variable, text, allowed) from None
    if not minimum <= value <= maximum:
        raise SettingError(variable, text, allowed)
    return value


def _check_name(variable: str, value: str) -> None:
    if not _NAME.fullmatch(value):
        raise SettingError(variable, value, "1 to 64 letters, digits or . _ -")


def _check_ip(variable: str, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise SettingError(variable, value, "an IP number such as 10.0.0.7") from None


def _check_address(variable: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    allowed = "an IP number and a port such as 10.0.0.7:8500"
    if not port.isdecimal() or not 1 <= int(port) <= 65_535:
        raise SettingError(variable, value, allowed)
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingError(variable, value, allowed) from None
