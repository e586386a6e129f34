"""The doubt about a run of an endpoint that may have ended."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .endpoint import Endpoint
    from .endpoint import EndpointRun

# How long a loss may be past when it becomes known here.
LOSS_DELAY_S = 0.1
# How long the endpoint has to tell its health before an answer to an earlier request counts.
PROOF_DELAY_S = 0.1


@dataclass(slots=True)
class RunDoubt:
    """A run that may have ended, and what is known of it since.

    ``lost_s`` is when the latest loss became known here, ``heard_s`` when the latest loss or notice
    did. ``is_reported``: this gateway has told of its own loss. ``is_start``: no loss is known, but
    this gateway has just started; ``asked_s`` is when it last asked. ``is_announced``: all gateways
    were told, at ``notified_s`` by this one, not only those in ``reporters``. ``checked_s`` is when
    the last check was sent. ``is_unanswered``: the last check that ended got no answer.
    ``answered_s`` is when the endpoint first gave an answer that does not say whether it is cold,
    ``proven_s`` when an answer first proved that the process outlived the loss. ``rank`` is this
    gateway's place in the order of checkers among ``gateways``.
    """

    endpoint: Endpoint
    since_s: float
    lost_s: float
    heard_s: float
    is_reported: bool = False
    is_start: bool = False
    asked_s: float = float("-inf")
    is_announced: bool = False
    notified_s: float = float("-inf")
    reporters: set[str] = field(default_factory=set)
    checked_s: float = float("-inf")
    is_checking: bool = False
    is_unanswered: bool = False
    answered_s: float | None = None
    proven_s: float | None = None
    rank: int = 0
    gateways: int = 1
    ranked_s: float = float("-inf")

    @property
    def run(self) -> EndpointRun:
        """The run that may have ended."""
        return self.endpoint.run

    def note_loss(self, now_s: float) -> None:
        """Record a loss; what the endpoint answered before it no longer counts."""
        self.lost_s = self.heard_s = now_s
        self.answered_s = self.proven_s = None
        self.is_start = False

    def note_announced(self, now_s: float) -> None:
        """Record that another gateway told all that the run is unverified."""
        self.heard_s = now_s
        self.is_announced = True
        self.is_start = False

    def note_answer(self, sent_s: float, now_s: float) -> None:
        """Record an answer to a request that was sent at ``sent_s``."""
        if sent_s <= self.lost_s - LOSS_DELAY_S:
            self.proven_s = self.proven_s or now_s
        else:
            self.answered_s = self.answered_s or now_s

    def is_settled(self, now_s: float, warmup_s: float) -> bool:
        """Whether answers show that the run goes on, or that whatever run answered is warm."""
        if self.proven_s is not None and now_s - self.since_s >= PROOF_DELAY_S:
            return True
        return self.answered_s is not None and now_s - self.answered_s >= warmup_s
