"""Which endpoints there are and which may be given work."""

from __future__ import annotations
