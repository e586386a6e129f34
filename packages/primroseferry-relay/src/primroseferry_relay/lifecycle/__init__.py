"""Lifecycle of the gateway process: settings, start, stop, metrics and state dump."""

from __future__ import annotations
