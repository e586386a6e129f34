"""The known endpoints, and which of them may receive requests."""

from __future__ import annotations
