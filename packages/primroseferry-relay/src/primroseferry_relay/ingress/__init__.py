"""Callers' connections, readiness, and which gateways a caller may use."""

from __future__ import annotations
