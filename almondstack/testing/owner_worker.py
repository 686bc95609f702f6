"""Workers of the world around real owners, as the platform's pages describe them."""

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

__all__ = ["WorkerClock", "WorldCaller", "WorldClock", "WorldWorker"]

_EPOCH_S = 1_700_000_000.0
_CAPACITY_MILLIS = 4_000
_MOST_LEASE_S = 6.0
_CALL_TIMEOUT_S = 0.8

_Reply = TypeVar("_Reply")


class WorkerClock(Protocol):
    """What a worker needs of a clock."""

    listeners: list[Callable[[], None]]

    @property
    def now_s(self) -> float:
        """Monotonic time in seconds."""
        ...

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        ...


class WorldClock:
    """Stands for the module ``time``.

    Attributes
    ----------
    listeners : list of callable
        Called whenever time has passed.
    """

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.listeners: list[Callable[[], None]] = []

    def monotonic(self) -> float:
        """Return the world's time in seconds."""
        return self.now_s

    CLOCK_BOOTTIME = 7
    """Names the clock of :meth:`clock_gettime`, as in the module."""

    def clock_gettime(self, clock: int) -> float:
        """Return the world's time in seconds; nothing is suspended here."""
        return self.now_s

    def time(self) -> float:
        """Return the world's time of day in Unix seconds."""
        return _EPOCH_S + self.now_s

    def sleep(self, seconds: float) -> None:
        """Let time pass, for whoever sleeps and for everything else."""
        self.now_s += seconds
        for listener in self.listeners:
            listener()


class WorldWorker:
    """A worker as the platform's pages describe it; its calls may go wrong once.

    Attributes
    ----------
    fault : str
        What happens to the next call: "", "lost" (not received), "unanswered"
        (carried out) or "late" (carried out when :meth:`carry_out` is called).
    is_cut : bool
        No call reaches it.
    is_registered : bool
        The directory shows it.
    """

    def __init__(self, id: str, clock: WorkerClock, oracle: OwnerOracle) -> None:
        self.id = id
        self.life = 1
        self.fault = ""
        self.is_cut = False
        self.is_registered = True
        self.running: dict[str, int] = {}
        self._clock = clock
        self._oracle = oracle
        self._delayed: list[tuple[int, Callable[[], object]]] = []
        self._reset()
        # A lease ends when its time is over, whether or not anybody calls the worker.
        clock.listeners.append(self.expire)

    def _reset(self) -> None:
        self.running = {}
        self._ended: list[tuple[EndedRun, DoneEnd | None]] = []
        self._ends = 0
        self._highest_final_run: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0

    @property
    def info(self) -> WorkerInfo:
        """What it registers."""
        capacity = Resources(_CAPACITY_MILLIS, 64_000)
        return WorkerInfo(
            self.id, self.life, "p", f"{self.id}:1", capacity=capacity, clock_ms=self.clock_ms
        )

    @property
    def clock_ms(self) -> int:
        """Its clock."""
        return int(self._clock.now_s * 1000)

    def expire(self) -> None:
        """End what has no lease any more.

        Explanation
        -----------
        The lease is the worker's: it also lapses where all that ran has ended, and
        an end that nobody has taken note of by then may be followed by a new start.
        """
        if self.clock_ms <= self._deadline_ms:
            return
        for _, end in self._ended:
            if end is not None:
                end.is_expired = True
        for name in list(self.running):
            self._end(name, RunEnd.LAPSED)

    def finish(self, name: str, end: RunEnd) -> None:
        """End a run of its own."""
        self.expire()
        if name in self.running:
            self._end(name, end)

    def crash(self) -> None:
        """Lose everything and start again under the same id."""
        for name in self.running:
            self._oracle.note_killed(name)
        self.life += 1
        self._reset()

    def carry_out(self) -> None:
        """Carry out the calls that were left for later by this life."""
        late, self._delayed = self._delayed, []
        for life, call in late:
            if life == self.life:
                call()

    def call(
        self, life: int, carried_out: Callable[[], _Reply], unanswered: _Reply
    ) -> _Reply | None:
        """Make a call as the fault in force has it; None if another life answers."""
        if self.is_cut:
            self._clock.sleep(_CALL_TIMEOUT_S)
            return unanswered
        fault, self.fault = self.fault, ""
        if life != self.life:
            return None
        self.expire()
        if fault == "lost":
            return unanswered
        if fault == "late":
            self._delayed.append((life, carried_out))
            return unanswered
        reply = carried_out()
        return unanswered if fault == "unanswered" else reply

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Carry out a start."""
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
        self._oracle.note_start(order.task, order.spec, self.id, self.life)
        self.running[order.task] = order.run
        return OrderStatus.DONE

    def stop(self, name: str, run: int, token: int) -> OrderReply:
        """Carry out a stop."""
        self.expire()
        if token < self._token:
            return OrderReply(OrderStatus.FENCED, self.clock_ms)
        self._token = token
        self._highest_final_run[name] = max(run, self._highest_final_run.get(name, 0))
        if self.running.get(name) == run:
            self._end(name, RunEnd.STOPPED)
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def poll(self, deadline_ms: int | None, last_seen: int, token: int) -> PollReply:
        """Carry out a look."""
        self.expire()
        if token < self._token:
            return PollReply(OrderStatus.FENCED, self.clock_ms, self.life, (), ())
        self._token = token
        if deadline_ms is not None:
            self._extend(deadline_ms)
        for ended, end in self._ended:
            if ended.number <= last_seen:
                self._oracle.note_acknowledged(ended.task, ended.end.value, end)
        self._ended = [entry for entry in self._ended if entry[0].number > last_seen]
        running = tuple(RunningRun(name, run, "", 100, 0) for name, run in self.running.items())
        ended_runs = tuple(ended for ended, _ in self._ended)
        return PollReply(OrderStatus.DONE, self.clock_ms, self.life, running, ended_runs)

    def _extend(self, deadline_ms: int) -> None:
        bound_ms = self.clock_ms + int(_MOST_LEASE_S * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, bound_ms))

    def _end(self, name: str, how: RunEnd) -> None:
        run = self.running.pop(name)
        self._highest_final_run[name] = max(run, self._highest_final_run.get(name, 0))
        self._ends += 1
        ended = EndedRun(self._ends, name, run, how, "")
        self._ended.append((ended, self._oracle.note_end(name, how.value)))

    def _used_millis(self) -> int:
        return sum(map(self._millis, self.running))

    def _millis(self, name: str) -> int:
        job, key = parse_task_name(name)
        submission = self._oracle.submissions.get(job)
        return submission.steps[key.step].cpu_millis if submission is not None else 0


class WorldCaller:
    """Calls one life of a worker for one owner; see ``WorkerCaller``."""

    def __init__(self, worker: WorldWorker, life: int, judge_start: Callable[[str], None]) -> None:
        self._worker = worker
        self._life = life
        self._judge_start = judge_start
        self._is_connected = False

    @property
    def is_connected(self) -> bool:
        """Whether a call has reached this life; no call ever reaches another."""
        return self._is_connected

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Order a start."""
        self._judge_start(order.task)
        return self._order(lambda: self._worker.start(order, deadline_ms, token))

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Order a stop."""
        return self._order(lambda: self._worker.stop(task, run, token))

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Look at the runs."""
        unanswered = PollReply(OrderStatus.UNCLEAR, 0, 0, (), ())
        gone = PollReply(OrderStatus.GONE, 0, 0, (), ())
        reply = self._worker.call(
            self._life, lambda: self._worker.poll(deadline_ms, last_seen, token), unanswered
        )
        self._is_connected = reply is not None and reply.status is OrderStatus.DONE
        return gone if reply is None else reply

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Runs here have one pace."""
        return OrderReply(OrderStatus.DONE)

    def close(self) -> None:
        """Nothing is open."""

    def _order(self, carried_out: Callable[[], OrderReply]) -> OrderReply:
        reply = self._worker.call(self._life, carried_out, OrderReply(OrderStatus.UNCLEAR))
        self._is_connected = reply is not None and reply.status is not OrderStatus.UNCLEAR
        return OrderReply(OrderStatus.GONE) if reply is None else reply
