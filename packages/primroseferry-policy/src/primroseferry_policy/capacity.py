"""Limits the open requests of each plan to its capacity."""

from __future__ import annotations

import threading
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import problem_error

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseferry_core.ids import PlanId


@dataclass(frozen=True, slots=True)
class CapacityKey:
    """The subject of a limit: the use of one model or service by one plan."""

    plan: PlanId
    target: str


def local_share(total: int, member: int, members: int) -> int:
    """Return the share of ``total`` for the member with index ``member`` of ``members``.

    The shares add up to ``total``, so that the sum stays within it even if the members cannot reach
    each other. Without members the share is ``total``.

    >>> [local_share(5, member, 3) for member in range(3)]
    [2, 2, 1]
    """
    if members <= 0:
        return total
    return total // members + (1 if member < total % members else 0)


class PlanCapacity:
    """The open requests of each plan at one gateway."""

    def __init__(self) -> None:
        self._open: Counter[CapacityKey] = Counter()
        self._lock = threading.Lock()

    @contextmanager
    def hold(self, key: CapacityKey, limit: int) -> Iterator[None]:
        """Count one open request. Raises ``OVER_CAPACITY`` if ``limit`` are open already."""
        with self._lock:
            if self._open[key] >= limit:
                raise problem_error(
                    ErrorKind.OVER_CAPACITY,
                    f"plan {key.plan} already has {limit} open requests for {key.target}, "
                    "its maximum at this gateway; retry later or request a larger plan",
                )
            self._open[key] += 1
        try:
            yield
        finally:
            with self._lock:
                self._open[key] -= 1

    def open_requests(self) -> dict[CapacityKey, int]:
        """Return the open requests by plan and target."""
        with self._lock:
            return {key: count for key, count in self._open.items() if count > 0}
