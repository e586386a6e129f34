"""Limits on clients that send or read outside the documented limits, listed in the settings page.

No client within the documented limits meets them, unless the memory of the instance is used up.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Servers cut off connections that stay unread for some seconds. An event of 1 MiB and a chunk of
# libcurl's still fit into the buffer of a writer beside this.
READ_AHEAD_BYTES = 960 * 1024
# What is read ahead while memory is scarcer than that.
MIN_READ_AHEAD_BYTES = 64 * 1024
# Connections on a slow link pause for less than this.
MIN_STALL_S = 1.0
# Above the time for which a sender may itself wait for memory (``RELEASE_WAIT_S``).
LEAST_MIN_STALL_S = 0.6
MOST_MIN_STALL_S = 60.0
# Two lines for each chunk, which takes some 20 us to parse whatever its size.
MANY_CHUNK_LINES = 1_024
LEAST_MANY_CHUNK_LINES = 128
# A quarter of the lines that one read can have.
MOST_MANY_CHUNK_LINES = 16_384
_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)
_INTEGER = re.compile(r"[0-9]+", re.ASCII)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """The limits in force in a process."""

    read_ahead_bytes: int = READ_AHEAD_BYTES
    min_stall_s: float = MIN_STALL_S
    many_chunk_lines: int = MANY_CHUNK_LINES


DEFAULT_CLIENT_LIMITS = ClientLimits()


@dataclass(frozen=True, slots=True)
class ClientLimit:
    """The name, default, allowed range and meaning of a limit."""

    name: str
    value: float
    minimum: float
    maximum: float
    meaning: str

    @property
    def variable(self) -> str:
        """The environment variable that sets the limit."""
        return f"PRIMROSEFERRY_{self.name}"

    def read(self, environment: Mapping[str, str]) -> float:
        """Return the value that the environment sets, of the type of the default.

        Raises ``ValueError`` for one that is not allowed.
        """
        text = environment.get(self.variable)
        if text is None:
            return self.value
        is_integer = isinstance(self.value, int)
        if (_INTEGER if is_integer else _NUMBER).fullmatch(text):
            value = int(text) if is_integer else float(text)
            if self.minimum <= value <= self.maximum:
                return value
        kind = "an integer" if is_integer else "a number"
        raise ValueError(
            f"{self.variable}={text!r}: expected {kind} from {self.minimum} to {self.maximum}"
        )


CLIENT_LIMITS = (
    ClientLimit(
        "READ_AHEAD_BYTES",
        READ_AHEAD_BYTES,
        MIN_READ_AHEAD_BYTES,
        READ_AHEAD_BYTES,
        "Bytes of a stream that are read ahead of its caller while less than a quarter of the "
        "memory for events is in use.",
    ),
    ClientLimit(
        "MIN_STALL_S",
        MIN_STALL_S,
        LEAST_MIN_STALL_S,
        MOST_MIN_STALL_S,
        "Time without a byte after which a sender is given up if others need the memory of its "
        "body.",
    ),
    ClientLimit(
        "MANY_CHUNK_LINES",
        MANY_CHUNK_LINES,
        LEAST_MANY_CHUNK_LINES,
        MOST_MANY_CHUNK_LINES,
        "Lines in one read of a chunked body above which it is parsed in turn.",
    ),
)


def read_client_limits(environment: Mapping[str, str]) -> ClientLimits:
    """Return the limits that the environment sets.

    Raises ``ValueError`` with the variable, its value and the allowed range for an invalid one.
    """
    read_ahead_bytes, min_stall_s, many_chunk_lines = (
        limit.read(environment) for limit in CLIENT_LIMITS
    )
    return ClientLimits(int(read_ahead_bytes), min_stall_s, int(many_chunk_lines))
