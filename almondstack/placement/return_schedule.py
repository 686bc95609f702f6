"""Return times of rejected callers, in the order in which their calls came.

Explanation
-----------
Rejected calls of an account form a virtual queue that is served at the rate of the account's
entitlement, as in the virtual scheduling form of the generic cell rate algorithm (ITU-T I.371).
Return times are whole seconds from the call, the form of ``Retry-After`` (RFC 9110, section
10.2.3).
"""

import math
from typing import NamedTuple

from almondstack.placement.admission import Decision, RejectionReason

__all__ = ["ReturnSchedule"]

_MAX_ACCOUNTS = 256
_MAX_RETURNS = 128
"""Reservations of one account; later calls get return times without one."""

_MAX_RETRY_S = 60
"""Longest time after which a caller is told to return, in seconds."""

_GRACE_S = 2.0
"""How long a reservation is kept after its return time, in seconds."""

_HELD_S = 1.0
"""Room is held for callers whose return time is at most so far ahead, in seconds: the unit of
return times."""

_MS = 1000.0


class _Return(NamedTuple):
    """Reservation of a caller: its return time in monotonic seconds, and its job's work."""

    due_s: float
    work_ms: float


class _AccountReturns:
    """Reservations of one account, and the end of its virtual queue.

    Attributes
    ----------
    returns : dict of str to _Return
        Reservations by job, in order of their return times; renewed ones come last.
    free_s : float
        Monotonic time at which the account's entitlement is free after the last call.
    last_due_s : float
        Latest return time that was given.
    """

    __slots__ = ("free_s", "last_due_s", "returns")

    def __init__(self) -> None:
        self.returns: dict[str, _Return] = {}
        self.free_s = 0.0
        self.last_due_s = 0.0

    def drop_lapsed(self, now_s: float) -> None:
        """Remove the first reservations whose callers have not returned.

        Explanation
        -----------
        Without reservations the virtual queue is empty.
        """
        while self.returns:
            first = next(iter(self.returns))
            if not _is_lapsed(self.returns[first], now_s):
                return
            del self.returns[first]
        self.free_s = self.last_due_s = now_s

    def take_place(self, job: str, now_s: float) -> _Return | None:
        """Remove and return the reservation of a job, or None if there is none."""
        place = self.returns.pop(job, None)
        return None if place is None or _is_lapsed(place, now_s) else place


def _is_lapsed(place: _Return, now_s: float) -> bool:
    return place.due_s + _GRACE_S < now_s


class ReturnSchedule:
    """Keeps a bounded number of reservations for callers that were told to return.

    Examples
    --------
    >>> schedule = ReturnSchedule()
    >>> rejected = Decision(
    ...     RejectionReason.BEYOND_ENTITLEMENT, 500.0, entitled_millis=1_000.0, work_ms=2_000.0
    ... )
    >>> [schedule.reserve("a", job, rejected, now_s=10.0).retry_s for job in ("1", "2", "3")]
    [1, 3, 5]
    >>> schedule.held_ms("a", "2", now_s=13.0), schedule.held_ms("a", "new", now_s=13.0)
    (0.0, 4000.0)
    """

    __slots__ = ("_accounts",)

    def __init__(self) -> None:
        self._accounts: dict[str, _AccountReturns] = {}

    def held_ms(self, account: str, job: str, now_s: float) -> float:
        """Return the work for which room is held against a call, in milliseconds of one core.

        Explanation
        -----------
        A caller that comes back when told gives way to nobody, any other to those that are due
        within a second or came late by less than the grace.
        """
        found = self._accounts.get(account)
        if found is None:
            return 0.0
        found.drop_lapsed(now_s)
        own = found.returns.get(job)
        if own is not None and own.due_s <= now_s and not _is_lapsed(own, now_s):
            return 0.0
        first_s, last_s = now_s - _GRACE_S, now_s + _HELD_S
        due = (
            item.work_ms
            for name, item in found.returns.items()
            if first_s <= item.due_s <= last_s and name != job
        )
        return sum(due)

    def release(self, account: str, job: str) -> None:
        """Remove the reservation of a job that is accepted."""
        found = self._accounts.get(account)
        if found is not None:
            found.returns.pop(job, None)

    def reserve(self, account: str, job: str, decision: Decision, now_s: float) -> Decision:
        """Return a rejection with its return time, and keep a reservation for it.

        Explanation
        -----------
        A caller that returns early keeps its place.  A later call is told to return no earlier
        than all before it, and after the time that the account's entitlement takes for theirs.
        Only calls that wait for their account's own queue get a place.
        """
        if decision.reason is not RejectionReason.BEYOND_ENTITLEMENT:
            return decision
        found = self._account(account)
        found.drop_lapsed(now_s)
        early = found.returns.get(job)
        if early is not None and early.due_s > now_s:
            return decision._replace(retry_s=_retry_s(early.due_s, now_s))
        due_s = now_s + decision.late_ms / _MS
        place = found.take_place(job, now_s)
        if place is None:
            due_s = max(due_s, found.free_s)
            found.free_s = min(due_s + decision.run_ms / _MS, now_s + _MAX_RETRY_S)
            due_s = max(due_s, found.last_due_s)
        retry_s = _retry_s(due_s, now_s)
        found.last_due_s = max(found.last_due_s, now_s + retry_s)
        if len(found.returns) < _MAX_RETURNS:
            found.returns[job] = _Return(now_s + retry_s, decision.work_ms)
        return decision._replace(retry_s=retry_s)

    def _account(self, account: str) -> _AccountReturns:
        """Return the reservations of an account, which is then the last to be removed."""
        found = self._accounts.pop(account, None) or _AccountReturns()
        if len(self._accounts) >= _MAX_ACCOUNTS:
            del self._accounts[next(iter(self._accounts))]
        self._accounts[account] = found
        return found


def _retry_s(due_s: float, now_s: float) -> int:
    return min(_MAX_RETRY_S, max(1, math.ceil(due_s - now_s)))
