"""Route table and relay: forwards HTTP requests from callers to endpoints."""

from __future__ import annotations
