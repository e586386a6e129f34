"""The route table."""

from __future__ import annotations
