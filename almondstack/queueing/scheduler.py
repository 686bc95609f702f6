"""Scheduler of an entry: admission, ordering and start of calls.

Explanation
-----------
All state is guarded by one lock.  Permits may invoke the listener from any
thread, so the listener never blocks on that lock: it marks the scheduler as
stale, and the thread that holds the lock checks the mark again after releasing
it.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from almondstack.core import Clock, Reason, RequestError
from almondstack.fold import Fold
from almondstack.permits import Permits, ceiling_resource, rate_resource, slots_resource
from almondstack.queueing.placement import Placement
from almondstack.queueing.pool_queue import PoolQueue
from almondstack.queueing.run_times import RunTimes
from almondstack.queueing.schedulable_call import SchedulableCall
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.team_queue import TeamQueue
from almondstack.queueing.usage import FleetUsage
from almondstack.queueing.wait_estimator import WaitEstimator
from almondstack.queueing.waiting import Grant, WaitingCall, WaitingState

__all__ = ["FairScheduler"]


class FairScheduler:
    """Admits calls and decides when and on which upstream each one starts.

    Explanation
    -----------
    :class:`PoolQueue` determines the order of the teams.  A call starts when its team's
    ceiling and an upstream have a free permit; it draws one of each.

    Parameters
    ----------
    settings : QueueingSettings
        Limits and gains.
    fold : Fold
        Current state of teams and rate limits.
    permits : Permits
        Permits of ceilings, slots and rates.
    placement : Placement
        Selects upstreams.
    usage : FleetUsage
        Running calls of other entries.
    clock : Clock
        Time source for waits.
    """

    __slots__ = (
        "_by_id",
        "_clock",
        "_fold",
        "_is_stale",
        "_lock",
        "_permits",
        "_placement",
        "_pools",
        "_run_times",
        "_settings",
        "_usage",
        "_wait_estimator",
    )

    def __init__(
        self,
        settings: QueueingSettings,
        fold: Fold,
        permits: Permits,
        placement: Placement,
        usage: FleetUsage,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._fold = fold
        self._permits = permits
        self._placement = placement
        self._usage = usage
        self._clock = clock
        self._run_times = RunTimes()
        self._wait_estimator = WaitEstimator(settings, self._run_times)
        self._pools: dict[str, PoolQueue] = {}
        self._by_id: dict[str, WaitingCall] = {}
        self._lock = threading.Lock()
        self._is_stale = False
        permits.add_listener(self.start_ready)

    @property
    def run_times(self) -> RunTimes:
        """Observed run times by queue."""
        return self._run_times

    def waiting_count(self, pool: str) -> int:
        """Return how many calls of ``pool`` wait."""
        found = self._pools.get(pool)
        return found.waiting_count if found else 0

    def running_count(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` this entry runs in ``pool``."""
        found = self._pools.get(pool)
        queue = found.teams.get(team) if found else None
        return queue.running if queue is not None else 0

    def running_counts(self) -> dict[tuple[str, str], int]:
        """Return the running calls by pool and team, to be sent to other entries."""
        with self._locked():
            return {
                (pool.pool, name): queue.running
                for pool in self._pools.values()
                for name, queue in pool.teams.items()
                if queue.running
            }

    def admit(self, call: SchedulableCall) -> WaitingCall:
        """Admit and enqueue ``call``, and start it immediately if possible.

        Raises
        ------
        RequestError
            The call is rejected; it has not run.
        """
        if call.team.ceiling == 0:
            raise RequestError(Reason.CEILING_ZERO)
        now_s = self._clock.monotonic()
        with self._locked():
            pool = self._pool(call.pool)
            queue = pool.team_queue(call.team)
            self._check_bounds(call, pool, queue)
            self._check_wait(call, pool, queue, now_s)
            self._check_rate(call)
            latest_s = self._wait_estimator.latest_start_s(call, now_s)
            item = WaitingCall(call, now_s, latest_s, queue)
            self._insert(pool, queue, item)
            self._start_waiting(pool, now_s)
        return item

    def requeue(self, item: WaitingCall, avoid: frozenset[str]) -> None:
        """Enqueue a paused call before the others of its team, for a retry."""
        now_s = self._clock.monotonic()
        with self._locked():
            if item.state is not WaitingState.PAUSED:
                return
            item.avoid = avoid
            item.state = WaitingState.WAITING
            pool = self._pool(item.call.pool)
            queue = pool.team_queue(item.call.team)
            queue.add(item, at_front=True)
            pool.waiting_count += 1
            self._start_waiting(pool, now_s)

    def cancel(self, call_id: str) -> bool:
        """Cancel a call that has not started; return True if it was cancelled."""
        reason = Reason.CANCELLED
        with self._locked():
            item = self._by_id.get(call_id)
            if item is None or item.has_started:
                return False
            return self._end(item, reason)

    def abandon(self, call_id: str) -> bool:
        """End a waiting call whose caller disconnected; return False if it does not wait."""
        with self._locked():
            item = self._by_id.get(call_id)
            return item is not None and self._end(item, Reason.CALLER_GONE)

    def end(self, item: WaitingCall, reason: Reason) -> bool:
        """End a call that waits for a start or a retry; return False if it does not wait."""
        with self._locked():
            return self._end(item, reason)

    def finish(self, grant: Grant, run_time_s: float | None = None) -> None:
        """Return the permits of a grant, once the work has certainly ended.

        Parameters
        ----------
        grant : Grant
            The grant; finishing it again has no effect.
        run_time_s : float, optional
            Run time to add to the estimates, in seconds.
        """
        with self._locked():
            if grant.is_finished:
                return
            grant.is_finished = True
            self._pool(grant.waiting.call.pool).update(self._clock.monotonic())
            grant.team_queue.running -= 1
            if grant.waiting.grant is grant:
                self._close(grant.waiting)
            if run_time_s is not None:
                self._record_run_time(grant.waiting.call, run_time_s)
        self._permits.release(grant.resources)

    def suspend(self, grant: Grant, has_started: bool) -> None:
        """Detach a call from its grant, whose permits stay in use, until the retry.

        Parameters
        ----------
        grant : Grant
            The grant of the failed attempt.
        has_started : bool
            True if the work may have begun; such a call cannot be cancelled.
        """
        with self._locked():
            item = grant.waiting
            item.state = WaitingState.PAUSED
            item.has_started = item.has_started or has_started
            item.grant = None
            item.reset_wake()

    def drop(self, item: WaitingCall) -> None:
        """Remove a call whose caller's thread ends with an error."""
        with self._locked():
            self._remove(item)
            self._close(item)

    def start_ready(self) -> None:
        """Start waiting calls that can start; never blocks on another thread."""
        self._is_stale = True
        self._refresh()

    def _refresh(self) -> None:
        while self._is_stale:
            if not self._lock.acquire(blocking=False):
                return
            try:
                self._is_stale = False
                now_s = self._clock.monotonic()
                for pool in self._pools.values():
                    self._start_waiting(pool, now_s)
            finally:
                self._lock.release()

    @contextmanager
    def _locked(self) -> Iterator[None]:
        with self._lock:
            yield
        if self._is_stale:
            self._refresh()

    def _pool(self, name: str) -> PoolQueue:
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = PoolQueue(name, self._settings, self._usage)
        return found

    def _check_bounds(self, call: SchedulableCall, pool: PoolQueue, queue: TeamQueue) -> None:
        if call.call_id in self._by_id:
            raise RequestError(Reason.ID_CLAIMED)
        if pool.waiting_count >= self._settings.max_waiting:
            raise RequestError(Reason.QUEUE_FULL)
        if len(queue) >= self._settings.max_waiting_per_team:
            raise RequestError(Reason.TEAM_QUEUE_FULL)
        in_queue = sum(item.waiting_by_queue[call.queue.name] for item in pool.teams.values())
        if in_queue >= call.queue.max_waiting and in_queue:
            raise RequestError(Reason.QUEUE_FULL)

    def _check_wait(
        self, call: SchedulableCall, pool: PoolQueue, queue: TeamQueue, now_s: float
    ) -> None:
        if call.deadline_s <= now_s:
            raise RequestError(Reason.DEADLINE_PASSED)
        slots = self._placement.slots_held(call.pool)
        self._wait_estimator.check(call, pool, queue, slots, now_s)

    def _check_rate(self, call: SchedulableCall) -> None:
        limits = [
            rate_resource(limit.name)
            for limit in self._fold.state.limits.values()
            if limit.team == call.team.name and limit.queue in (None, call.queue.name)
        ]
        if limits and not self._permits.try_acquire(limits):
            raise RequestError(Reason.RATE_LIMITED)

    def _insert(self, pool: PoolQueue, queue: TeamQueue, item: WaitingCall) -> None:
        queue.add(item)
        pool.waiting_count += 1
        self._by_id[item.call.call_id] = item

    def _end(self, item: WaitingCall, reason: Reason) -> bool:
        if item.state not in (WaitingState.WAITING, WaitingState.PAUSED):
            return False
        self._remove(item)
        self._close(item)
        item.reason = reason
        item.wake()
        return True

    def _remove(self, item: WaitingCall) -> None:
        if item.state is WaitingState.WAITING:
            pool = self._pool(item.call.pool)
            pool.teams[item.call.team.name].remove(item)
            pool.waiting_count -= 1

    def _close(self, item: WaitingCall) -> None:
        item.state = WaitingState.ENDED
        if self._by_id.get(item.call.call_id) is item:
            del self._by_id[item.call.call_id]

    def _record_run_time(self, call: SchedulableCall, run_time_s: float) -> None:
        pool = self._fold.state.pools.get(call.pool)
        bound_s = pool.run_time_bound_s if pool else run_time_s
        self._run_times.of(call.queue.name).record(run_time_s, bound_s)

    def _start_waiting(self, pool: PoolQueue, now_s: float) -> None:
        if pool.waiting_count and self._placement.has_room(pool.pool):
            pool.update(now_s)
            while pool.waiting_count and self._start_one(pool, now_s):
                pass
        self._note_demand(pool)

    def _start_one(self, pool: PoolQueue, now_s: float) -> bool:
        for queue in pool.in_order(now_s):
            item = queue.head()
            if item is None:
                continue
            instance = self._placement.choose(pool.pool, item.avoid)
            if instance is None:
                return False
            resources = (ceiling_resource(queue.team.name), slots_resource(instance.name))
            if self._permits.try_acquire(resources):
                queue.is_blocked = False
                self._start(pool, queue, item, Grant(item, instance, resources, now_s))
                return True
            queue.is_blocked = self._permits.free_count(resources[0]) <= 0
        return False

    def _note_demand(self, pool: PoolQueue) -> None:
        self._placement.note_waiting(pool.pool, pool.waiting_count)
        for queue in pool.teams.values():
            demand = len(queue) if queue.is_blocked else 0
            if demand != queue.reported_demand:
                queue.reported_demand = demand
                self._permits.set_demand(ceiling_resource(queue.team.name), demand)

    def _start(self, pool: PoolQueue, queue: TeamQueue, item: WaitingCall, grant: Grant) -> None:
        self._remove(item)
        self._placement.note_start(grant.instance.name)
        pool.note_start(queue)
        item.state = WaitingState.RUNNING
        item.grant = grant
        item.wake()
