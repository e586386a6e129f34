"""One request on one endpoint: what was sent and what came back."""

from __future__ import annotations
