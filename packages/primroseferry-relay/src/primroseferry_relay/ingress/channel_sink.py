"""Passes the events of attempts on to the answer of their request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answer_channel import ChannelState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages import AnswerHead
    from .answer_channel import AnswerChannel


class ChannelSink:
    """Joins the events of all attempts of a request into one stream.

    ``map_head`` converts the head of the first attempt to the head that is sent.
    """

    def __init__(
        self,
        channel: AnswerChannel,
        map_head: Callable[[AnswerHead], AnswerHead] = lambda head: head,
    ) -> None:
        self._channel = channel
        self._map_head = map_head

    def begin(self, head: AnswerHead) -> bool:
        """Send the head unless an earlier attempt did.

        Returns ``False`` if the receiver has disconnected.
        """
        if self._channel.state is ChannelState.STREAMING:
            return True
        return self._channel.begin_stream(self._map_head(head))

    def write(self, data: bytes) -> bool:
        """Send complete events; return ``False`` if the receiver has disconnected."""
        return self._channel.write_events(data)

    @property
    def is_behind(self) -> bool:
        """Whether the receiver has not taken all events yet."""
        return self._channel.is_behind
