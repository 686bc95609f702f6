"""The sessions of all workers, reconciled with the registered workers."""

import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from almondstack.control.current_runs import is_other_incarnation
from almondstack.control.lease import longest_lease_s
from almondstack.control.runs import RunTable
from almondstack.control.sent_calls import MAX_CALL_DELAY_S, SentCalls, longest_hold_s
from almondstack.control.services import OwnerServices
from almondstack.control.session import WorkerSession
from almondstack.placement import Worker, WorkerInfo
from almondstack.placement.unreachable import find_unreachable

__all__ = ["WorkerChanges", "SessionTable"]

_UNREACHABLE_PAUSE_S = 3.0
"""Time without new runs for a worker whose runs were lost because it did not answer, in
seconds; a crashed worker stays registered for a few seconds."""

_MAX_LEFT_WORKERS = 64
"""Workers without a session of which the deadlines sent are kept without a look."""

_RESTART_NOTICE_S = 4.0
"""Time after a worker's start in which an owner may still send deadlines to its former life, in
seconds: the time-out of a poll, and the difference between the clocks of two instances."""

_MAX_LOGGED_WORKERS = 20
"""Workers in one event."""

_MAX_PROBES_PER_RACK = 2
"""Number of idle workers that are polled in each unreachable rack; each poll costs money."""


class WorkerChanges(NamedTuple):
    """Changes among the registered workers.

    Explanation
    -----------
    ``restarted`` are ids of workers with a new life, and ``added`` the workers that get a session.
    ``awaiting`` are lives that calls for a former one may reach: they are added once the owner has
    a higher token.
    """

    restarted: list[WorkerInfo]
    added: list[Worker]
    awaiting: list[WorkerInfo]


class SessionTable:
    """Holds a session for each worker that is registered or still has runs.

    Parameters
    ----------
    services : OwnerServices
        Directory, callers and settings.
    token : int
        The owner's fencing token.
    post : callable
        Takes the events that sessions post.
    may_extend : callable
        Returns whether the owner may still extend leases.
    previous_extension_s : float
        Monotonic time until which a previous owner may have extended leases, in
        seconds.
    """

    __slots__ = (
        "_calls",
        "_former_lives",
        "_may_extend",
        "_post",
        "_previous_extension_s",
        "_reconciled_s",
        "_services",
        "_sessions",
        "_token",
    )

    def __init__(
        self,
        services: OwnerServices,
        token: int,
        post: Callable[[object], None],
        may_extend: Callable[[], bool],
        previous_extension_s: float,
    ) -> None:
        self._services = services
        self._token = token
        self._post = post
        self._may_extend = may_extend
        self._previous_extension_s = previous_extension_s
        self._sessions: dict[str, WorkerSession] = {}
        self._former_lives: dict[str, set[int]] = {}
        self._calls: dict[str, SentCalls] = {}
        self._reconciled_s = 0.0

    def get(self, worker: str) -> WorkerSession | None:
        """Return the session of a worker, or None."""
        return self._sessions.get(worker)

    def is_current(self, worker: WorkerInfo) -> bool:
        """Whether the session of that worker was opened for this description of it."""
        session = self._sessions.get(worker.id)
        return session is not None and session.worker is worker

    def drop(self, worker: str) -> None:
        """Close the session of a removed worker."""
        session = self._sessions.pop(worker, None)
        if session is not None:
            session.close()

    def use_token(self, token: int) -> None:
        """Use a token of this owner in the sessions that are opened from now on.

        Explanation
        -----------
        The open ones keep theirs: of two calls under way to one worker the one with the lower
        token could arrive last, and would be refused.
        """
        self._token = token

    def drop_restarted(self, worker: str, life: int) -> None:
        """Close the session of a worker of which another incarnation has answered.

        Explanation
        -----------
        Until that incarnation has registered, the registration belongs to a former
        one and is ignored.  Lives are not compared by their start times, as the clock of an
        instance may be set back.
        """
        session = self._sessions.get(worker)
        registered = self._services.directory.workers().get(worker)
        # An entry that is neither of this session's life nor of that one may be of a later one.
        former = session.worker if session is not None else registered
        if former is not None and former.life != life:
            self._note_former_life(worker, former.life)
        self._former_lives.get(worker, set()).discard(life)
        self.drop(worker)

    def _note_former_life(self, worker: str, life: int) -> None:
        self._former_lives.setdefault(worker, set()).add(life)

    def acknowledge(self, ends: dict[str, int]) -> None:
        """Acknowledge ended runs that are stored, up to a number for each worker."""
        acknowledged: dict[str, tuple[int, int]] = {}
        for worker, number in ends.items():
            session = self._sessions.get(worker)
            if session is not None:
                session.acknowledge(number)
                acknowledged[worker] = (session.worker.life, number)
        if acknowledged:
            # One line for all workers of a round: nearly each round has some.
            listed = dict(list(acknowledged.items())[:_MAX_LOGGED_WORKERS])
            self._services.events.write(
                "ends-acknowledged", up_to=listed, workers=len(acknowledged)
            )

    def close(self) -> None:
        """Close all sessions."""
        for session in self._sessions.values():
            session.close()
        self._sessions.clear()

    def reconcile(self, table: RunTable, now_s: float) -> WorkerChanges:
        """Open sessions for new workers, drop unregistered ones, and return the changes."""
        changes = WorkerChanges([], [], [])
        if now_s - self._reconciled_s < self._services.control.directory_interval_s:
            return changes
        self._reconciled_s = now_s
        registered = self._services.directory.workers()
        for info in registered.values():
            if info.life not in self._former_lives.get(info.id, ()):
                self._reconcile_worker(table, info, now_s, changes)
        for worker in list(table.workers.values()):
            if worker.id not in registered:
                self._remove_unregistered(table, worker)
        self._forget_sent_calls(now_s)
        if changes.awaiting:
            # They are added with the next round, whose session has the next token.
            self._reconciled_s = 0.0
        return changes

    def unreachable(self, table: RunTable) -> Iterator[tuple[str, WorkerSession]]:
        """Iterate over the unreachable workers, with their sessions."""
        for worker_id, session in list(self._sessions.items()):
            worker = table.workers.get(worker_id)
            if worker is not None and not worker.is_reachable:
                yield worker_id, session

    def update_polling(self, table: RunTable, now_s: float) -> None:
        """Poll only workers that may have runs, and add connections for delayed orders.

        Explanation
        -----------
        A worker whose runs were lost because it was unreachable is no longer polled, so
        it gets new runs again after a pause.  In an unreachable zone or rack, a few idle
        workers are polled to detect when it is reachable again.
        """
        probed = self._probed_where_unreachable(table)
        awaited = table.held_tasks.by_worker(now_s)
        for worker_id, session in self._sessions.items():
            worker = table.workers.get(worker_id)
            is_busy = worker is not None and bool(worker.tasks)
            is_watched = worker is not None and bool(worker.former_tasks)
            is_polled = is_busy or is_watched or worker_id in probed or worker_id in awaited
            session.set_busy(is_polled or session.needs_contact(now_s))
            session.add_connection_if_slow(now_s)
            if worker is not None:
                worker.start_room = session.start_room
            if worker is not None and not is_busy and not worker.is_reachable:
                worker.is_reachable = True
                worker.set_aside_until_s = now_s + _UNREACHABLE_PAUSE_S

    def _probed_where_unreachable(self, table: RunTable) -> set[str]:
        """Return the idle workers to poll, a few of each unreachable rack."""
        unreachable = find_unreachable(table.workers.values())
        idle_workers: dict[tuple[str, str], list[str]] = {}
        for worker in table.workers.values():
            place = (worker.info.zone, worker.info.rack)
            if unreachable.covers(*place) and not worker.tasks:
                idle_workers.setdefault(place, []).append(worker.id)
        return {
            worker
            for idle in idle_workers.values()
            for worker in sorted(idle)[:_MAX_PROBES_PER_RACK]
        }

    def _reconcile_worker(
        self, table: RunTable, info: WorkerInfo, now_s: float, changes: WorkerChanges
    ) -> None:
        known = table.workers.get(info.id)
        if known is not None and not is_other_incarnation(known.info, info):
            known.refresh(info)
            return
        if known is not None:
            changes.restarted.append(info)
            if known.info.life != info.life:
                self._note_former_life(info.id, known.info.life)
            self.drop(info.id)
            del table.workers[info.id]
        if self._calls_of(info.id).needs_higher_token(info.life, self._token, now_s):
            changes.awaiting.append(info)
            return
        self._add_worker(info, changes)

    def _add_worker(self, info: WorkerInfo, changes: WorkerChanges) -> None:
        """Open a session for a life that no call for a former one with its token may reach."""
        worker = Worker(info)
        settled_s = self._calls_of(info.id).settled_s(info.life)
        worker.unsettled_until_s = settled_s
        changes.added.append(worker)
        former_until_s = self._former_until_s(info.id, info.life)
        self._sessions[info.id] = WorkerSession(
            info,
            self._services.callers,
            self._token,
            self._services.control,
            self._post,
            self._may_extend,
            self._services.metrics,
            self._previous_extension_s,
            self._calls_of(info.id),
            former_until_s,
            max(settled_s, former_until_s or 0.0),
        )

    def lease_end_s(self, worker: str, life: int) -> float:
        """Return until when a lease on a worker without a session may last, in monotonic seconds.

        Explanation
        -----------
        Counts the calls of the previous owner, and those of this one for other lives of the
        worker; calls for the given life end with the session that made them.
        """
        control = self._services.control
        end_s = self._previous_extension_s + longest_lease_s(control)
        former_until_s = self._former_until_s(worker, life)
        if former_until_s is not None:
            end_s = max(end_s, former_until_s + longest_hold_s(control))
        return max(end_s, self._calls_of(worker).end_s(life))

    def _calls_of(self, worker: str) -> SentCalls:
        """Return what was sent to all lives of a worker."""
        found = self._calls.get(worker)
        if found is None:
            found = self._calls[worker] = SentCalls(self._services.control)
        return found

    def _forget_sent_calls(self, now_s: float) -> None:
        """Forget what was sent to workers that have left, once most of it is theirs."""
        if len(self._calls) <= 2 * len(self._sessions) + _MAX_LEFT_WORKERS:
            return
        for worker in self._calls.keys() - self._sessions.keys():
            if self._calls[worker].is_over(now_s):
                del self._calls[worker]
                self._former_lives.pop(worker, None)

    def _former_until_s(self, worker: str, life: int) -> float | None:
        """Return until when a life may take a deadline that a previous owner sent to another one.

        Explanation
        -----------
        None if the life is too old for that, or is known to be the worker's first one.
        """
        if not life or not self._services.directory.may_have_restarted(worker, life):
            return None
        born_s = time.monotonic() - (time.time() - life / 1000.0)
        last_sent_s = min(self._previous_extension_s, born_s + _RESTART_NOTICE_S)
        until_s = last_sent_s + MAX_CALL_DELAY_S
        # Later than this, an ordinary lease of the previous owner lasts longer anyway.
        is_young = until_s + longest_hold_s(self._services.control) > self._previous_extension_s
        return until_s if is_young else None

    def _remove_unregistered(self, table: RunTable, worker: Worker) -> None:
        """Drain a worker that is no longer registered, and remove it once it has no runs."""
        if worker.tasks:
            worker.info.is_draining = True
            return
        del table.workers[worker.id]
        self.drop(worker.id)
