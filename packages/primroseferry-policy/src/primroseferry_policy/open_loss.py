"""A lost attempt without a proved cause, as an observation that gateways exchange."""

from __future__ import annotations

from dataclasses import dataclass

_LOST = "lost"
_LOST_AMID = "lost-amid"
_RUN_SEPARATOR = "/"


@dataclass(frozen=True, slots=True)
class OpenLoss:
    """A loss that is a crash if the endpoint's run turns out to have ended.

    ``crash`` is the id that the crash will have. ``observation`` is the broken connection that the
    crash will replace, or empty. ``has_begun``: the answer had begun.
    """

    crash: str
    observation: str = ""
    has_begun: bool = False

    @property
    def id(self) -> str:
        """The loss as it is exchanged and stored.

        >>> OpenLoss("engine-1/7@100", "ab@100").id
        'lost:ab@100:engine-1/7@100'
        """
        return f"{_LOST_AMID if self.has_begun else _LOST}:{self.observation}:{self.crash}"

    @property
    def run(self) -> str:
        """The endpoint, with the start time of its run if that is known."""
        return self.crash.rpartition("@")[0]

    @property
    def endpoint(self) -> str:
        """The id of the endpoint."""
        source, separator, _ = self.run.rpartition(_RUN_SEPARATOR)
        return source if separator else self.run

    @property
    def at_s(self) -> int:
        """The wall-clock second of the loss, 0 if it is invalid."""
        second = self.crash.rpartition("@")[2]
        return int(second) if second.isdecimal() else 0


def parse_open_loss(loss: str) -> OpenLoss | None:
    """Reverse :attr:`OpenLoss.id`; return ``None`` for what is no open loss.

    >>> parse_open_loss("lost:ab@100:engine-1/7@100")
    OpenLoss(crash='engine-1/7@100', observation='ab@100', has_begun=False)
    """
    kind, _, rest = loss.partition(":")
    observation, separator, crash = rest.partition(":")
    if kind not in (_LOST, _LOST_AMID) or not separator or "@" not in crash:
        return None
    return OpenLoss(crash, observation, kind == _LOST_AMID)
