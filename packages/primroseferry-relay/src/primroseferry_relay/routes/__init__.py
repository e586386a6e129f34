"""Routes, services and the route table."""

from __future__ import annotations
