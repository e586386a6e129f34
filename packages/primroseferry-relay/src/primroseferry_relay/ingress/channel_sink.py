"""The events of an attempt on their way into an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answer_channel import ChannelState

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages import AnswerHead
    from .answer_channel import AnswerChannel


class ChannelSink:
    """Passes the events of every attempt of a request on as one stream.

    ``visible_head`` turns the head of the first attempt into the one that goes out.
    """

    def __init__(
        self,
        channel: AnswerChannel,
        visible_head: Callable[[AnswerHead], AnswerHead] = lambda head: head,
    ) -> None:
        self._channel = channel
        self._visible_head = visible_head

    def begin(self, head: AnswerHead) -> bool:
        """Send the head unless an earlier attempt did; ``False`` if the receiver is gone."""
        if self._channel.state is ChannelState.STREAMING:
            return True
        return self._channel.begin_stream(self._visible_head(head))

    def write(self, data: bytes) -> bool:
        """Send whole events; ``False`` if the receiver is gone."""
        return self._channel.write_events(data)
