"""Which software version began a stream, and where the stream may go on."""

from __future__ import annotations
