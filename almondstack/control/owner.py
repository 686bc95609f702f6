"""Control loop of the owner: handles events, schedules runs, stores records, sends orders."""

import contextlib
import functools
import queue
import threading
import time
from functools import singledispatchmethod

from almondstack.control.advisor import Advisor
from almondstack.control.current_runs import is_same_incarnation
from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.fleet_controller import FleetController
from almondstack.control.job_records import JobRecords
from almondstack.control.journal import OwnerJournal
from almondstack.control.lease import longest_lease_s
from almondstack.control.messages import (
    OrderAnswered,
    OrderKind,
    OrderStatus,
    PollAnswered,
    PollFailed,
    StartOrder,
)
from almondstack.control.pacing import Pacing
from almondstack.control.planning import Planner
from almondstack.control.request_handler import RequestHandler
from almondstack.control.round_report import RoundReport
from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.control.sessions import SessionTable
from almondstack.control.stall_detector import StallDetector
from almondstack.core.supervision import report_error
from almondstack.intake import CancelRequest, SubmissionRequest
from almondstack.jobs import (
    ActiveJob,
    RecordKind,
    Task,
)
from almondstack.ownership import FencedError, OwnershipSettings
from almondstack.placement import WorkerInfo

__all__ = ["JobChange", "Owner", "previous_extension_bound_s"]

_IDLE_WAIT_S = 0.2
"""Maximum wait for an event before a round continues with its time-driven work, in seconds."""


_MAX_LOGGED_JOBS = 20
"""Ids of jobs in one event."""

_MAX_LOGGED_WORKERS = 20
"""Ids of workers in one event."""


class JobChange:
    """A submission or cancel record that was applied to the job index."""

    __slots__ = ("job", "kind")

    def __init__(self, kind: RecordKind, job: str) -> None:
        self.kind = kind
        self.job = job


class Owner:
    """Schedules all jobs until it releases ownership or is fenced by another process.

    Parameters
    ----------
    services : OwnerServices
        Services and settings that the owner uses.
    incarnation : str
        Identifies this run of this process.
    token : int
        Fencing token of this ownership.
    sequence : int
        Sequence number of the append that claimed ownership.
    last_write_s : float, optional
        Monotonic time after which the previous owner has stored nothing, in seconds;
        the present time by default.
    """

    __slots__ = (
        "_advisor",
        "_delays",
        "_fleet",
        "_has_failed",
        "_inbox",
        "_is_released",
        "_journal",
        "_last_write_s",
        "_pacing",
        "_planner",
        "_previous_extension_s",
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
        last_write_s: float | None = None,
    ) -> None:
        self._services = services
        self._token = token
        last_write_s = time.monotonic() if last_write_s is None else last_write_s
        self._inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._journal = OwnerJournal(services, incarnation, token, sequence)
        self._last_write_s = last_write_s
        self._previous_extension_s = previous_extension_bound_s(last_write_s, services.ownership)
        self._sessions = SessionTable(
            services, token, self._inbox.put, self._journal.may_extend, self._previous_extension_s
        )
        self._table = RunTable(self, services.events, services.metrics)
        self._advisor = Advisor(services)
        self._planner = Planner(
            self._table, self._advisor, services.policies, services.directory.evacuated_zones
        )
        self._records = JobRecords(services, self._planner)
        self._requests = RequestHandler(services, self._planner)
        self._fleet = FleetController(
            self._table, self._planner, services, token, self._journal.may_extend
        )
        self._stalls = StallDetector(
            self._table,
            self._planner,
            self._fleet.run_times,
            self._fleet.speed_monitor.speeds,
            services.control.stop_s,
            services.events,
        )
        self._delays = DelayRecorder(
            self._table.delays, self._planner, self._fleet, services.events, services.metrics
        )
        self._table.set_job_end_listener(self._delays.note_job_end)
        self._pacing = Pacing(self._table, self._sessions)
        self._report = RoundReport(services.events, services.metrics)
        self._starts: list[Task] = []
        self._has_failed = False
        self._is_released = threading.Event()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def is_alive(self) -> bool:
        """Whether the control loop is running."""
        return self._thread.is_alive()

    @property
    def turned_away_s(self) -> float:
        """Seconds for which the store has refused every append of this owner."""
        return self._journal.turned_away_s

    @property
    def has_failed(self) -> bool:
        """Whether an unforeseen error has ended the control loop."""
        return self._has_failed

    def start(self) -> None:
        """Start the control loop."""
        self._thread.start()

    def release(self) -> None:
        """Release ownership after the current round."""
        self._is_released.set()

    def abandon(self) -> None:
        """Stop at once, without storing a release of ownership."""
        self._is_released.set()
        self._journal.close()

    def join(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for the control loop to end."""
        self._thread.join(timeout_s)

    def retry_start(self, task: Task) -> None:
        """Send the start of a task's current run again; part of ``Orders``."""
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
            self._advisor.start()
            self._services.requests.open(self._token, self._inbox.put)
            while not self._is_released.is_set():
                self._round()
                self._release_if_ranges_needed()
            self._release_ownership()
            why = "released"
        except FencedError as error:
            why = str(error)
        except Exception as error:
            # The stored records are whole: the next owner goes on from them.
            report_error()
            self._has_failed = True
            why = f"failed: {error!r}"
        finally:
            self._requests.close()
            self._services.requests.close()
            self._journal.close()
            self._services.index.set_listener(None)
            self._fleet.close()
            self._advisor.close()
            self._sessions.close()
        self._services.events.write("owner-ended", token=self._token, why=why)

    def _release_if_ranges_needed(self) -> None:
        """Release ownership if a job needs the ranged form, which this owner's claim lacks.

        Explanation
        -----------
        Builds without that form must not own the jobs once a record is in it.  The next
        claim sees the job and says so in its notice, which such builds can't read.
        """
        jobs = self._records.lacking_ranges
        if jobs and not self._is_released.is_set():
            self._services.events.write(
                "owner-lacks-ranges", token=self._token, jobs=jobs[:_MAX_LOGGED_JOBS]
            )
            self.release()

    def _release_ownership(self) -> None:
        """Handle pending events, start no more runs, and release ownership in the last append."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._handle(self._inbox.get_nowait())
        self._commit(is_last=True)

    def _take_over(self) -> None:
        index = self._services.index
        index.set_listener(lambda kind, job: self._inbox.put(JobChange(kind, job)))
        runs = 0
        for job_id, entry in index.entries():
            if entry.state.is_final and entry.progress is None:
                continue
            job = self._records.load(job_id)
            if job is None:
                continue
            if job.is_over():
                self._records.schedule_removal(job_id)
                continue
            self._table.restore_job(job, time.monotonic())
            self._delays.note_inherited(job, time.monotonic() - self._last_write_s)
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
            self._update_workers(now_s)
            self._table.retry_stops(now_s)
            self._table.note_unbegun(now_s)
            self._fleet.speed_monitor.run_round(now_s)
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
            self._sessions.update_polling(self._table, time.monotonic())
        self._report.end_round(self._table, self._planner)
        self._services.metrics.timing_ms("owner.round", (time.monotonic() - began_s) * 1000.0)
        pause_s = self._services.control.round_s - (time.monotonic() - began_s)
        if pause_s > 0:
            time.sleep(pause_s)

    def _drain_inbox(self) -> None:
        try:
            event = self._inbox.get(timeout=_IDLE_WAIT_S)
            while True:
                self._handle(event)
                event = self._inbox.get_nowait()
        except queue.Empty:
            return

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(type(event).__name__)

    @_handle.register
    def _(self, event: JobChange) -> None:
        if event.kind is RecordKind.CANCEL:
            self._cancel(event.job)
        elif event.job not in self._table.jobs:
            job = self._records.load(event.job)
            if job is not None:
                self._activate(job)

    @_handle.register
    def _(self, event: SubmissionRequest) -> None:
        job = self._requests.submit(event, self._fleet.waits_ms)
        if job is not None:
            self._activate(job)

    @_handle.register
    def _(self, event: CancelRequest) -> None:
        if self._requests.cancel(event):
            self._cancel(event.job)

    @_handle.register
    def _(self, event: PollAnswered) -> None:
        worker = self._table.workers.get(event.worker.id)
        if worker is None or not self._sessions.is_current(event.worker):
            return
        if not is_same_incarnation(worker.info.life, event.reply.life):
            self._drop_restarted(worker.id, event.reply.life)
            return
        self._table.note_poll(worker, event.sent_s, event.reply, time.monotonic())

    @_handle.register
    def _(self, event: PollFailed) -> None:
        worker = self._table.workers.get(event.worker.id)
        if worker is None or not self._sessions.is_current(event.worker):
            return
        if event.status is OrderStatus.GONE:
            self._drop_worker(worker.id, "another life has its address")
            return
        worker.last_failure_s = time.monotonic()
        if worker.is_reachable:
            self._services.events.write("worker-unreachable", worker=worker.id, why=event.status)
        worker.is_reachable = False

    @_handle.register
    def _(self, event: OrderAnswered) -> None:
        now_s = time.monotonic()
        if event.reply.status is OrderStatus.FENCED:
            self._services.events.write("order-fenced", worker=event.worker.id, task=event.task)
        if event.reply.status is OrderStatus.BAD_TICKET:
            self._advisor.drop_ticket(event.task, event.worker.id)
        if event.kind is OrderKind.START:
            self._table.note_start(
                event.worker.id, event.task, event.run, event.reply, now_s, event.worker.life
            )
        elif event.kind is OrderKind.STOP:
            self._table.note_stop(
                event.worker.id, event.task, event.run, event.reply, now_s, event.worker.life
            )
        else:
            self._pacing.note_answer(event.task, event.run, event.reply.status)

    def _activate(self, job: ActiveJob) -> None:
        """Schedule a job from now on; its submission is stored before any of its runs starts."""
        self._table.add_job(job)
        self._fleet.note_job(job, time.monotonic())
        self._delays.note_taken_up(job, time.time() * 1000.0)

    def _cancel(self, job_id: str) -> None:
        job = self._table.jobs.get(job_id)
        if job is None or not job.is_open:
            return
        job.cancel()
        self._delays.note_job_end(job)
        self._table.stop_all(job, time.monotonic())

    def _update_workers(self, now_s: float) -> None:
        changes = self._sessions.reconcile(self._table, now_s)
        for info in changes.restarted:
            self._services.events.write("worker-reborn", worker=info.id, life=info.life)
            self._table.note_worker_restart(info.id, info.life, now_s)
        if changes.awaiting:
            self._request_token(changes.awaiting)
        for worker in changes.added:
            self._table.add_worker(worker, now_s)
        for worker_id, session in self._sessions.unreachable(self._table):
            if now_s > session.lease_end_s:
                self._table.mark_worker_lost(
                    worker_id, "its lease is over", now_s, session.lease_state
                )
        self._mark_orphaned_lost(now_s)

    def _mark_orphaned_lost(self, now_s: float) -> None:
        """Mark runs on unknown workers as lost once every lease of theirs has expired."""
        control = self._services.control
        if now_s <= self._previous_extension_s + longest_lease_s(control):
            return
        before_s = now_s - longest_lease_s(control)
        for task in list(self._table.orphaned(before_s)):
            if now_s > self._sessions.lease_end_s(task.worker, task.life):
                self._table.mark_task_lost(task, "its worker is unknown", now_s)

    def _request_token(self, awaiting: list[WorkerInfo]) -> None:
        """Claim a higher token, which calls for former lives of these workers don't have."""
        token = self._journal.request_token()
        self._services.requests.add_token(token)
        self._services.events.write(
            "token-requested",
            token=token,
            lives={info.id: info.life for info in awaiting[:_MAX_LOGGED_WORKERS]},
            workers=len(awaiting),
        )

    def _drop_restarted(self, worker_id: str, life: int) -> None:
        """Drop a worker that has restarted, until its new incarnation has registered."""
        self._services.events.write("worker-reborn", worker=worker_id, life=life)
        now_s = time.monotonic()
        self._table.note_worker_restart(worker_id, life, now_s)
        self._table.workers.pop(worker_id, None)
        self._sessions.drop_restarted(worker_id, life)

    def _drop_worker(self, worker_id: str, why: str) -> None:
        self._table.mark_worker_lost(worker_id, why, time.monotonic(), may_return=False)
        self._table.workers.pop(worker_id, None)
        self._sessions.drop(worker_id)

    def _commit(self, *, is_last: bool = False) -> None:
        """Store all changes, and only then acknowledge the ends of runs to their workers."""
        records = self._requests.records()
        has_ranges = self._journal.has_ranges
        records.extend(self._records.changes(self._table.jobs, may_use_ranges=has_ranges))
        ends = self._table.take_ends()
        records.extend(self._fleet.records())
        records.extend(self._records.removals())
        write = self._journal.write_last if is_last else self._journal.write
        began_s = time.monotonic()
        self._requests.answer_stored(write(records, self._fleet.waits_ms))
        self._sessions.use_token(self._journal.token)
        self._delays.note_stored(self._starts, time.monotonic() - began_s)
        for job in list(self._table.jobs.values()):
            job.is_dirty = False
            if job.is_over():
                self._table.remove_job(job)
                self._records.schedule_removal(job.id)
        self._sessions.acknowledge(ends)

    def _send_starts(self) -> None:
        """Send the planned starts, except those whose job or ticket has ended since the plan."""
        starts, self._starts = self._starts, []
        for task in starts:
            if self._is_wanted(task, task.run) and self._advisor.ticket(task) is not None:
                self._send_start(task)
            elif task.is_assigned:
                self._table.withdraw(task, time.monotonic())

    def _is_wanted(self, task: Task, run: int) -> bool:
        """Whether that run of a task is still to be started; called from session threads."""
        entry = self._services.index.entry(task.job.id)
        is_open = task.job.is_open and entry is not None and not entry.is_cancelled
        is_present = task.is_assigned and task.run == run and not task.is_stopping
        return is_open and is_present and self._takes_runs(task.worker)

    def _takes_runs(self, worker_id: str) -> bool:
        """Whether a worker neither drains nor is in an availability zone that gets no new runs."""
        worker = self._table.workers.get(worker_id)
        if worker is None:
            return True
        zones = self._services.directory.evacuated_zones()
        return not worker.info.is_draining and worker.info.zone not in zones

    def _send_start(self, task: Task) -> None:
        session = self._sessions.get(task.worker)
        if session is None:
            return
        job = task.job
        name = task.name
        ticket = self._advisor.ticket(task) or ""
        self._services.events.write(
            "run-ordered", task=name, run=task.run, worker=task.worker, token=session.token
        )
        session.set_busy(True)
        order = StartOrder(name, task.run, job.submission.spec, task.checkpoint, ticket)
        session.start(order, functools.partial(self._is_wanted, task, task.run))


def previous_extension_bound_s(last_write_s: float, settings: OwnershipSettings) -> float:
    """Return the time until which the previous owner may have extended leases.

    Explanation
    -----------
    An owner may extend leases for ``unsure_s`` seconds after its last write, which
    happened at ``last_write_s`` at the latest.  That the previous owner is
    unreachable does not show that it has stopped extending them.  Times are
    monotonic seconds.

    Examples
    --------
    >>> previous_extension_bound_s(100.0, OwnershipSettings(unsure_s=2.5))
    102.5
    """
    return last_write_s + settings.unsure_s
