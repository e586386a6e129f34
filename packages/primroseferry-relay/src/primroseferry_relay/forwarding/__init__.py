"""Forwards request attempts between gateways of different regions."""

from __future__ import annotations
