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
    InstanceInfo,
    OrderStatus,
    WaveRequest,
)
from almondstack.control.owner import Owner
from almondstack.control.ports import WorkerCaller
from almondstack.control.services import OwnerServices
from almondstack.control.session import WorkerSession
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake import JobService, OwnerRequest, OwnerRequests, Verdict
from almondstack.jobs import (
    JobIndex,
    OwnerNotice,
    RecordKind,
    Submission,
    encode_notice,
    record_key,
)
from almondstack.jobs.records import split_key
from almondstack.ownership import (
    FencedError,
    OwnershipSettings,
    Record,
    StoreError,
    StoreRefusedError,
    StoreUnclearError,
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
from almondstack.testing.owner_port import RequestLink, WorldOwnerPort
from almondstack.testing.owner_worker import WorldCaller, WorldClock, WorldWorker

__all__ = ["CEILING_MILLIS", "MAX_ATTEMPTS", "OwnerWorld", "WorldProcess"]

CEILING_MILLIS = 3_000
MAX_ATTEMPTS = 2
_STORE_TIMEOUT_S = 0.5

_CLOCKED = (
    "almondstack.control.advisor",
    "almondstack.control.fleet_controller",
    "almondstack.control.instance_manager",
    "almondstack.control.job_records",
    "almondstack.control.journal",
    "almondstack.control.owner",
    "almondstack.control.session",
    "almondstack.intake.append_retries",
    "almondstack.intake.direct",
    "almondstack.intake.service",
    "almondstack.jobs.job_index",
)
"""Modules whose time is the world's."""


class _WorldStore(FakeRecordStore):
    """A store that tells the oracle of each record, and refuses so many calls."""

    def __init__(self, clock: WorldClock, oracle: OwnerOracle) -> None:
        super().__init__()
        self.refuses = 0
        self.is_late = False
        self._late: list[tuple[Record, int]] = []
        self.meanwhile: Callable[[], None] | None = None
        self._clock = clock
        self._oracle = oracle
        self._judged = 0

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append at the end of the log, or leave that for later without an answer."""
        if self.is_late:
            self._late.append((record, offset))
            self._clock.sleep(timeout_s)
            raise StoreUnclearError("no answer")
        super().append_at(record, offset, timeout_s)

    def carry_out(self) -> None:
        """Carry out the appends that were left for later, if the log still ends there."""
        late, self._late = self._late, []
        for record, offset in late:
            with contextlib.suppress(StoreError):
                super().append_at(record, offset, 1.0)

    def _check(self) -> None:
        if self.refuses:
            self.refuses -= 1
            self._clock.sleep(_STORE_TIMEOUT_S)
            meanwhile, self.meanwhile = self.meanwhile, None
            if meanwhile is not None:
                # Only the caller that is refused is held up.
                left, self.refuses = self.refuses, 0
                meanwhile()
                self.refuses = left
            raise StoreRefusedError("away")
        super()._check()

    def _maybe_lose_reply(self) -> None:
        while self._judged < len(self.records):
            record = self.records[self._judged]
            self._judged += 1
            self._oracle.judge_record(record.key, record.value)
        if self.replies_to_lose:
            self._clock.sleep(_STORE_TIMEOUT_S)
        super()._maybe_lose_reply()


class _PumpedSession(WorkerSession):
    """A session without threads: the world makes its calls."""

    __slots__ = ("_order_caller",)

    def _ensure(self, name: str, run: Callable[[], None]) -> None:
        """Start no thread."""

    def _caller_of_orders(self) -> WorkerCaller:
        """Return the caller that all orders share, as they share a thread otherwise."""
        if not hasattr(self, "_order_caller"):
            self._order_caller = self._callers.caller(self.worker)
        return self._order_caller

    def pump_orders(self) -> None:
        """Give the orders that wait."""
        caller = self._caller_of_orders()
        while not self._orders.empty():
            order = self._orders.get()
            if order is None or self._is_closed:
                return
            self._give(caller, order)

    def pump_meeting(self) -> None:
        """Meet the worker, as before a first start."""
        self._meet(self._caller_of_orders())

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
        self.book = JobIndex()
        self.next_offset = 0
        self._cancels_heard_s: dict[str, float] = {}
        self.service = JobService(
            self._world.store,
            self.book,
            self,
            WorldOwnerPort(self._world, self),
            self._world.events,
            NullMetrics(),
        )

    @property
    def lag_s(self) -> float:
        """The store is never silent here; its calls fail one by one."""
        return 0.0

    @property
    def read_gap_s(self) -> float:
        """Reads are not apart."""
        return 0.0

    def sync(self) -> None:
        """Follow the store to its end."""
        batch = self._world.store.read(self.next_offset, 0.0)
        self.next_offset = batch.next_offset
        for record in batch.records:
            self.book.apply(record.key, record.value)
            kind, job = split_key(record.key)
            if kind is RecordKind.CANCEL:
                self._cancels_heard_s.setdefault(job, self._world.clock.now_s)

    def judge_start(self, name: str) -> None:
        """Judge a start that this process orders."""
        now_s = self._world.clock.now_s
        heard_s = self._cancels_heard_s.get(name.partition(".")[0], now_s)
        self._world.oracle.judge_order(name, heard_s, now_s)

    def follow(self) -> None:
        """Follow the store, unless it is away."""
        with contextlib.suppress(StoreError):
            self.sync()

    def claim(self) -> None:
        """Claim the jobs, unless the store does not answer."""
        with contextlib.suppress(StoreError):
            self._claim()

    def _claim(self) -> None:
        """Claim as the follower does, and own once the claim has been read."""
        self.sync()
        notice = self.book.notice
        token = notice.token + 1 if notice is not None else 1
        incarnation = f"{self.name}/{self._lives}"
        record = Record(
            record_key(RecordKind.OWNER), encode_notice(OwnerNotice(incarnation, token))
        )
        if not self._world.store.claim(token, record, 10 * self._lives):
            return
        self.sync()
        self.owner = Owner(self._world.services(self), incarnation, token, 10 * self._lives)
        self.owner._take_over()

    def round(self) -> None:
        """Let the owner decide, store and order."""
        if self.owner is None:
            return
        try:
            self.owner._round()
        except FencedError:
            self.owner._requests.close()
            self.owner._journal.close()
            self.owner._sessions.close()
            self.book.set_listener(None)
            self.owner = None

    def take(self, request: OwnerRequest) -> None:
        """Let the owner deal with a request, as far as the store and its reading allow."""
        if self.owner is None:
            return
        self.owner._inbox.put(request)
        self.round()
        self.follow()
        self.round()

    def pump_meeting(self, worker: str) -> None:
        """Let the owner's session of a worker meet it, as before a first start."""
        session = self.owner._sessions.get(worker) if self.owner is not None else None
        if isinstance(session, _PumpedSession):
            session.pump_meeting()

    def pump_orders(self, worker: str) -> None:
        """Let the owner's session of a worker give its orders, and not look."""
        session = self.owner._sessions.get(worker) if self.owner is not None else None
        if isinstance(session, _PumpedSession):
            session.pump_orders()

    def pump(self, worker: str) -> None:
        """Let the owner's session of a worker give its orders and look."""
        session = self.owner._sessions.get(worker) if self.owner is not None else None
        if isinstance(session, _PumpedSession):
            session.pump_orders()
            session.pump_look()


class OwnerWorld:
    """Everything together.

    Attributes
    ----------
    patience_s : float
        How long callers wait for an answer, in seconds.
    """

    def __init__(self) -> None:
        self.patience_s = 2.0
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
        self.link = RequestLink()
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
        surroundings = _Surroundings(self, process)
        return OwnerServices(
            store=self.store,
            address="127.0.0.1:1",
            book=process.book,
            callers=surroundings,
            instances=surroundings,
            directory=surroundings,
            advice=None,
            policies=lambda: self.policies,
            control=ControlSettings(lease_s=4.5),
            ownership=OwnershipSettings(),
            requests=OwnerRequests(),
            read_offset=lambda: process.next_offset,
            events=self.events,
            metrics=NullMetrics(),
        )

    def submit(self, process: WorldProcess, job: str, submission: Submission) -> Verdict:
        """Hand in a job, and note what its caller hears."""
        self.oracle.submissions.setdefault(job, submission)
        policy = self.policies.queues[submission.queue]
        verdict = process.service.submit(
            job, self.oracle.submissions[job], policy, self.patience_s
        ).verdict
        if verdict in (Verdict.DONE, Verdict.KNOWN):
            self.oracle.accepted.add(job)
            self.oracle.refused.discard(job)
        if verdict is Verdict.UNCLEAR:
            # What it may store is not what was refused before.
            self.oracle.refused.discard(job)
        if verdict is Verdict.FULL and job not in self.oracle.accepted:
            self.oracle.refused.add(job)
        return verdict

    def cancel(self, process: WorldProcess, job: str) -> None:
        """Cancel a job; what the caller hears late may be stored all the same."""
        account = self.oracle.submissions[job].account
        # A cancel without an answer may be stored too, so that its job may end as cancelled.
        self.oracle.cancelled_s.setdefault(job, float("inf"))
        if process.service.cancel(job, account, self.patience_s) is Verdict.DONE:
            self.oracle.cancelled_s[job] = min(self.oracle.cancelled_s[job], self.clock.now_s)

    def deliver_late(self) -> None:
        """Let requests arrive that were held up on their way to the owner that they mean."""
        for token, request in self.link.take_late():
            for process in self.processes:
                if process.owner is not None and process.owner._token == token:
                    process.take(request)

    def pass_time(self, seconds: float) -> None:
        """Let time pass for everything."""
        self.clock.sleep(seconds)


class _Surroundings:
    """Workers and their directory; instances, waves and moves are not part of this world."""

    def __init__(self, world: OwnerWorld, process: WorldProcess) -> None:
        self._world = world
        self._process = process

    @property
    def is_read(self) -> bool:
        """The registered workers are known."""
        return True

    def caller(self, worker: WorkerInfo) -> WorkerCaller:
        """Make a caller; see ``WorkerCallers``."""
        found = self._world.workers[worker.id]
        return WorldCaller(found, worker.life, self._process.judge_start)

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the workers that are registered now."""
        return {
            worker.id: worker.info
            for worker in self._world.workers.values()
            if worker.is_registered
        }

    def evacuated_zones(self) -> frozenset[str]:
        """No zone is evacuated here."""
        return frozenset()

    def waves(self) -> list[WaveRequest]:
        """No wave is asked for."""
        return []

    def report_wave(self, number: int, is_completed: bool) -> None:
        """No wave is reported."""

    def instances(self) -> list[InstanceInfo]:
        """No instance is listed."""
        return []

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Nothing is moved."""
        return OrderStatus.INVALID

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Nothing is maintained."""
        return OrderStatus.INVALID
