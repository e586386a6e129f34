"""Claims kept in the platform's key-value service for as long as keys are remembered.

All claims of an hour hang on one lease that is never renewed, so that the platform removes them
together and the fleet spends no calls on it.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_once.claims import Absent
from primroseferry_once.claims import CreateOutcome
from primroseferry_once.claims import Found
from primroseferry_once.claims import Unreadable
from primroseferry_platform.key_value import Entry
from primroseferry_platform.key_value import WriteFailure
from result import Err
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_once.claims import ReadOutcome
    from primroseferry_platform.key_value import KeyValueClient

LEASE_USED_S = 3_600.0


@dataclass(frozen=True, slots=True)
class _HeldLease:
    lease: str
    used_until_s: float


class KeyValueClaims:
    """Creates and reads claims.

    A lease outlives the retention by the hour in which it is used and one more, so that a claim is
    never removed before the retention is over.
    """

    def __init__(
        self,
        key_value: KeyValueClient,
        retention_s: int,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._key_value = key_value
        self._ttl_ms = int((retention_s + 2 * LEASE_USED_S) * 1000)
        self._clock_s = clock_s
        self._held: _HeldLease | None = None
        self._lock = threading.Lock()

    def create(self, key: str, value: bytes) -> CreateOutcome:
        """Create ``key`` if it is absent."""
        lease = self._current_lease()
        if lease is None:
            return CreateOutcome.NOT_KNOWN
        match self._key_value.put(key, value, expected_revision=0, lease=lease):
            case Ok(_):
                return CreateOutcome.CREATED
            case Err(WriteFailure.CONFLICT):
                return CreateOutcome.PRESENT
            case _:
                return CreateOutcome.NOT_KNOWN

    def read(self, key: str) -> ReadOutcome:
        """Read ``key``."""
        match self._key_value.get(key):
            case Ok(Entry(value=value)):
                return Found(value)
            case Ok(None):
                return Absent()
            case _:
                return Unreadable()

    def _current_lease(self) -> str | None:
        """Return the lease of this hour, granted on first use."""
        with self._lock:
            now_s = self._clock_s()
            if self._held is not None and now_s < self._held.used_until_s:
                return self._held.lease
            match self._key_value.grant_lease(self._ttl_ms):
                case Ok(lease):
                    self._held = _HeldLease(lease, now_s + LEASE_USED_S)
                    return lease
                case _:
                    return None
