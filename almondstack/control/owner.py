"""The owner's loop: what it is told, what it decides, what it writes, what it orders."""

import contextlib
import functools
import queue
import threading
import time
from functools import singledispatchmethod

from almondstack.control.advisor import Advisor
from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.fleet_controller import FleetController
from almondstack.control.job_records import JobRecords
from almondstack.control.journal import OwnerJournal
from almondstack.control.messages import (
    Looked,
    LookFailed,
    Ordered,
    OrderKind,
    OrderStatus,
    StartOrder,
)
from almondstack.control.pacing import Pacing
from almondstack.control.pending_runs import is_same_life
from almondstack.control.planning import Planner
from almondstack.control.request_rounds import RequestRounds
from almondstack.control.round_report import RoundReport
from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.control.sessions import SessionTable
from almondstack.control.stall_detector import StallDetector
from almondstack.intake import CancelRequest, SubmissionRequest
from almondstack.jobs import (
    ActiveJob,
    RecordKind,
    Task,
    format_task_name,
)
from almondstack.ownership import FencedError, OwnershipSettings

__all__ = ["JobNews", "Owner", "leases_known_from_s"]

_IDLE_WAIT_S = 0.2
"""How long the loop waits for news before it looks after its clocks."""


class JobNews:
    """A submission or a cancel that the book has folded."""

    __slots__ = ("job", "kind")

    def __init__(self, kind: RecordKind, job: str) -> None:
        self.kind = kind
        self.job = job


class Owner:
    """Decides what runs where for as long as nobody else has claimed the jobs.

    Parameters
    ----------
    services : OwnerServices
        What it works with.
    incarnation : str
        Names this process.
    token : int
        Its fencing token.
    sequence : int
        Number of the append by which it claimed the jobs.
    heard_s : float, optional
        Monotonic time after which the owner before has stored nothing, in seconds;
        the present time by default.
    """

    __slots__ = (
        "_advisor",
        "_delays",
        "_fleet",
        "_heard_s",
        "_inbox",
        "_inherited_s",
        "_is_released",
        "_journal",
        "_pacing",
        "_planner",
        "_records",
        "_report",
        "_requests",
        "_services",
        "_sessions",
        "_stalls",
        "_starts",
        "_table",
        "_thread",
        "_token",
    )

    def __init__(
        self,
        services: OwnerServices,
        incarnation: str,
        token: int,
        sequence: int,
        heard_s: float | None = None,
    ) -> None:
        self._services = services
        self._token = token
        heard_s = time.monotonic() if heard_s is None else heard_s
        self._inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._journal = OwnerJournal(services, incarnation, token, sequence)
        self._heard_s = heard_s
        self._inherited_s = leases_known_from_s(heard_s, services.ownership)
        self._sessions = SessionTable(
            services, token, self._inbox.put, self._journal.may_extend, self._inherited_s
        )
        self._table = RunTable(self, services.events, services.metrics)
        self._advisor = Advisor(services)
        self._planner = Planner(
            self._table, self._advisor, services.policies, services.directory.evacuated_zones
        )
        self._records = JobRecords(services, self._planner)
        self._requests = RequestRounds(services, self._planner)
        self._fleet = FleetController(self._table, self._planner, services, token)
        self._stalls = StallDetector(
            self._table,
            self._planner,
            self._fleet.correction,
            services.control.stop_s,
            services.events,
        )
        self._delays = DelayRecorder(
            self._table.delays, self._planner, self._fleet, services.events, services.metrics
        )
        self._table.follow_job_ends(self._delays.note_job_end)
        self._pacing = Pacing(self._table, self._sessions)
        self._report = RoundReport(services.events, services.metrics)
        self._starts: list[Task] = []
        self._is_released = threading.Event()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def is_alive(self) -> bool:
        """Whether the loop still runs."""
        return self._thread.is_alive()

    @property
    def turned_away_s(self) -> float:
        """Seconds for which the store has refused all that this owner writes."""
        return self._journal.turned_away_s

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def release(self) -> None:
        """Give the jobs back after the present round."""
        self._is_released.set()

    def abandon(self) -> None:
        """Stop at once, without a word to the store."""
        self._is_released.set()
        self._journal.close()

    def join(self, timeout_s: float) -> None:
        """Wait for the loop's end."""
        self._thread.join(timeout_s)

    def start_again(self, task: Task) -> None:
        """Repeat the start of a task's present run; part of ``Orders``."""
        self._send_start(task)

    def stop(self, worker: str, name: str, run: int) -> None:
        """Stop a run; part of ``Orders``."""
        session = self._sessions.get(worker)
        if session is not None:
            session.stop(name, run)

    def _run(self) -> None:
        self._services.events.write("owner-started", token=self._token)
        try:
            self._take_over()
            self._fleet.start()
            self._services.requests.open(self._token, self._inbox.put)
            while not self._is_released.is_set():
                self._round()
            self._give_back()
            why = "released"
        except FencedError as error:
            why = str(error)
        finally:
            self._requests.close()
            self._services.requests.close()
            self._journal.close()
            self._services.book.set_listener(None)
            self._fleet.close()
            self._sessions.close()
        self._services.events.write("owner-ended", token=self._token, why=why)

    def _give_back(self) -> None:
        """Store what has come, start nothing any more, and give ownership back with that."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._take(self._inbox.get_nowait())
        self._commit(is_last=True)

    def _take_over(self) -> None:
        book = self._services.book
        book.set_listener(lambda kind, job: self._inbox.put(JobNews(kind, job)))
        runs = 0
        for job_id, entry in book.entries():
            if entry.state.is_final and entry.progress is None:
                continue
            job = self._records.load(job_id)
            if job is None:
                continue
            if job.is_over():
                self._records.retire(job_id)
                continue
            self._table.inherit(job, time.monotonic())
            self._delays.note_inherited(job, time.monotonic() - self._heard_s)
            runs += len(job.assigned())
            if not job.is_open:
                self._table.stop_all(job, time.monotonic())
        self._services.events.write("state-taken-over", jobs=len(self._table.jobs), runs=runs)

    def _round(self) -> None:
        began_s = time.monotonic()
        with self._report.part("news"):
            self._drain_inbox()
        self._requests.answer_refusals()
        now_s = time.monotonic()
        with self._report.part("workers"):
            self._look_after_workers(now_s)
            self._table.retry_stops(now_s)
            self._stalls.run_round(now_s)
        with self._report.part("fleet"):
            self._fleet.run_round(now_s)
        with self._report.part("placement"):
            self._starts.extend(self._planner.plan(now_s, time.time() * 1000.0))
            self._delays.note_planned(now_s)
        with self._report.part("commit"):
            self._commit()
        with self._report.part("orders"):
            self._send_starts()
            self._fleet.send_orders()
            self._pacing.run_round(now_s)
            self._sessions.note_busy(self._table, time.monotonic())
        self._report.end_round(self._table)
        self._services.metrics.timing_ms("owner.round", (time.monotonic() - began_s) * 1000.0)
        pause_s = self._services.control.round_s - (time.monotonic() - began_s)
        if pause_s > 0:
            time.sleep(pause_s)

    def _drain_inbox(self) -> None:
        try:
            news = self._inbox.get(timeout=_IDLE_WAIT_S)
            while True:
                self._take(news)
                news = self._inbox.get_nowait()
        except queue.Empty:
            return

    @singledispatchmethod
    def _take(self, news: object) -> None:
        raise TypeError(type(news).__name__)

    @_take.register
    def _(self, news: JobNews) -> None:
        if news.kind is RecordKind.CANCEL:
            self._cancel(news.job)
        elif news.job not in self._table.jobs:
            job = self._records.load(news.job)
            if job is not None:
                self._take_up(job)

    @_take.register
    def _(self, news: SubmissionRequest) -> None:
        job = self._requests.submit(news, self._fleet.waits_ms)
        if job is not None:
            self._take_up(job)

    @_take.register
    def _(self, news: CancelRequest) -> None:
        if self._requests.cancel(news):
            self._cancel(news.job)

    @_take.register
    def _(self, news: Looked) -> None:
        worker = self._table.workers.get(news.worker.id)
        if worker is None or not self._sessions.is_current(news.worker):
            return
        if not is_same_life(worker.info.life, news.reply.life):
            self._drop_reborn(worker.id, news.reply.life)
            return
        self._table.note_look(worker, news.sent_s, news.reply, time.monotonic())

    @_take.register
    def _(self, news: LookFailed) -> None:
        worker = self._table.workers.get(news.worker.id)
        if worker is None or not self._sessions.is_current(news.worker):
            return
        if news.status is OrderStatus.GONE:
            self._drop_worker(worker.id, "another life has its address")
            return
        worker.last_failure_s = time.monotonic()
        if worker.is_reachable:
            self._services.events.write("worker-unreachable", worker=worker.id, why=news.status)
        worker.is_reachable = False

    @_take.register
    def _(self, news: Ordered) -> None:
        now_s = time.monotonic()
        if news.reply.status is OrderStatus.FENCED:
            self._services.events.write("order-fenced", worker=news.worker.id, task=news.task)
        if news.kind is OrderKind.START:
            self._table.note_start(news.worker.id, news.task, news.run, news.reply, now_s)
        elif news.kind is OrderKind.STOP:
            self._table.note_stop(news.worker.id, news.task, news.run, news.reply, now_s)

    def _take_up(self, job: ActiveJob) -> None:
        """Work on a job from now on; its submission is stored, or will be before any start."""
        self._table.jobs[job.id] = job
        self._fleet.note_job(job, time.monotonic())
        self._delays.note_taken_up(job, time.time() * 1000.0)

    def _cancel(self, job_id: str) -> None:
        job = self._table.jobs.get(job_id)
        if job is None or not job.is_open:
            return
        job.cancel()
        self._delays.note_job_end(job)
        self._table.stop_all(job, time.monotonic())

    def _look_after_workers(self, now_s: float) -> None:
        changes = self._sessions.compare(self._table, now_s)
        for reborn_id in changes.reborn:
            self._services.events.write("worker-reborn", worker=reborn_id)
        for worker in changes.adopted:
            self._table.adopt(worker, now_s, time.time() * 1000.0)
        for worker_id, session in self._sessions.unreachable(self._table):
            if now_s > session.lease_end_s:
                self._table.lose_worker(worker_id, "its lease is over", now_s)
        self._lose_homeless(now_s)

    def _lose_homeless(self, now_s: float) -> None:
        """Give up runs on workers that are nowhere, once no lease of theirs can last."""
        control = self._services.control
        if now_s <= self._inherited_s + control.lease_s * (1 + control.clock_error):
            return
        before_s = now_s - control.lease_s * (1 + control.clock_error)
        for task in list(self._table.homeless(before_s)):
            self._table.lose_task(task, now_s)

    def _drop_reborn(self, worker_id: str, life: int) -> None:
        """Drop a worker of which another life answers, until that one has registered."""
        self._services.events.write("worker-reborn", worker=worker_id, life=life)
        now_s = time.monotonic()
        self._table.note_rebirth(worker_id, life, now_s, time.time() * 1000.0)
        self._table.workers.pop(worker_id, None)
        self._sessions.drop_reborn(worker_id, life)

    def _drop_worker(self, worker_id: str, why: str) -> None:
        self._table.lose_worker(worker_id, why, time.monotonic())
        self._table.workers.pop(worker_id, None)
        self._sessions.drop(worker_id)

    def _commit(self, *, is_last: bool = False) -> None:
        """Store what has changed; only then do workers hear that ends were seen."""
        records = self._requests.records()
        records.extend(self._records.changes(self._table.jobs))
        ends = self._table.take_ends()
        records.extend(self._fleet.records())
        records.extend(self._records.dropped())
        write = self._journal.write_last if is_last else self._journal.write
        began_s = time.monotonic()
        self._requests.settle(write(records, self._fleet.waits_ms))
        self._delays.note_stored(self._starts, time.monotonic() - began_s)
        for job in list(self._table.jobs.values()):
            job.is_dirty = False
            if job.is_over():
                del self._table.jobs[job.id]
                self._records.retire(job.id)
        for worker, number in ends.items():
            session = self._sessions.get(worker)
            if session is not None:
                session.acknowledge(number)

    def _send_starts(self) -> None:
        """Order what was decided, unless its job has ended while the store was slow."""
        starts, self._starts = self._starts, []
        for task in starts:
            if self._is_wanted(task, task.run):
                self._send_start(task)
            elif task.is_assigned:
                self._table.unplace(task, time.monotonic())

    def _is_wanted(self, task: Task, run: int) -> bool:
        """Whether that run of a task is still to be started; sessions ask from their threads."""
        entry = self._services.book.entry(task.job.id)
        is_open = task.job.is_open and entry is not None and not entry.is_cancelled
        is_present = task.is_assigned and task.run == run and not task.is_stopping
        return is_open and is_present and not self._is_evacuated(task.worker)

    def _is_evacuated(self, worker_id: str) -> bool:
        """Whether a worker is in an availability zone that gets nothing more."""
        worker = self._table.workers.get(worker_id)
        zones = self._services.directory.evacuated_zones()
        return worker is not None and worker.info.zone in zones

    def _send_start(self, task: Task) -> None:
        session = self._sessions.get(task.worker)
        if session is None:
            return
        job = task.job
        name = format_task_name(job.id, task.key)
        ticket = self._advisor.ticket(task)
        self._services.events.write(
            "run-ordered", task=name, run=task.run, worker=task.worker, token=self._token
        )
        session.set_busy(True)
        order = StartOrder(name, task.run, job.submission.spec, task.checkpoint, ticket)
        session.start(order, functools.partial(self._is_wanted, task, task.run))


def leases_known_from_s(heard_s: float, settings: OwnershipSettings) -> float:
    """Return until when an owner before may have extended leases, in monotonic seconds.

    Explanation
    -----------
    It extends them for a while after its last write, which was read here at
    ``heard_s`` at the latest; that it can't be reached proves nothing.

    Examples
    --------
    >>> leases_known_from_s(100.0, OwnershipSettings(unsure_s=2.5))
    102.5
    """
    return heard_s + settings.unsure_s
