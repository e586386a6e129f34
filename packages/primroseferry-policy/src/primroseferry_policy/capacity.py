"""Each plan's open requests against its capacity."""

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
    """What is limited: one plan's use of one model or service."""

    plan: PlanId
    target: str


def local_share(total: int, member: int, members: int) -> int:
    """Return the part of ``total`` that the ``member``-th of ``members`` may use.

    The parts add up to ``total``, so that no cut between the members lets the sum run past it.

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
        """Count one open request. Raises ``OVER_CAPACITY`` where ``limit`` are open already."""
        with self._lock:
            if self._open[key] >= limit:
                raise problem_error(
                    ErrorKind.OVER_CAPACITY,
                    f"plan {key.plan} has {limit} requests open for {key.target} at this gateway, "
                    "its whole share; come back later or ask for a larger plan",
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
