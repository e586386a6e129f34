"""Registers this gateway in the store under one leased key, so that other gateways can find it.

Only the few gateways that watch the store register. A gateway that can reach none of its seeds
finds a registered gateway there and learns of all others from it.
"""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from primroseferry_core.vital_thread import VitalThread
from result import Err
from result import Ok

from .metadata_store import StoreFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseferry_core.ids import InstanceId

    from .metadata_store import LeaseId
    from .metadata_store import MetadataStore

GATEWAY_PREFIX = "gateways/"
LEASE_MS = 20_000
RENEW_S = 6.0
RETRY_S = 2.0
# Long enough to receive the other gateways' reports, which decide the gateways that register.
INITIAL_WAIT_S = 1.0
DUTY_CHECK_S = 2.0


class Registration:
    """Keeps the key registered on a thread of its own until stopped."""

    def __init__(
        self,
        store: MetadataStore,
        instance: InstanceId,
        report_address: str,
        is_on_duty: Callable[[], bool],
    ) -> None:
        self._is_on_duty = is_on_duty
        self._store = store
        self._key = f"{GATEWAY_PREFIX}{instance}"
        self._value = report_address.encode()
        self._lease: LeaseId | None = None
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._random = random.Random()
        self._thread = VitalThread("registration", self._run)

    def start(self) -> None:
        """Start the thread that registers the key and renews its lease."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and end the lease, which removes the key. Waits for the store."""
        self._stopping.set()
        self._end_lease()

    def _end_lease(self) -> None:
        with self._lock:
            lease, self._lease = self._lease, None
        if lease is None:
            return
        match self._store.end_lease(lease):
            case Err(failure):
                log_event(Event.REGISTRATION_FAILED, reason=failure.value)

    def _run(self) -> None:
        wait_s = INITIAL_WAIT_S
        while not self._stopping.wait(wait_s):
            if self._lease is None and not self._is_on_duty():
                wait_s = DUTY_CHECK_S
                continue
            try:
                failure = self._renew() if self._lease is not None else self._register()
            except Exception as error:
                log_event(
                    Event.BACKGROUND_TASK_FAILED, task="registration", error=repr(error)[:300]
                )
                failure = StoreFailure.UNKNOWN
            if failure is not None:
                log_event(Event.REGISTRATION_FAILED, reason=failure.value)
            if self._stopping.is_set():
                # The lease may have been granted while the gateway stopped.
                self._end_lease()
                return
            base_s = RENEW_S if failure is None else RETRY_S
            wait_s = base_s * self._random.uniform(0.8, 1.2)

    def _register(self) -> StoreFailure | None:
        match self._store.grant_lease(LEASE_MS):
            case Ok(lease):
                match self._store.put(self._key, self._value, lease):
                    case Ok(_):
                        self._lease = lease
                        return None
                    case Err(failure):
                        return failure
            case Err(failure):
                return failure

    def _renew(self) -> StoreFailure | None:
        lease = self._lease
        if lease is None:
            return None
        match self._store.renew_lease(lease):
            case Ok(_):
                return None
            case Err(failure):
                if failure is StoreFailure.NO_LEASE:
                    self._lease = None
                return failure
