"""Environment variables of a relay gateway; its other settings are in the platform's file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayVariable:
    """A setting of a relay that is read from its environment at the start."""

    name: str
    values: tuple[str, ...]
    default: str
    help: str


LEARNED_CAPACITY = RelayVariable(
    "PRIMROSEFERRY_LEARNED_CAPACITY",
    ("auto", "on", "off"),
    "auto",
    "Whether the speed of endpoints is learned and used: auto for services whose endpoints report "
    "slowdowns, on for all, off for none.",
)
RELAY_VARIABLES = (LEARNED_CAPACITY,)
