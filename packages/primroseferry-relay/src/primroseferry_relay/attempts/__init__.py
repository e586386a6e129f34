"""Single attempts of a request: the HTTP call, its streamed answer and its outcome."""

from __future__ import annotations
