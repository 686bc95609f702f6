"""A small world around real owners: a store, workers and processes, on a clock of its own.

Explanation
-----------
Owners, run tables, sessions, journals, planners and books are the product's;
only their threads are replaced by calls, so that a test decides what happens
in which order and which answers are lost.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from almondstack.control import owner as owner_module
from almondstack.control import sessions as sessions_module
from almondstack.control.messages import (
    EndedRun,
    LookReply,
    Ordered,
    OrderReply,
    OrderStatus,
    RunningRun,
    StartOrder,
)
from almondstack.control.owner import Owner
from almondstack.control.services import OwnerServices
from almondstack.control.session import WorkerSession
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake import JobService, Verdict
from almondstack.jobs import (
    JobBook,
    OwnerNotice,
    RecordKind,
    RunEnd,
    Submission,
    encode_notice,
    record_key,
)
from almondstack.jobs.names import parse_task_name
from almondstack.ownership import (
    FencedError,
    OwnershipSettings,
    Record,
    StoreError,
    StoreRefusedError,
)
from almondstack.placement import (
    AccountPolicy,
    Policies,
    QueuePolicy,
    Resources,
    WorkerInfo,
)
from almondstack.testing.fake_records import FakeRecordStore
from almondstack.testing.owner_oracle import OwnerOracle

__all__ = ["CEILING_MILLIS", "MAX_ATTEMPTS", "OwnerWorld", "WorldProcess", "WorldWorker"]

CEILING_MILLIS = 3_000
MAX_ATTEMPTS = 2
_EPOCH_S = 1_700_000_000.0
_CAPACITY_MILLIS = 4_000
_MOST_LEASE_S = 6.0
_STORE_TIMEOUT_S = 0.5
_CALL_TIMEOUT_S = 0.8

_CLOCKED = (
    "almondstack.control.advisor",
    "almondstack.control.fleet_rounds",
    "almondstack.control.instance_desk",
    "almondstack.control.journal",
    "almondstack.control.owner",
    "almondstack.control.session",
    "almondstack.intake.service",
    "almondstack.jobs.book",
)
"""Modules whose time is the world's."""


class WorldClock:
    """Stands for the module ``time``."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def monotonic(self) -> float:
        """Return the world's time in seconds."""
        return self.now_s

    def time(self) -> float:
        """Return the world's time of day in Unix seconds."""
        return _EPOCH_S + self.now_s

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds


class _WorldStore(FakeRecordStore):
    """A store that tells the oracle of each record, and refuses so many calls."""

    def __init__(self, clock: WorldClock, oracle: OwnerOracle) -> None:
        super().__init__()
        self.refuses = 0
        self.meanwhile: Callable[[], None] | None = None
        self._clock = clock
        self._oracle = oracle
        self._judged = 0

    def _check(self) -> None:
        if self.refuses:
            self.refuses -= 1
            self._clock.sleep(_STORE_TIMEOUT_S)
            meanwhile, self.meanwhile = self.meanwhile, None
            if meanwhile is not None:
                meanwhile()
            raise StoreRefusedError("away")
        super()._check()

    def _maybe_lose_reply(self) -> None:
        while self._judged < len(self.records):
            record = self.records[self._judged]
            self._judged += 1
            self._oracle.judge_record(record.key, record.value)
        if self.loses_replies:
            self._clock.sleep(_STORE_TIMEOUT_S)
        super()._maybe_lose_reply()


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

    def __init__(self, id: str, clock: WorldClock, oracle: OwnerOracle) -> None:
        self.id = id
        self.life = 1
        self.fault = ""
        self.is_cut = False
        self.is_registered = True
        self.running: dict[str, int] = {}
        self._clock = clock
        self._oracle = oracle
        self._late: list[tuple[int, Callable[[], object]]] = []
        self._reset()

    def _reset(self) -> None:
        self.running = {}
        self._ended: list[tuple[EndedRun, object]] = []
        self._ends = 0
        self._barred: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0

    @property
    def info(self) -> WorkerInfo:
        """What it registers."""
        capacity = Resources(_CAPACITY_MILLIS, 64_000)
        return WorkerInfo(self.id, self.life, "p", f"{self.id}:1", capacity=capacity)

    @property
    def clock_ms(self) -> int:
        """Its clock."""
        return int(self._clock.now_s * 1000)

    def expire(self) -> None:
        """End what has no lease any more."""
        if self.running and self.clock_ms > self._deadline_ms:
            for _, end in self._ended:
                if end is not None:
                    end.is_void = True
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
        late, self._late = self._late, []
        for life, call in late:
            if life == self.life:
                call()

    def call(self, life: int, carried_out: Callable[[], object], unanswered: object) -> object:
        """Make a call as the fault in force has it."""
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
            self._late.append((life, carried_out))
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
        if order.run <= self._barred.get(order.task, 0):
            self._extend(deadline_ms)
            return OrderStatus.OLD_RUN
        if deadline_ms <= self.clock_ms:
            return OrderStatus.LATE
        self._extend(deadline_ms)
        if self._used_millis() + self._millis(order.task) > _CAPACITY_MILLIS:
            return OrderStatus.NO_ROOM
        self._oracle.note_start(order.task, order.spec, self.id, self.life, self._clock.now_s)
        self.running[order.task] = order.run
        return OrderStatus.DONE

    def stop(self, name: str, run: int, token: int) -> OrderReply:
        """Carry out a stop."""
        self.expire()
        if token < self._token:
            return OrderReply(OrderStatus.FENCED, self.clock_ms)
        self._token = token
        self._barred[name] = max(run, self._barred.get(name, 0))
        if self.running.get(name) == run:
            self._end(name, RunEnd.STOPPED)
        return OrderReply(OrderStatus.DONE, self.clock_ms)

    def look(self, deadline_ms: int | None, last_seen: int, token: int) -> LookReply:
        """Carry out a look."""
        self.expire()
        if token < self._token:
            return LookReply(OrderStatus.FENCED, self.clock_ms, self.life, (), ())
        self._token = token
        if deadline_ms is not None:
            self._extend(deadline_ms)
        for ended, end in self._ended:
            if ended.number <= last_seen:
                self._oracle.note_acknowledged(ended.task, ended.end.value, end)
        self._ended = [entry for entry in self._ended if entry[0].number > last_seen]
        running = tuple(RunningRun(name, run, "", 100, 0) for name, run in self.running.items())
        ended_runs = tuple(ended for ended, _ in self._ended)
        return LookReply(OrderStatus.DONE, self.clock_ms, self.life, running, ended_runs)

    def _extend(self, deadline_ms: int) -> None:
        bound_ms = self.clock_ms + int(_MOST_LEASE_S * 1000)
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, bound_ms))

    def _end(self, name: str, how: RunEnd) -> None:
        run = self.running.pop(name)
        self._barred[name] = max(run, self._barred.get(name, 0))
        self._ends += 1
        ended = EndedRun(self._ends, name, run, how, "")
        self._ended.append((ended, self._oracle.note_end(name, how.value)))

    def _used_millis(self) -> int:
        return sum(map(self._millis, self.running))

    def _millis(self, name: str) -> int:
        job, key = parse_task_name(name)
        submission = self._oracle.submissions.get(job)
        return submission.steps[key.step].cpu_millis if submission is not None else 0


class _WorldCaller:
    """Calls one life of a worker for one owner; see ``WorkerCaller``."""

    def __init__(self, worker: WorldWorker, life: int) -> None:
        self._worker = worker
        self._life = life

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Order a start."""
        return self._order(lambda: self._worker.start(order, deadline_ms, token))

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Order a stop."""
        return self._order(lambda: self._worker.stop(task, run, token))

    def look(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> LookReply:
        """Look at the runs."""
        unanswered = LookReply(OrderStatus.UNCLEAR, 0, 0, (), ())
        gone = LookReply(OrderStatus.GONE, 0, 0, (), ())
        reply = self._worker.call(
            self._life, lambda: self._worker.look(deadline_ms, last_seen, token), unanswered
        )
        return gone if reply is None else reply

    def close(self) -> None:
        """Nothing is open."""

    def _order(self, carried_out: Callable[[], OrderReply]) -> OrderReply:
        reply = self._worker.call(self._life, carried_out, OrderReply(OrderStatus.UNCLEAR))
        return OrderReply(OrderStatus.GONE) if reply is None else reply


class _PumpedSession(WorkerSession):
    """A session without threads: the world makes its calls."""

    __slots__ = ()

    def _ensure(self, name: str, run: Callable[[], None]) -> None:
        """Start no thread."""

    def pump_orders(self) -> None:
        """Give the orders that wait."""
        caller = self._callers.caller(self.worker)
        while not self._orders.empty():
            order = self._orders.get()
            if order is None or self._is_closed:
                return
            reply = self._send(caller, order)
            self._note_clock(reply.clock_ms)
            self._post(Ordered(self.worker, order.kind, order.task, order.run, reply))

    def pump_look(self) -> None:
        """Look once, if runs may be there."""
        if self._is_busy and not self._is_closed:
            self._look(self._callers.caller(self.worker))


class WorldProcess:
    """One process: its book, its intake, and its owner when it has claimed the jobs."""

    def __init__(self, world: "OwnerWorld", name: str) -> None:
        self.name = name
        self._world = world
        self._lives = 0
        self.restart()

    def restart(self) -> None:
        """Die, and come back knowing nothing."""
        self._lives += 1
        self.owner: Owner | None = None
        self.book = JobBook()
        self._offset = 0
        self.service = JobService(
            self._world.store, self.book, self.read, self._world.events, NullMetrics()
        )

    def read(self) -> None:
        """Follow the store to its end."""
        batch = self._world.store.read(self._offset, 0.0)
        self._offset = batch.next_offset
        for record in batch.records:
            self.book.apply(record.key, record.value)

    def follow(self) -> None:
        """Follow the store, unless it is away."""
        with contextlib.suppress(StoreError):
            self.read()

    def claim(self) -> None:
        """Claim the jobs, unless the store does not answer."""
        with contextlib.suppress(StoreError):
            self._claim()

    def _claim(self) -> None:
        """Claim as the follower does, and own once the claim has been read."""
        self.read()
        notice = self.book.notice
        token = notice.token + 1 if notice is not None else 1
        incarnation = f"{self.name}/{self._lives}"
        record = Record(
            record_key(RecordKind.OWNER), encode_notice(OwnerNotice(incarnation, token))
        )
        if not self._world.store.claim(token, record, 10 * self._lives):
            return
        self.read()
        self.owner = Owner(self._world.services(self), incarnation, token, 10 * self._lives)
        self.owner._take_over()

    def round(self) -> None:
        """Let the owner decide, store and order."""
        if self.owner is None:
            return
        try:
            self.owner._round()
        except FencedError:
            self.owner._journal.close()
            self.owner._sessions.close()
            self.book.listen(None)
            self.owner = None

    def pump(self, worker: str) -> None:
        """Let the owner's session of a worker give its orders and look."""
        session = self.owner._sessions.get(worker) if self.owner is not None else None
        if isinstance(session, _PumpedSession):
            session.pump_orders()
            session.pump_look()


class OwnerWorld:
    """Everything together."""

    def __init__(self) -> None:
        self.clock = WorldClock()
        self.oracle = OwnerOracle({"a": CEILING_MILLIS}, MAX_ATTEMPTS)
        self.store = _WorldStore(self.clock, self.oracle)
        self.events = EventLog("world")
        self.workers = {id: WorldWorker(id, self.clock, self.oracle) for id in ("w1", "w2", "w3")}
        self.policies = Policies(
            1,
            {"q": QueuePolicy("q", "p", max_attempts=MAX_ATTEMPTS, stretch=2.0, objective_ms=900)},
            {"a": AccountPolicy("a", ceiling=Resources(CEILING_MILLIS))},
            {"p": False},
        )
        self.processes = [WorldProcess(self, "one"), WorldProcess(self, "two")]

    @contextlib.contextmanager
    def in_force(self) -> Iterator[None]:
        """Have the product work by the world's clock and without threads."""
        with contextlib.ExitStack() as stack:
            for module in _CLOCKED:
                stack.enter_context(mock.patch(f"{module}.time", self.clock))
            stack.enter_context(mock.patch.object(sessions_module, "WorkerSession", _PumpedSession))
            stack.enter_context(mock.patch.object(owner_module, "_IDLE_WAIT_S", 0.0))
            stack.enter_context(mock.patch("almondstack.control.journal._RETRY_PAUSE_S", 0.0))
            yield

    def services(self, process: WorldProcess) -> OwnerServices:
        """Return what an owner of a process works with."""
        return OwnerServices(
            store=self.store,
            address="127.0.0.1:1",
            book=process.book,
            callers=self,
            instances=None,
            directory=_Directory(self),
            advice=None,
            policies=lambda: self.policies,
            control=ControlSettings(lease_s=4.5),
            ownership=OwnershipSettings(),
            events=self.events,
            metrics=NullMetrics(),
        )

    def caller(self, worker: WorkerInfo) -> _WorldCaller:
        """Make a caller; see ``WorkerCallers``."""
        return _WorldCaller(self.workers[worker.id], worker.life)

    def submit(self, process: WorldProcess, job: str, submission: Submission) -> Verdict:
        """Hand in a job, and note what its caller hears."""
        self.oracle.submissions.setdefault(job, submission)
        policy = self.policies.queues[submission.queue]
        verdict = process.service.submit(job, self.oracle.submissions[job], policy, 2.0)
        if verdict in (Verdict.DONE, Verdict.KNOWN):
            self.oracle.accepted.add(job)
        return verdict

    def cancel(self, process: WorldProcess, job: str) -> None:
        """Cancel a job; what the caller hears late may be stored all the same."""
        account = self.oracle.submissions[job].account
        # A cancel without an answer may be stored too, so that its job may end as cancelled.
        self.oracle.cancelled_s.setdefault(job, float("inf"))
        if process.service.cancel(job, account, 2.0) is Verdict.DONE:
            self.oracle.cancelled_s[job] = min(self.oracle.cancelled_s[job], self.clock.now_s)

    def pass_time(self, seconds: float) -> None:
        """Let time pass for everything."""
        self.clock.sleep(seconds)
        for worker in self.workers.values():
            worker.expire()


class _Directory:
    """The registered workers; see ``FleetDirectory``."""

    is_read = True

    def __init__(self, world: OwnerWorld) -> None:
        self._world = world

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the workers that are registered now."""
        return {
            worker.id: worker.info
            for worker in self._world.workers.values()
            if worker.is_registered
        }

    def waves(self) -> list[object]:
        """No wave is asked for."""
        return []
