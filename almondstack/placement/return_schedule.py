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
"""Accounts with reservations; those of the account rejected least recently are dropped first."""

_MAX_RESERVATIONS = 128
"""Bound on the reservations of one account; later calls get return times without one."""

_MAX_RETRY_S = 60
"""Longest time after which a caller is told to return, in seconds."""

_KEPT_AFTER_DUE_S = 2.0
"""How long a reservation is kept after its return time, in seconds."""

_HELD_AHEAD_S = 1.0
"""Room is held for callers whose return time is at most this far ahead, in seconds: return times
are whole seconds."""

_MS_PER_S = 1000.0


class _Reservation(NamedTuple):
    """Reservation of a caller: its return time in monotonic seconds, and its job's work."""

    due_s: float
    work_ms: float


class _AccountReservations:
    """Reservations of one account, and the end of its virtual queue.

    Attributes
    ----------
    reservations : dict of str to _Reservation
        By job, in order of their return times; renewed ones come last.
    queue_end_s : float
        Monotonic time, in seconds, at which the account's entitlement has served the work of all
        rejected calls: the end of the virtual queue.
    last_due_s : float
        Latest return time that was given, in monotonic seconds.
    """

    __slots__ = ("queue_end_s", "last_due_s", "reservations")

    def __init__(self) -> None:
        self.reservations: dict[str, _Reservation] = {}
        self.queue_end_s = 0.0
        self.last_due_s = 0.0

    def drop_lapsed(self, now_s: float) -> None:
        """Remove the first reservations whose callers have not returned.

        Explanation
        -----------
        Once no reservation is left, the virtual queue is empty.
        """
        while self.reservations:
            first = next(iter(self.reservations))
            if not _is_lapsed(self.reservations[first], now_s):
                return
            del self.reservations[first]
        self.queue_end_s = self.last_due_s = now_s

    def enqueue(self, due_s: float, run_s: float, now_s: float) -> float:
        """Add a call to the virtual queue, and return its return time, no earlier than ``due_s``.

        Parameters
        ----------
        due_s : float
            Monotonic time at which the job could be accepted if no other call were before it.
        run_s : float
            Seconds that the account's entitlement takes for its work.
        now_s : float
            Monotonic time in seconds.
        """
        due_s = max(due_s, self.queue_end_s)
        self.queue_end_s = min(due_s + run_s, now_s + _MAX_RETRY_S)
        return max(due_s, self.last_due_s)

    def pop_reservation(self, job: str, now_s: float) -> _Reservation | None:
        """Remove and return the reservation of a job; None if it has none that counts."""
        place = self.reservations.pop(job, None)
        return None if place is None or _is_lapsed(place, now_s) else place


def _is_lapsed(place: _Reservation, now_s: float) -> bool:
    return place.due_s + _KEPT_AFTER_DUE_S < now_s


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
        self._accounts: dict[str, _AccountReservations] = {}

    def held_ms(self, account: str, job: str, now_s: float) -> float:
        """Return the work for which room is held against a call, in milliseconds of one core.

        Explanation
        -----------
        No room is held against a caller that comes back when told.  Against any other, room is
        held for callers that are due within a second, or late by less than the time for which a
        reservation is kept.
        """
        found = self._accounts.get(account)
        if found is None:
            return 0.0
        found.drop_lapsed(now_s)
        own = found.reservations.get(job)
        if own is not None and own.due_s <= now_s and not _is_lapsed(own, now_s):
            return 0.0
        first_s, last_s = now_s - _KEPT_AFTER_DUE_S, now_s + _HELD_AHEAD_S
        return sum(
            place.work_ms
            for other, place in found.reservations.items()
            if first_s <= place.due_s <= last_s and other != job
        )

    def release(self, account: str, job: str) -> None:
        """Remove the reservation of a job that is accepted."""
        found = self._accounts.get(account)
        if found is not None:
            found.reservations.pop(job, None)

    def reserve(self, account: str, job: str, decision: Decision, now_s: float) -> Decision:
        """Return a rejection with its return time, and keep a reservation for it.

        Explanation
        -----------
        A caller that reservations early keeps its place.  A later call is told to return no earlier
        than all before it, and after the time that the account's entitlement takes for theirs.
        Only calls that wait for their account's own queue get a place.
        """
        if decision.reason is not RejectionReason.BEYOND_ENTITLEMENT:
            return decision
        found = self._renewed(account)
        found.drop_lapsed(now_s)
        early = found.reservations.get(job)
        if early is not None and early.due_s > now_s:
            return decision._replace(retry_s=_retry_s(early.due_s, now_s))
        due_s = now_s + decision.late_ms / _MS_PER_S
        if found.pop_reservation(job, now_s) is None:
            # The work of a caller with a reservation is in the queue already.
            due_s = found.enqueue(due_s, decision.run_ms / _MS_PER_S, now_s)
        retry_s = _retry_s(due_s, now_s)
        found.last_due_s = max(found.last_due_s, now_s + retry_s)
        if len(found.reservations) < _MAX_RESERVATIONS:
            found.reservations[job] = _Reservation(now_s + retry_s, decision.work_ms)
        return decision._replace(retry_s=retry_s)

    def _renewed(self, account: str) -> _AccountReservations:
        """Return the reservations of an account, which is then the last to be removed."""
        found = self._accounts.pop(account, None) or _AccountReservations()
        if len(self._accounts) >= _MAX_ACCOUNTS:
            del self._accounts[next(iter(self._accounts))]
        self._accounts[account] = found
        return found


def _retry_s(due_s: float, now_s: float) -> int:
    return min(_MAX_RETRY_S, max(1, math.ceil(due_s - now_s)))
