"""When rejected callers are told to return.

Answers lasting overload, in which callers that return within a second are rejected again and have
no further try. The units of a quota, or the room of engines, that come free in a second serve only
part of them, so their returns are spread over the time in which all can be served.
"""

from __future__ import annotations

# Bounds of the time to return after a short overload.
MIN_RETURN_S = 0.3
MAX_RETURN_S = 1.5
# Callers wait for at most a third of the time that they have left, however long they are told to.
REMAINING_SHARE = 0.3
# A quota is counted over windows of about this length; nobody is told to wait for longer.
MAX_QUOTA_RETURN_S = 8.0


def latest_return_s(remaining_s: float, yield_factor: float) -> float:
    """Return the latest time at which a request returns that found all engines saturated.

    The lower the yield factor of urgent demand, the longer the shortage has lasted.

    >>> latest_return_s(15.0, yield_factor=1.0), latest_return_s(15.0, yield_factor=0.0)
    (1.5, 4.5)
    """
    longest_s = max(MAX_RETURN_S, remaining_s * REMAINING_SHARE)
    return MAX_RETURN_S + (longest_s - MAX_RETURN_S) * (1.0 - yield_factor)


class QuotaReturns:
    """The time from which a gateway expects units for the next rejected request of a workspace."""

    def __init__(self) -> None:
        self._free_s = float("-inf")

    def reject(self, now_s: float, wait_s: float, cost: float, units_per_s: float) -> float:
        """Return in how many seconds a rejected request is to return.

        ``wait_s`` is when units are expected at all, ``units_per_s`` what this gateway gets.

        >>> returns = QuotaReturns()
        >>> [returns.reject(0.0, 0.1, 50.0, 100.0) for _ in range(3)]
        [0.1, 0.6, 1.1]
        """
        return_s = min(max(self._free_s, now_s + wait_s), now_s + MAX_QUOTA_RETURN_S)
        self._free_s = return_s + (cost / units_per_s if units_per_s > 0 else 0.0)
        return return_s - now_s
