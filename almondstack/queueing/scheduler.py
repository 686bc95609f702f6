"""The scheduler of an entry: admission, order and start of calls.

Explanation
-----------
All state stands under one lock.  Permits may call back from any thread, so the
callback never waits for that lock: it marks the scheduler as stale, and
whoever holds the lock looks at the mark again after letting go.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from almondstack.core import Clock, Reason, RequestError
from almondstack.fold import Fold
from almondstack.permits import Permits, ceiling_resource, rate_resource, slots_resource
from almondstack.queueing.expected_wait import ExpectedWait
from almondstack.queueing.placement import Placement
from almondstack.queueing.pool_queue import PoolQueue
from almondstack.queueing.run_times import RunTimes
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.team_queue import TeamQueue
from almondstack.queueing.usage import FleetUsage
from almondstack.queueing.waiting import Grant, WaitingCall, WaitingState
from almondstack.queueing.work import Work

__all__ = ["FairScheduler"]


class FairScheduler:
    """Decides which call starts when and where.

    Parameters
    ----------
    settings : QueueingSettings
        Bounds.
    fold : Fold
        Knows teams and limits.
    permits : Permits
        Ceilings, slots and rates.
    placement : Placement
        Chooses upstreams.
    usage : FleetUsage
        What runs at other entries.
    clock : Clock
        Measures waits.
    """

    __slots__ = (
        "_by_id",
        "_clock",
        "_expected",
        "_fold",
        "_is_stale",
        "_lock",
        "_permits",
        "_placement",
        "_pools",
        "_run_times",
        "_settings",
        "_usage",
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
        self._expected = ExpectedWait(settings, self._run_times)
        self._pools: dict[str, PoolQueue] = {}
        self._by_id: dict[str, WaitingCall] = {}
        self._lock = threading.Lock()
        self._is_stale = False
        permits.add_listener(self.pump)

    @property
    def run_times(self) -> RunTimes:
        """What has been learned of run times."""
        return self._run_times

    def waiting_count(self, pool: str) -> int:
        """Return how many calls of ``pool`` wait."""
        found = self._pools.get(pool)
        return found.waiting_count if found else 0

    def running_count(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` run in ``pool`` for this entry."""
        found = self._pools.get(pool)
        queue = found.teams.get(team) if found else None
        return queue.running if queue is not None else 0

    def running_counts(self) -> dict[tuple[str, str], int]:
        """Return the running calls by pool and team, to be told to other entries."""
        with self._locked():
            return {
                (pool.pool, name): queue.running
                for pool in self._pools.values()
                for name, queue in pool.teams.items()
                if queue.running
            }

    def admit(self, call: Work) -> WaitingCall:
        """Let ``call`` wait, and start it at once if it can be.

        Raises
        ------
        RequestError
            The call is refused; it has not run.
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
            latest_s = self._expected.latest_start_s(call, now_s)
            item = WaitingCall(call, now_s, latest_s, queue)
            self._insert(pool, queue, item)
            self._start_waiting(pool, now_s)
        return item

    def requeue(self, item: WaitingCall, avoid: frozenset[str]) -> None:
        """Put a paused call before the others of its team, for another try."""
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
        """End a call that has not started; True if it now never will."""
        reason = Reason.CANCELLED
        with self._locked():
            item = self._by_id.get(call_id)
            if item is None or item.has_started:
                return False
            return self._end(item, reason)

    def abandon(self, call_id: str) -> bool:
        """End a call whose caller is gone, unless it runs; True if it waited."""
        with self._locked():
            item = self._by_id.get(call_id)
            return item is not None and self._end(item, Reason.CALLER_GONE)

    def end(self, item: WaitingCall, reason: Reason) -> bool:
        """End one call that waits for a start or a further one; False if it does not wait."""
        with self._locked():
            return self._end(item, reason)

    def finish(self, grant: Grant, run_time_s: float | None = None) -> None:
        """Give back the permits of a grant, once the work has surely ended.

        Parameters
        ----------
        grant : Grant
            The grant; finishing it twice changes nothing.
        run_time_s : float, optional
            How long the upstream worked, in seconds, to be learned.
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
                self._learn(grant.waiting.call, run_time_s)
        self._permits.release(grant.resources)

    def suspend(self, grant: Grant, has_started: bool) -> None:
        """Part a call from its grant, which stays taken, until the next try.

        Parameters
        ----------
        grant : Grant
            The grant of the try that failed.
        has_started : bool
            True if the work may have begun; such a call cannot be cancelled.
        """
        with self._locked():
            item = grant.waiting
            item.state = WaitingState.PAUSED
            item.has_started = item.has_started or has_started
            item.grant = None
            item.unsettle()

    def give_up(self, item: WaitingCall) -> None:
        """Forget a call whose caller's thread ends with an error of its own."""
        with self._locked():
            self._take_out(item)
            self._close(item)

    def pump(self) -> None:
        """Start what can start; never waits for another thread."""
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

    def _check_bounds(self, call: Work, pool: PoolQueue, queue: TeamQueue) -> None:
        if call.call_id in self._by_id:
            raise RequestError(Reason.ID_CLAIMED)
        if pool.waiting_count >= self._settings.max_waiting:
            raise RequestError(Reason.QUEUE_FULL)
        if len(queue) >= self._settings.max_waiting_per_team:
            raise RequestError(Reason.TEAM_QUEUE_FULL)
        in_queue = sum(item.waiting_by_queue[call.queue.name] for item in pool.teams.values())
        if in_queue >= call.queue.max_waiting and in_queue:
            raise RequestError(Reason.QUEUE_FULL)

    def _check_wait(self, call: Work, pool: PoolQueue, queue: TeamQueue, now_s: float) -> None:
        if call.deadline_s <= now_s:
            raise RequestError(Reason.DEADLINE_PASSED)
        slots = self._placement.slots_held(call.pool)
        self._expected.check(call, pool, queue, slots, now_s)

    def _check_rate(self, call: Work) -> None:
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
        self._take_out(item)
        self._close(item)
        item.reason = reason
        item.settle()
        return True

    def _take_out(self, item: WaitingCall) -> None:
        if item.state is WaitingState.WAITING:
            pool = self._pool(item.call.pool)
            pool.teams[item.call.team.name].remove(item)
            pool.waiting_count -= 1

    def _close(self, item: WaitingCall) -> None:
        item.state = WaitingState.ENDED
        if self._by_id.get(item.call.call_id) is item:
            del self._by_id[item.call.call_id]

    def _learn(self, call: Work, run_time_s: float) -> None:
        pool = self._fold.state.pools.get(call.pool)
        bound_s = pool.run_time_bound_s if pool else run_time_s
        self._run_times.of(call.queue.name).learn(run_time_s, bound_s)

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
            if demand != queue.noted_demand:
                queue.noted_demand = demand
                self._permits.set_demand(ceiling_resource(queue.team.name), demand)

    def _start(self, pool: PoolQueue, queue: TeamQueue, item: WaitingCall, grant: Grant) -> None:
        self._take_out(item)
        self._placement.note_start(grant.instance.name)
        pool.note_start(queue)
        item.state = WaitingState.RUNNING
        item.grant = grant
        item.settle()
