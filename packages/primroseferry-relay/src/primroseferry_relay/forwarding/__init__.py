"""Requests that cross from one region to another."""

from __future__ import annotations
