"""Deterministic simulation for tests of real owners: store, workers, processes and clock.

Explanation
-----------
Owners, run tables, sessions, journals, planners and job indexes are product code.  Only
their threads are replaced by explicit calls, so that a test controls the order of
events and which replies are lost.
"""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from almondstack.control import owner_round as owner_round_module
from almondstack.control import sessions as sessions_module
from almondstack.control.owner import Owner
from almondstack.control.ports import WorkerCaller
from almondstack.control.services import OwnerServices
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
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
from almondstack.jobs.records import decode_notice, split_key
from almondstack.ownership import (
    FencedError,
    OwnershipSettings,
    Record,
    StoreError,
    StoreRefusedError,
    StoreUnclearError,
)
from almondstack.ownership.owner_records import is_written_by_owner
from almondstack.placement import (
    AccountPolicy,
    Policies,
    QueuePolicy,
    Resources,
    WorkerInfo,
)
from almondstack.testing.fake_records import FakeRecordStore
from almondstack.testing.late_answers import LateAnswers
from almondstack.testing.owner_oracle import OwnerOracle
from almondstack.testing.owner_port import RequestLink, WorldOwnerPort
from almondstack.testing.owner_worker import WorldCaller, WorldClock, WorldWorker
from almondstack.testing.process_time import ProcessTime
from almondstack.testing.pumped_session import PumpedSession
from almondstack.testing.still_fleet import StillFleet

__all__ = ["CEILING_MILLIS", "MAX_ATTEMPTS", "PATCHED_TIME_MODULES", "OwnerWorld", "WorldProcess"]

CEILING_MILLIS = 3_000
MAX_ATTEMPTS = 2
_STORE_TIMEOUT_S = 0.5

_CLOCK_RATES = {"w1": 0.98, "w2": 1.0, "w3": 0.99}
"""The simulated workers, with the rates of their clocks."""

_MAX_LISTED_ENDS = 2
"""Ends that a simulated worker lists at a time: few, so that lists are cut short."""

PATCHED_TIME_MODULES = (
    "almondstack.control.advisor",
    "almondstack.control.fleet_controller",
    "almondstack.control.instance_manager",
    "almondstack.control.job_records",
    "almondstack.control.journal",
    "almondstack.control.owner",
    "almondstack.control.owner_round",
    "almondstack.control.request_handler",
    "almondstack.control.run_orders",
    "almondstack.control.session",
    "almondstack.control.sessions",
    "almondstack.control.worker_updates",
    "almondstack.intake.append_retries",
    "almondstack.intake.direct",
    "almondstack.intake.direct_admission",
    "almondstack.intake.service",
    "almondstack.jobs.job_index",
)
"""Modules whose ``time`` is replaced by the simulated clock."""


class _WorldStore(FakeRecordStore):
    """A store that has the oracle check each record, with injected faults.

    Attributes
    ----------
    refuses : int
        Number of further calls to refuse.
    is_delaying : bool
        Whether conditional appends are delayed until :meth:`carry_out`.
    during_refusal : callable or None
        Called once while the next refused call is in progress.
    """

    def __init__(self, clock: WorldClock, oracle: OwnerOracle) -> None:
        super().__init__()
        self.refuses = 0
        self.is_delaying = False
        self._delayed: list[tuple[Record, int]] = []
        self.during_refusal: Callable[[], None] | None = None
        self._clock = clock
        self._oracle = oracle
        self._checked_count = 0

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append at the end of the log, or delay the append and raise an unclear error."""
        if self.is_delaying:
            self._delayed.append((record, offset))
            self._clock.sleep(timeout_s)
            raise StoreUnclearError(f"no answer within {timeout_s} s")
        super().append_at(record, offset, timeout_s)

    def carry_out(self) -> None:
        """Perform the delayed appends whose expected offset is still the end of the log."""
        delayed, self._delayed = self._delayed, []
        for record, offset in delayed:
            with contextlib.suppress(StoreError):
                super().append_at(record, offset, 1.0)

    def _check(self) -> None:
        if self.refuses:
            self.refuses -= 1
            self._clock.sleep(_STORE_TIMEOUT_S)
            during_refusal, self.during_refusal = self.during_refusal, None
            if during_refusal is not None:
                # Only the refused caller waits; calls of others succeed.
                left, self.refuses = self.refuses, 0
                during_refusal()
                self.refuses = left
            raise StoreRefusedError("store unavailable")
        super()._check()

    def _maybe_lose_reply(self) -> None:
        """Have the oracle check the new records before the reply to their append may be lost."""
        while self._checked_count < len(self.records):
            record = self.records[self._checked_count]
            self._checked_count += 1
            self._oracle.judge_record(record.key, record.value)
        if self.replies_to_lose:
            self._clock.sleep(_STORE_TIMEOUT_S)
        super()._maybe_lose_reply()


class WorldProcess:
    """One process: its job index, its intake, and its owner while it has ownership.

    Attributes
    ----------
    time_shift_s : float
        By how much its time of day is ahead, in seconds.
    """

    def __init__(self, world: "OwnerWorld", name: str) -> None:
        self.name = name
        self.time_shift_s = 0.0
        self._world = world
        self._restarts = 0
        self.restart()

    def restart(self) -> None:
        """Crash, and restart without state."""
        self._restarts += 1
        self.owner: Owner | None = None
        self.index = JobIndex()
        self.next_offset = 0
        self._late_answers = LateAnswers(self._world.clock.monotonic)
        self._cancels_read_s: dict[str, float] = {}
        self._last_owner_record_s = self._world.clock.now_s
        self.service = JobService(
            self._world.store,
            self.index,
            self,
            WorldOwnerPort(self._world, self),
            self._world.events,
            LocalMetrics(),
        )

    @property
    def lag_s(self) -> float:
        """Zero: the simulated store is never silent, only single calls fail."""
        return 0.0

    @property
    def read_gap_s(self) -> float:
        """Zero: there is no gap between reads."""
        return 0.0

    def sync(self) -> None:
        """Read the store to its end, and apply the records."""
        batch = self._world.store.read(self.next_offset, 0.0)
        self.next_offset = batch.next_offset
        for record in batch.records:
            self.index.apply(record.key, record.value)
            kind, job = split_key(record.key)
            if is_written_by_owner(record) and not self._is_own_claim(record):
                self._last_owner_record_s = self._world.clock.now_s
            if kind is RecordKind.CANCEL:
                self._cancels_read_s.setdefault(job, self._world.clock.now_s)

    def _is_own_claim(self, record: Record) -> bool:
        if split_key(record.key)[0] is not RecordKind.OWNER:
            return False
        return decode_notice(record.value).owner == self._incarnation

    @property
    def _incarnation(self) -> str:
        return f"{self.name}/{self._restarts}"

    def judge_start(self, name: str) -> None:
        """Have the oracle check a start that this process orders."""
        now_s = self._world.clock.now_s
        cancel_read_s = self._cancels_read_s.get(name.partition(".")[0], now_s)
        self._world.oracle.judge_order(name, cancel_read_s, now_s)

    def has_token(self, token: int) -> bool:
        """Whether this process is owner, and that token is one of this ownership."""
        owner = self.owner
        return owner is not None and owner.token <= token <= owner.parts.journal.token

    def follow(self) -> None:
        """Read the store to its end, or do nothing if it is unavailable."""
        with contextlib.suppress(StoreError):
            self.sync()

    def claim(self) -> None:
        """Claim ownership, or do nothing if the store does not answer."""
        with self._own_time(), contextlib.suppress(StoreError):
            self._claim()

    def _own_time(self) -> contextlib.AbstractContextManager[None]:
        """Make the time of day that of this process."""
        return self._world.process_time.of_process(self.time_shift_s)

    def _claim(self) -> None:
        """Claim as the log follower does, and start an owner once the claim was read."""
        self.sync()
        notice = self.index.notice
        token = notice.token + 1 if notice is not None else 1
        incarnation = self._incarnation
        record = Record(
            record_key(RecordKind.OWNER), encode_notice(OwnerNotice(incarnation, token))
        )
        if not self._world.store.claim(token, record, 10 * self._restarts):
            return
        self.sync()
        self.owner = Owner(
            self._world.services(self),
            incarnation,
            token,
            10 * self._restarts,
            self._last_owner_record_s,
        )
        self.owner.take_over()

    def round(self) -> None:
        """Run one round of the owner; drop the owner if it is fenced."""
        if self.owner is None:
            return
        self._late_answers.deliver_overdue()
        try:
            with self._own_time():
                self.owner.rounds.run()
        except FencedError:
            self.owner.parts.requests.close()
            self.owner.parts.journal.close()
            self.owner.parts.sessions.close()
            self.index.set_listener(None)
            self.owner = None

    def take(self, request: OwnerRequest) -> None:
        """Pass a request to the owner and run two rounds, with a read of the store in between."""
        if self.owner is None:
            return
        self.owner.inbox.put(request)
        self.round()
        self.follow()
        self.round()

    def pump_handshake(self, worker: str) -> None:
        """Let the owner's session of a worker do its handshake, as before a first start."""
        session = self._session(worker)
        if session is not None:
            session.pump_handshake()

    def pump_orders(self, worker: str, *, is_late: bool = False) -> None:
        """Let the owner's session of a worker send its orders, without a poll."""
        session = self._session(worker)
        if session is not None:
            with self._posting(session, is_late=is_late):
                session.pump_orders()

    def pump(self, worker: str, *, is_late: bool = False) -> None:
        """Let the owner's session of a worker send its orders and poll.

        The answers reach the owner at once, or with :meth:`deliver_answers`.
        """
        session = self._session(worker)
        if session is None:
            return
        with self._posting(session, is_late=is_late):
            session.pump_orders()
            if not self._late_answers.has_poll_of(session):
                session.pump_poll()

    def deliver_answers(self) -> None:
        """Deliver the late answers of workers to the owner."""
        self._late_answers.deliver()

    def _session(self, worker: str) -> PumpedSession | None:
        session = self.owner.parts.sessions.get(worker) if self.owner is not None else None
        return session if isinstance(session, PumpedSession) else None

    @contextlib.contextmanager
    def _posting(self, session: PumpedSession, *, is_late: bool) -> Iterator[None]:
        """Let a session call in this process, and hold its answers back if they are late."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._own_time())
            if is_late:
                stack.enter_context(self._late_answers.held_back(session))
            yield


class OwnerWorld:
    """The whole simulation: clock, store, workers, processes, link and oracle.

    Attributes
    ----------
    caller_timeout_s : float
        How long callers wait for an answer, in seconds.
    """

    def __init__(self) -> None:
        self.caller_timeout_s = 2.0
        self.clock = WorldClock()
        self.process_time = ProcessTime(self.clock)
        self.oracle = OwnerOracle({"a": CEILING_MILLIS}, MAX_ATTEMPTS)
        self.store = _WorldStore(self.clock, self.oracle)
        self.events = EventLog("world")
        self.workers = {
            id: WorldWorker(id, self.clock, self.oracle, _MAX_LISTED_ENDS, rate)
            for id, rate in _CLOCK_RATES.items()
        }
        self.policies = Policies(
            1,
            {"q": QueuePolicy("q", "p", max_attempts=MAX_ATTEMPTS, stretch=2.0, objective_ms=900)},
            {"a": AccountPolicy("a", ceiling=Resources(CEILING_MILLIS))},
            {"p": False},
        )
        self.link = RequestLink()
        self.processes = [WorldProcess(self, "one"), WorldProcess(self, "two")]

    @contextlib.contextmanager
    def patched(self) -> Iterator[None]:
        """Replace the clock and the threads of the product code."""
        with contextlib.ExitStack() as stack:
            for module in PATCHED_TIME_MODULES:
                stack.enter_context(mock.patch(f"{module}.time", self.process_time))
            stack.enter_context(mock.patch.object(sessions_module, "WorkerSession", PumpedSession))
            stack.enter_context(mock.patch.object(owner_round_module, "_IDLE_WAIT_S", 0.0))
            stack.enter_context(mock.patch("almondstack.control.journal._RETRY_PAUSE_S", 0.0))
            yield

    def services(self, process: WorldProcess) -> OwnerServices:
        """Return the services of an owner in a process."""
        services = _WorldServices(self, process)
        return OwnerServices(
            store=self.store,
            address="127.0.0.1:1",
            index=process.index,
            callers=services,
            instances=services,
            directory=services,
            advice=None,
            policies=lambda: self.policies,
            control=ControlSettings(lease_s=4.5),
            ownership=OwnershipSettings(),
            requests=OwnerRequests(),
            read_offset=lambda: process.next_offset,
            events=self.events,
            metrics=LocalMetrics(),
        )

    def submit(self, process: WorldProcess, job: str, submission: Submission) -> Verdict:
        """Submit a job, and record its verdict in the oracle."""
        self.oracle.submissions.setdefault(job, submission)
        policy = self.policies.queues[submission.queue]
        with self.process_time.of_process(process.time_shift_s):
            verdict = process.service.submit(
                job, self.oracle.submissions[job], policy, self.caller_timeout_s
            ).verdict
        if verdict in (Verdict.DONE, Verdict.KNOWN):
            self.oracle.accepted.add(job)
            self.oracle.refused.discard(job)
        if verdict is Verdict.UNCLEAR:
            # This attempt may still be stored, so the earlier refusal no longer holds.
            self.oracle.refused.discard(job)
        if verdict is Verdict.FULL and job not in self.oracle.accepted:
            self.oracle.refused.add(job)
        return verdict

    def cancel(self, process: WorldProcess, job: str) -> None:
        """Cancel a job, and record when the cancel was acknowledged."""
        account = self.oracle.submissions[job].account
        # An unanswered cancel may be stored too, so its job may end as cancelled.
        self.oracle.cancelled_s.setdefault(job, float("inf"))
        with self.process_time.of_process(process.time_shift_s):
            verdict = process.service.cancel(job, account, self.caller_timeout_s)
        if verdict is Verdict.DONE:
            self.oracle.cancelled_s[job] = min(self.oracle.cancelled_s[job], self.clock.now_s)

    def deliver_delayed(self) -> None:
        """Deliver the delayed requests to the owners with their fencing tokens."""
        for token, request in self.link.take_delayed():
            for process in self.processes:
                if process.has_token(token):
                    process.take(request)

    def pass_time(self, seconds: float) -> None:
        """Advance the simulated clock."""
        self.clock.sleep(seconds)


class _WorldServices(StillFleet):
    """Worker callers and directory of the simulated workers."""

    def __init__(self, world: OwnerWorld, process: WorldProcess) -> None:
        self._world = world
        self._process = process

    def caller(self, worker: WorkerInfo) -> WorkerCaller:
        """Make a caller; see ``WorkerCallers``."""
        found = self._world.workers[worker.id]
        return WorldCaller(found, self._process.judge_start)

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the registrations that the directory lists now."""
        return {
            worker.id: worker.registration
            for worker in self._world.workers.values()
            if worker.is_registered
        }
