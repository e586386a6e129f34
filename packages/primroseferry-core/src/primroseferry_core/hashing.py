"""Rendezvous hashing: every process picks the same few members without asking anyone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending weight for ``key``.

    A member that joins or leaves moves only the keys that it wins or held.

    >>> rendezvous_order("plans", ["a", "b"]) == rendezvous_order("plans", ["b", "a"])
    True
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()), member


def fingerprint_of(customer: str, target: str, body: bytes) -> str:
    """Return a fingerprint of a request that reveals nothing of its content.

    The same customer sending the same body to the same target gets the same fingerprint.
    """
    hasher = xxhash.xxh3_128(f"{customer}\0{target}\0".encode())
    hasher.update(body)
    return hasher.hexdigest()
