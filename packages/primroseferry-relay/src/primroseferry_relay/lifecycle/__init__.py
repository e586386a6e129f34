"""Settings, start and stop."""

from __future__ import annotations
