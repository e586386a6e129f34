"""Holds one stream to the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..endpoints.software_version import UNKNOWN_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..endpoints.software_version import VersionHash


class StreamBinding:
    """The version of a stream that may go on at another endpoint.

    ``version`` is ``None`` until the first event, unless the stream was begun by an earlier
    request. ``on_begin`` is called with the version before the events of an attempt are passed on,
    ``on_complete`` when the last event was.
    """

    def __init__(
        self,
        version: VersionHash | None = None,
        on_begin: Callable[[VersionHash], None] = lambda _version: None,
        on_complete: Callable[[], None] = lambda: None,
    ) -> None:
        self.version = version
        self.complete = on_complete
        self._on_begin = on_begin

    def begin(self, version: VersionHash) -> bool:
        """Return whether the events of an endpoint of ``version`` may be passed on."""
        if self.version is not None and (version != self.version or version == UNKNOWN_VERSION):
            return False
        self.version = version
        self._on_begin(version)
        return True
