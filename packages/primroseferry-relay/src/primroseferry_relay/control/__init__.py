"""Routes, endpoints and evacuations, kept up to date from the store and from peers."""

from __future__ import annotations
