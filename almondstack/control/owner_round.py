"""One round of the owner: news, workers, fleet, placement, one append, orders.

Explanation
-----------
docs/design/owner-round.md says what each step reads and hands on.
"""

import contextlib
import queue
import time
from functools import singledispatchmethod

from almondstack.control.current_runs import is_same_incarnation
from almondstack.control.messages import (
    OrderAnswered,
    OrderKind,
    OrderStatus,
    PollAnswered,
    PollFailed,
    StartSent,
)
from almondstack.control.owner_parts import OwnerParts
from almondstack.control.round_report import RoundReport
from almondstack.control.set_aside import setting_aside
from almondstack.control.worker_updates import WorkerUpdates
from almondstack.intake import CancelRequest, SubmissionRequest
from almondstack.jobs import ActiveJob, RecordKind, Task

__all__ = ["JobChange", "OwnerRound"]

_IDLE_WAIT_S = 0.2
"""Maximum wait for an event before a round continues with its time-driven work, in seconds."""

_MAX_NEWS_S = 0.1
"""Time after which the news that is left waits for the next round, in seconds: an owner that
stores nothing for long is replaced."""

_MS_PER_S = 1000.0


class JobChange:
    """A submission or cancel record that was applied to the job index."""

    __slots__ = ("job", "kind")

    def __init__(self, kind: RecordKind, job: str) -> None:
        self.kind = kind
        self.job = job


class OwnerRound:
    """Runs the rounds of an owner.

    Parameters
    ----------
    parts : OwnerParts
        What the owner consists of.
    inbox : queue.SimpleQueue
        Events of sessions, callers' requests and changes of the job index.
    """

    __slots__ = ("_inbox", "_parts", "_report", "_starts", "_workers")

    def __init__(self, parts: OwnerParts, inbox: queue.SimpleQueue[object]) -> None:
        self._parts = parts
        self._inbox = inbox
        self._workers = WorkerUpdates(parts)
        self._report = RoundReport(parts.services.events, parts.services.metrics)
        self._starts: list[Task] = []

    def run(self) -> None:
        """Run one round, and wait until the next one is due."""
        parts = self._parts
        began_s = time.monotonic()
        with self._report.part("news"):
            self._wait_for_news()
        parts.requests.answer_refusals()
        now_s = time.monotonic()
        with self._report.part("workers"):
            self._workers.run_round(now_s)
            parts.table.retry_stops(now_s)
            parts.table.note_unbegun(now_s)
            parts.fleet.speed_monitor.run_round(now_s)
            parts.stalls.run_round(now_s)
        with self._report.part("fleet"):
            parts.fleet.run_round(now_s)
        with self._report.part("placement"):
            self._starts.extend(parts.planner.plan(now_s, time.time() * _MS_PER_S))
            parts.delays.note_planned(now_s)
        with self._report.part("commit"):
            self.commit()
        with self._report.part("orders"):
            self.send_starts()
            parts.fleet.send_orders()
            parts.pacing.run_round(now_s)
            parts.sessions.update_polling(parts.table, time.monotonic())
        self._report.end_round(parts.table, parts.planner)
        round_s = time.monotonic() - began_s
        parts.services.metrics.timing_ms("owner.round", round_s * _MS_PER_S)
        pause_s = parts.services.control.round_s - round_s
        if pause_s > 0:
            time.sleep(pause_s)

    def run_last(self) -> None:
        """Handle pending events, start no more runs, and release ownership in the last append."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._handle(self._inbox.get_nowait())
        self.commit(is_last=True)

    def activate(self, job: ActiveJob) -> None:
        """Schedule a job from now on; its submission is stored before any of its runs starts."""
        self._parts.table.add_job(job)
        self._parts.table.hold_recorded(job, time.monotonic())
        self._parts.fleet.note_job(job, time.monotonic())
        self._parts.delays.note_taken_up(job, time.time() * _MS_PER_S)

    def cancel(self, job_id: str) -> None:
        """Cancel a job and stop its runs; no effect if it is not open."""
        job = self._parts.table.jobs.get(job_id)
        if job is None or not job.is_open:
            return
        job.cancel()
        self._parts.delays.note_job_end(job)
        self._parts.table.stop_all(job, time.monotonic())

    def commit(self, *, is_last: bool = False) -> None:
        """Store all changes, and only then acknowledge the ends of runs to their workers."""
        parts = self._parts
        records = parts.requests.records()
        has_ranges = parts.journal.has_ranges
        records.extend(parts.records.changes(parts.table.jobs, may_use_ranges=has_ranges))
        ends = parts.table.take_ends()
        records.extend(parts.fleet.records())
        records.extend(parts.records.removals())
        write = parts.journal.write_last if is_last else parts.journal.write
        began_s = time.monotonic()
        parts.requests.answer_stored(write(records, parts.fleet.admission))
        parts.sessions.use_token(parts.journal.token)
        parts.delays.note_stored(self._starts, time.monotonic() - began_s)
        self._forget_ended_jobs()
        parts.sessions.acknowledge(ends)

    def send_starts(self) -> None:
        """Send the starts that the last commit has stored."""
        starts, self._starts = self._starts, []
        self._parts.orders.send_starts(starts)

    def _forget_ended_jobs(self) -> None:
        """Count all jobs as stored, and remove those that are over."""
        parts = self._parts
        for job in list(parts.table.jobs.values()):
            job.is_dirty = False
            if job.is_over():
                parts.table.remove_job(job)
                parts.records.schedule_removal(job.id)

    def _wait_for_news(self) -> None:
        """Handle the events that have arrived, and wait a while for a first one."""
        try:
            event = self._inbox.get(timeout=_IDLE_WAIT_S)
            until_s = time.monotonic() + _MAX_NEWS_S
            self._handle(event)
            while time.monotonic() < until_s:
                self._handle(self._inbox.get_nowait())
        except queue.Empty:
            return

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(type(event).__name__)

    @_handle.register
    def _(self, event: JobChange) -> None:
        if event.kind is RecordKind.CANCEL:
            self.cancel(event.job)
        elif event.job not in self._parts.table.jobs:
            with setting_aside(self._parts.services, self._parts.table, event.job):
                job = self._parts.records.load(event.job)
                if job is not None:
                    self.activate(job)

    @_handle.register
    def _(self, event: SubmissionRequest) -> None:
        requests = self._parts.requests
        try:
            job = requests.submit(event, self._parts.fleet.admission)
            if job is not None:
                self.activate(job)
        except Exception as error:
            if requests.refuse_failed(event, error):
                self._parts.table.forget_job(event.job)

    @_handle.register
    def _(self, event: CancelRequest) -> None:
        requests = self._parts.requests
        try:
            if requests.cancel(event):
                self.cancel(event.job)
        except Exception as error:
            requests.fail_cancel(event, error)

    @_handle.register
    def _(self, event: PollAnswered) -> None:
        table = self._parts.table
        worker = table.workers.get(event.worker.id)
        if worker is None or not self._parts.sessions.is_current(event.worker):
            return
        if not is_same_incarnation(worker.info.life, event.reply.life):
            self._workers.drop_restarted(worker.id, event.reply.life)
            return
        table.note_poll(worker, event.sent_s, event.reply, time.monotonic())

    @_handle.register
    def _(self, event: PollFailed) -> None:
        worker = self._parts.table.workers.get(event.worker.id)
        if worker is None or not self._parts.sessions.is_current(event.worker):
            return
        if event.status is OrderStatus.GONE:
            self._workers.drop(worker.id, "another life has its address")
            return
        worker.last_failure_s = time.monotonic()
        if worker.is_reachable:
            self._parts.services.events.write(
                "worker-unreachable", worker=worker.id, why=event.status
            )
        worker.is_reachable = False

    @_handle.register
    def _(self, event: StartSent) -> None:
        self._parts.table.note_start_sent(event.worker.id, event.task, event.run, event.sent_s)

    @_handle.register
    def _(self, event: OrderAnswered) -> None:
        parts = self._parts
        now_s = time.monotonic()
        worker = event.worker
        if event.reply.status is OrderStatus.FENCED:
            parts.services.events.write("order-fenced", worker=worker.id, task=event.task)
        if event.reply.status is OrderStatus.BAD_TICKET:
            parts.advisor.drop_ticket(event.task, worker.id)
        if event.kind is OrderKind.START:
            parts.table.note_start(
                worker.id, event.task, event.run, event.reply, now_s, worker.life
            )
        elif event.kind is OrderKind.STOP:
            parts.table.note_stop(worker.id, event.task, event.run, event.reply, now_s, worker.life)
        else:
            parts.pacing.note_answer(event.task, event.run, event.reply.status)
