"""Keeps the control state up to date from the store, one thread for each watched prefix."""

from __future__ import annotations

import random
import threading
import time
from enum import Enum
from typing import TYPE_CHECKING

from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from result import Err
from result import Ok

from .metadata_store import StoreFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control_state import ControlState
    from .metadata_store import MetadataStore

# A watch is asked anew after this time even without news: a connection that fell silent shows
# within the time in which a change of the routes must be in force.
WATCH_MS = 2_500
FIRST_RETRY_S = 0.15
MAX_RETRY_S = 1.5
# A gateway that holds nothing yet serves nobody, so it asks again sooner.
MAX_EMPTY_RETRY_S = 0.5
# How often a gateway that waits at its start looks whether another one told it what is there.
START_CHECK_S = 0.02
# How long the help of a peer is waited for: a fetch from another region, and a second one.
MAX_HELPED_S = 1.0
# How often a gateway that leaves watching to its peers looks whether it is needed.
DUTY_CHECK_S = 0.5
# An outage shorter than this cannot have let entries lapse.
OUTAGE_S = 1.0


class StartRole(Enum):
    """How long a gateway waits before its first listing, as bounds in seconds of a random time.

    In a fleet that starts for the first time, callers come later, and those that the others ask
    list for all. After a restart each moment without routes is one of an outage.
    """

    AT_ONCE = (0.0, 0.15)
    FIRST_START = (0.8, 1.6)


class StoreWatch:
    """Lists a prefix, then watches it, for as long as the process runs."""

    def __init__(
        self,
        store: MetadataStore,
        state: ControlState,
        prefix: str,
        on_return: Callable[[], None],
        is_on_duty: Callable[[], bool],
        role: StartRole = StartRole.AT_ONCE,
        is_helped: Callable[[], bool] = lambda: False,
    ) -> None:
        """``is_helped``: a peer is known that holds items, so that they are fetched from it."""
        self._store = store
        self._state = state
        self._prefix = prefix
        self._on_return = on_return
        self._is_on_duty = is_on_duty
        self._role = role
        self._is_helped = is_helped
        self._random = random.Random()
        self._retry_s = FIRST_RETRY_S
        self._started_s = time.monotonic()
        self._answered_s: float | None = None
        self._is_lost = False
        self._is_open = True
        self._thread = threading.Thread(target=self._run, name=f"watch-{prefix}", daemon=True)

    @property
    def age_ms(self) -> float:
        """How long ago the store last answered this gateway, infinite if it never did."""
        if self._answered_s is None:
            return float("inf")
        return (time.monotonic() - self._answered_s) * 1000

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop with the next answer."""
        self._is_open = False

    def _run(self) -> None:
        after: int | None = None
        self._wait_for_others()
        while self._is_open:
            if not self._is_on_duty():
                time.sleep(DUTY_CHECK_S)
                continue
            try:
                after = self._list() if after is None else self._watch(after)
            except Exception as error:
                # A gateway without this thread would never hear of a change.
                log_event(Event.BACKGROUND_FAILED, task="store watch", error=repr(error)[:300])
                after = None
                time.sleep(MAX_EMPTY_RETRY_S)

    def _wait_for_others(self) -> None:
        """Leave the first listing to others, where there are some."""
        until_s = self._started_s + self._random.uniform(*self._role.value)
        helped_until_s = self._started_s + MAX_HELPED_S
        while self._state.revision == 0:
            limit_s = max(until_s, helped_until_s) if self._is_helped() else until_s
            if time.monotonic() >= limit_s:
                return
            time.sleep(START_CHECK_S)

    def _list(self) -> int | None:
        match self._store.list_items(self._prefix):
            case Ok(listing):
                self._note_answer()
                self._state.apply_listing(self._prefix, listing.items, listing.as_of)
                return listing.as_of
            case Err(failure):
                self._note_failure(failure)
                return None

    def _watch(self, after: int) -> int | None:
        match self._store.watch(self._prefix, after, WATCH_MS):
            case Ok(changes):
                self._note_answer()
                for item in changes.items:
                    self._state.apply(item)
                return max(after, changes.as_of)
            case Err(StoreFailure.HISTORY_LOST):
                self._note_answer()
                log_event(Event.STORE_HISTORY_LOST, prefix=self._prefix, after=after)
                return None
            case Err(failure):
                self._note_failure(failure)
                return after

    def _note_answer(self) -> None:
        now_s = time.monotonic()
        if self._is_lost:
            outage_s = now_s - (self._answered_s or self._started_s)
            log_event(Event.PLATFORM_RECOVERED, prefix=self._prefix, outage_s=round(outage_s, 2))
            if outage_s >= OUTAGE_S:
                self._on_return()
        self._is_lost = False
        self._answered_s = now_s
        self._retry_s = FIRST_RETRY_S

    def _note_failure(self, failure: StoreFailure) -> None:
        if not self._is_lost:
            log_event(Event.PLATFORM_UNREACHABLE, prefix=self._prefix, reason=failure.value)
        self._is_lost = True
        time.sleep(self._retry_s * self._random.uniform(0.6, 1.4))
        longest_s = MAX_RETRY_S if self._state.revision > 0 else MAX_EMPTY_RETRY_S
        self._retry_s = min(longest_s, self._retry_s * 2)
