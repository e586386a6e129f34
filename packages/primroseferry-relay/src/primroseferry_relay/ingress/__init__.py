"""Ingress: callers' connections, readiness, and the directory of gateways for callers."""

from __future__ import annotations
