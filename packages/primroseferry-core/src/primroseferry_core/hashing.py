"""Rendezvous hashing and request fingerprints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending weight for ``key``.

    Every process computes the same order without coordination. When a member joins or leaves, only
    the keys that are or were assigned to it move.

    >>> rendezvous_order("plans", ["a", "b"]) == rendezvous_order("plans", ["b", "a"])
    True
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def _weight(key: str, member: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()), member


def request_fingerprint(customer: str, target: str, body: bytes) -> str:
    """Return a 128-bit hash of a request in hexadecimal, which does not reveal its content.

    Requests of one customer with the same target and the same body have the same fingerprint.
    """
    hasher = xxhash.xxh3_128(f"{customer}\0{target}\0".encode())
    hasher.update(body)
    return hasher.hexdigest()
