"""Stores claims in the platform's key-value service for the retention period of keys.

All claims that a gateway makes within an hour share one lease that is never renewed. The platform
then removes them together, and the gateways make no calls to renew or delete claims.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseferry_once.claims import ClaimAbsent
from primroseferry_once.claims import ClaimFound
from primroseferry_once.claims import ClaimUnreadable
from primroseferry_once.claims import CreateOutcome
from primroseferry_platform.key_value import Entry
from primroseferry_platform.key_value import WriteFailure
from result import Err
from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_once.claims import ReadOutcome
    from primroseferry_platform.key_value import KeyValueClient

LEASE_REUSE_S = 3_600.0


@dataclass(frozen=True, slots=True)
class _CachedLease:
    lease: str
    reuse_until_s: float


class KeyValueClaims:
    """Creates and reads claims.

    A lease lasts for the retention, the hour in which it is reused and one more hour, so that no
    claim is removed before the end of its retention.
    """

    def __init__(
        self,
        key_value: KeyValueClient,
        retention_s: int,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._key_value = key_value
        self._ttl_ms = int((retention_s + 2 * LEASE_REUSE_S) * 1000)
        self._clock_s = clock_s
        self._cached: _CachedLease | None = None
        self._lock = threading.Lock()

    def create(self, key: str, value: bytes) -> CreateOutcome:
        """Create ``key`` if it is absent, under the current lease."""
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
        """Return the value of ``key``, or whether it is absent or cannot be read."""
        match self._key_value.get(key):
            case Ok(Entry(value=value)):
                return ClaimFound(value)
            case Ok(None):
                return ClaimAbsent()
            case _:
                return ClaimUnreadable()

    def _current_lease(self) -> str | None:
        """Return the lease of the current hour; request one if there is none."""
        with self._lock:
            now_s = self._clock_s()
            if self._cached is not None and now_s < self._cached.reuse_until_s:
                return self._cached.lease
            match self._key_value.grant_lease(self._ttl_ms):
                case Ok(lease):
                    self._cached = _CachedLease(lease, now_s + LEASE_REUSE_S)
                    return lease
                case _:
                    return None
