"""Simulated workers and clock for tests of real owners, after the platform's documentation."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from almondstack.control.messages import (
    EndedRun,
    OrderReply,
    OrderStatus,
    PollReply,
    RunningRun,
    StartOrder,
)
from almondstack.jobs import RunEnd
from almondstack.jobs.names import parse_task_name
from almondstack.placement import Resources, WorkerInfo
from almondstack.testing.owner_oracle import DoneEnd, OwnerOracle

__all__ = ["MAX_LISTED_ENDS", "WorkerClock", "WorldCaller", "WorldClock", "WorldWorker"]

_EPOCH_S = 1_700_000_000.0
_CAPACITY_MILLIS = 4_000
_MAX_LEASE_S = 6.0
"""Longest lease that a worker grants, by its own clock, in seconds."""

_CALL_TIMEOUT_S = 0.8
_STALE_REGISTRATION_S = 3.0
"""How long the directory may list a former life of a worker, in seconds."""

_FIRST_CLOCK_MS = 100
"""What a worker's clock shows at its start: it begins anew with each incarnation."""

MAX_LISTED_ENDS = 500
"""Ended runs that a worker of the platform lists in one reply."""

_Reply = TypeVar("_Reply")


class WorkerClock(Protocol):
    """Clock interface that a simulated worker uses."""

    listeners: list[Callable[[], None]]

    @property
    def now_s(self) -> float:
        """Monotonic time in seconds."""
        ...

    def time(self) -> float:
        """Return the time of day in Unix seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        ...


class WorldClock:
    """Simulated clock that replaces the module ``time``.

    Attributes
    ----------
    listeners : list of callable
        Called whenever the clock has advanced.
    """

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.listeners: list[Callable[[], None]] = []

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_s

    CLOCK_BOOTTIME = 7
    """Clock id for :meth:`clock_gettime`, as in the module ``time``."""

    def clock_gettime(self, clock: int) -> float:
        """Return the simulated time in seconds; suspension is not simulated."""
        return self.now_s

    def time(self) -> float:
        """Return the simulated time of day in Unix seconds."""
        return _EPOCH_S + self.now_s

    def sleep(self, seconds: float) -> None:
        """Advance the clock for the whole simulation."""
        self.now_s += seconds
        for listener in self.listeners:
            listener()


class WorldWorker:
    """Simulated worker with the platform's documented behaviour and injected faults.

    Attributes
    ----------
    life : int
        Unix milliseconds of the start of the worker's incarnation, by its own time of day.
    time_shift_s : float
        By how much its time of day is ahead, in seconds.  A next life may have a lower number
        than the former one if it was set back.
    keeps_last_seen : bool
        Whether the highest ``last number`` also holds for later ends of the same life, which
        are then never listed: another reading of "ends up to last number are forgotten".
    fault : str
        Fault of the next call: "" (none), "lost" (not received), "unanswered"
        (performed, the reply is lost) or "late" (performed by :meth:`carry_out`).
    is_disconnected : bool
        Whether no call reaches the worker.
    is_registered : bool
        Whether the directory lists the worker.
    running : dict of str to int
        Number of the current run of each running task, by task name.

    Parameters
    ----------
    id : str
        The worker's id.
    clock : WorkerClock
        The simulated clock.
    oracle : OwnerOracle
        Judges what happens on the worker.
    max_listed_ends : int
        Ended runs that it lists in one reply.
    clock_rate : float
        Rate of its own clock; the platform allows 0.98 to 1.
    age_s : float
        Time since the start of its first incarnation, in seconds.
    """

    def __init__(
        self,
        id: str,
        clock: WorkerClock,
        oracle: OwnerOracle,
        max_listed_ends: int = MAX_LISTED_ENDS,
        clock_rate: float = 1.0,
        age_s: float = 0.0,
    ) -> None:
        self.id = id
        self._clock_rate = clock_rate
        self._max_listed_ends = max_listed_ends
        self.time_shift_s = 0.0
        self.keeps_last_seen = False
        self._clock = clock
        self.life = self._unix_ms - int(age_s * 1000)
        self.fault = ""
        self.is_disconnected = False
        self.is_registered = True
        self.running: dict[str, int] = {}
        self._oracle = oracle
        self._former_info: WorkerInfo | None = None
        self._delayed: list[Callable[[], object]] = []
        self._reset()
        self._born_s -= age_s
        # The lease also expires if no call reaches the worker.
        clock.listeners.append(self.expire)

    def _reset(self) -> None:
        self._born_s = self._clock.now_s
        self.running = {}
        self._ended: list[tuple[EndedRun, DoneEnd | None]] = []
        self._ends = 0
        self._last_seen = 0
        self._highest_final_run: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0

    @property
    def info(self) -> WorkerInfo:
        """What the worker says of itself."""
        capacity = Resources(_CAPACITY_MILLIS, 64_000)
        return WorkerInfo(
            self.id, self.life, "p", f"{self.id}:1", capacity=capacity, clock_ms=self.clock_ms
        )

    @property
    def registration(self) -> WorkerInfo:
        """What the directory lists: for some time, it may be what the former life has said."""
        is_old = self._clock.now_s - self._born_s > _STALE_REGISTRATION_S
        if self._former_info is None or is_old:
            return self.info
        return self._former_info

    @property
    def _unix_ms(self) -> int:
        return int((self._clock.time() + self.time_shift_s) * 1000)

    @property
    def clock_ms(self) -> int:
        """The worker's clock, in milliseconds."""
        return _FIRST_CLOCK_MS + int((self._clock.now_s - self._born_s) * self._clock_rate * 1000)

    @property
    def listed_ends(self) -> set[EndedRun]:
        """The ended runs that it lists until a call acknowledges them."""
        return {ended for ended, _ in self._ended}

    def expire(self) -> None:
        """End all runs if the worker's lease has expired.

        Explanation
        -----------
        The lease belongs to the worker, so it also expires on one without runs.  A task
        whose end was not acknowledged by then may be started again.
        """
        if self.clock_ms <= self._deadline_ms:
            return
        for _, end in self._ended:
            if end is not None:
                end.is_expired = True
        for name in list(self.running):
            self._end(name, RunEnd.LAPSED)

    def finish(self, name: str, end: RunEnd) -> None:
        """End a run of this worker."""
        self.expire()
        if name in self.running:
            self._end(name, end)

    def crash(self, *, is_registered_late: bool = False) -> None:
        """Lose all runs and state, and restart with the same id."""
        for name in self.running:
            self._oracle.note_killed(name)
        self._former_info = self.registration if is_registered_late else None
        present_ms = self._unix_ms
        self.life = present_ms if present_ms != self.life else present_ms + 1
        self._reset()

    def register(self) -> None:
        """Have the directory list the present life."""
        self._former_info = None

    def carry_out(self) -> None:
        """Perform the delayed calls; the present incarnation has the id that they name."""
        delayed, self._delayed = self._delayed, []
        for call in delayed:
            call()

    def call(self, carried_out: Callable[[], _Reply], unanswered: _Reply) -> _Reply:
        """Make a call to the present incarnation, subject to the injected fault."""
        if self.is_disconnected:
            self._clock.sleep(_CALL_TIMEOUT_S)
            return unanswered
        fault, self.fault = self.fault, ""
        self.expire()
        if fault == "lost":
            return unanswered
        if fault == "late":
            self._delayed.append(carried_out)
            return unanswered
        reply = carried_out()
        return unanswered if fault == "unanswered" else reply

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Handle a start order."""
        self.expire()
        if token < self._token:
            return OrderReply(OrderStatus.FENCED, self.clock_ms)
        self._token = token
        status = self._start(order, deadline_ms)
        return OrderReply(status, self.clock_ms)

    def _start(self, order: StartOrder, deadline_ms: int) -> OrderStatus:
        if self.running.get(order.task) == order.run:
            self._extend(deadline_ms)
            return OrderStatus.DONE
        if order.run <= self._highest_final_run.get(order.task, 0):
            self._extend(deadline_ms)
            return OrderStatus.OLD_RUN
        if deadline_ms <= self.clock_ms:
            return OrderStatus.LATE
        self._extend(deadline_ms)
        if self._used_millis() + self._millis(order.task) > _CAPACITY_MILLIS:
            return OrderStatus.NO_ROOM
        self.running[order.task] = order.run
        # A run that breaks a rule is there all the same.
        self._oracle.note_start(order.task, order.spec, self.id, self.life)
        return OrderStatus.DONE

    def stop(self, name: str, run: int, token: int) -> OrderReply:
        """Handle a stop order."""
        self.expire()
        if token < self._token:
            return OrderReply(OrderStatus.FENCED, self.clock_ms)
        self._token = token
        self._highest_final_run[name] = max(run, self._highest_final_run.get(name, 0))
        if self.running.get(name) == run:
            self._end(name, RunEnd.STOPPED)
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def poll(self, deadline_ms: int | None, last_seen: int, token: int) -> PollReply:
        """Handle a poll."""
        self.expire()
        if token < self._token:
            return PollReply(OrderStatus.FENCED, self.clock_ms, self.life, (), ())
        self._token = token
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._forget_ends(last_seen)
        if self.keeps_last_seen:
            self._last_seen = max(self._last_seen, last_seen)
        running = tuple(RunningRun(name, run, "", 100, 0) for name, run in self.running.items())
        ended_runs = tuple(ended for ended, _ in self._ended[: self._max_listed_ends])
        is_whole = len(ended_runs) < self._max_listed_ends
        return PollReply(OrderStatus.DONE, self.clock_ms, self.life, running, ended_runs, is_whole)

    def _extend(self, deadline_ms: int) -> None:
        bound_ms = self.clock_ms + int(_MAX_LEASE_S * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, bound_ms))

    def _end(self, name: str, how: RunEnd) -> None:
        run = self.running.pop(name)
        self._highest_final_run[name] = max(run, self._highest_final_run.get(name, 0))
        self._ends += 1
        ended = EndedRun(self._ends, name, run, how, "")
        self._ended.append((ended, self._oracle.note_end(name, how.value)))
        self._forget_ends(self._last_seen)

    def _forget_ends(self, last_seen: int) -> None:
        """Forget the ends up to a number, which the oracle judges then."""
        forgotten = [entry for entry in self._ended if entry[0].number <= last_seen]
        self._ended = [entry for entry in self._ended if entry[0].number > last_seen]
        for ended, end in forgotten:
            self._oracle.note_acknowledged(ended.task, ended.end.value, end)

    def _used_millis(self) -> int:
        return sum(map(self._millis, self.running))

    def _millis(self, name: str) -> int:
        job, key = parse_task_name(name)
        submission = self._oracle.submissions.get(job)
        return submission.steps[key.step].cpu_millis if submission is not None else 0


class WorldCaller:
    """Calls a simulated worker over one connection for one owner; a ``WorkerCaller``.

    Explanation
    -----------
    A connection leads to the incarnation that accepted it, and ends with it.  A new one leads
    to the present incarnation, which has the same id and so accepts calls for earlier ones.
    """

    def __init__(self, worker: WorldWorker, judge_start: Callable[[str], None]) -> None:
        self._worker = worker
        self._judge_start = judge_start
        self._connected_life: int | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection of the last call is open."""
        return self._connected_life == self._worker.life

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Send a start over the connection of the last call."""
        if not self.is_connected:
            return OrderReply(OrderStatus.NOT_SENT)
        self._judge_start(order.task)
        return self._order(lambda: self._worker.start(order, deadline_ms, token))

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Send a stop over the connection of the last call."""
        if not self.is_connected:
            return OrderReply(OrderStatus.NOT_SENT)
        return self._order(lambda: self._worker.stop(task, run, token))

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Send a poll; over a new connection it acknowledges nothing."""
        unanswered = PollReply(OrderStatus.UNCLEAR, 0, 0, (), ())
        last_seen = last_seen if self.is_connected else 0
        reply = self._worker.call(
            lambda: self._worker.poll(deadline_ms, last_seen, token), unanswered
        )
        self._note_answered(is_answered=reply.status is OrderStatus.DONE)
        return reply

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Do nothing: simulated runs have a fixed speed."""
        return OrderReply(OrderStatus.DONE)

    def close(self) -> None:
        """Do nothing: there is no connection."""

    def _order(self, carried_out: Callable[[], OrderReply]) -> OrderReply:
        reply = self._worker.call(carried_out, OrderReply(OrderStatus.UNCLEAR))
        self._note_answered(is_answered=reply.status is not OrderStatus.UNCLEAR)
        return reply

    def _note_answered(self, *, is_answered: bool) -> None:
        self._connected_life = self._worker.life if is_answered else None
