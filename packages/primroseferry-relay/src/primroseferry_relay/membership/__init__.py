"""Membership of gateways, and the state that they exchange."""

from __future__ import annotations
