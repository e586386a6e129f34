"""Which gateways live, and what each tells the others."""

from __future__ import annotations
