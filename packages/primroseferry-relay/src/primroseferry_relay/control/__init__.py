"""Control state: routes, endpoints and evacuations, updated from the store and from peers."""

from __future__ import annotations
