"""What gateways tell each other about a run of an endpoint that may have ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .endpoint import EndpointRun


class RunStanding(Enum):
    """What is known of a run; the values are those on the wire.

    ``LOST``: the sender lost a connection to the run, or could not open one. ``UNVERIFIED``: the
    run may have ended, and is being checked. ``VERIFIED``: the endpoint was asked, and answers.
    ``ASKED``: the sender has just started, and asks the receiver to check the run.
    """

    LOST = 1
    UNVERIFIED = 2
    VERIFIED = 3
    ASKED = 4


@dataclass(frozen=True, slots=True)
class RunNotice:
    """The standing of the run that an entry describes.

    ``cold_ms`` is how many ms the endpoint stays cold, by its own answer; 0 unless the run is
    verified. ``reply_to`` is the address to which the outcome of a check is sent, empty for none.
    """

    run: EndpointRun
    standing: RunStanding
    cold_ms: float = 0.0
    reply_to: str = ""
