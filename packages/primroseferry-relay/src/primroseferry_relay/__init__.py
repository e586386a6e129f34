"""The route table and the relay: any HTTP request, from its caller to an endpoint and back."""

from __future__ import annotations
