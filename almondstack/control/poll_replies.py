"""What follows from the lists of running and ended runs in workers' replies to polls."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from almondstack.control.current_runs import CurrentRun
from almondstack.control.messages import EndedRun, PollReply, RunningRun
from almondstack.control.order_replies import OrderReplies
from almondstack.control.read_ends import ReadEnds
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import RunEnd, Task, TaskNameError
from almondstack.jobs.names import parse_task_name
from almondstack.placement import Worker

if TYPE_CHECKING:
    from almondstack.control.runs import Orders, RunTable

__all__ = ["START_REPLY_TIMEOUT_S", "PollReplies"]

START_REPLY_TIMEOUT_S = 5.0
"""A start without a reply within this time after it was sent is stopped, in seconds."""

_FULL_PERCENT = 100
_MS_PER_S = 1000.0


class PollReplies:
    """Confirms and releases runs by what workers list.

    Parameters
    ----------
    table : RunTable
        The current runs.
    order_replies : OrderReplies
        Repeats or stops the starts of runs that are not listed.
    orders : Orders
        Stops runs that are listed and belong to no task.
    events : EventLog
        Gets an event for each end that is not of a current run, and each missing run.
    metrics : LocalMetrics
        Counts such ends, and lists that are cut short.
    """

    __slots__ = ("_events", "_metrics", "_order_replies", "_orders", "_table", "ends", "on_done")

    def __init__(
        self,
        table: "RunTable",
        order_replies: OrderReplies,
        orders: "Orders",
        events: EventLog,
        metrics: LocalMetrics,
    ) -> None:
        self._table = table
        self._order_replies = order_replies
        self._orders = orders
        self._events = events
        self._metrics = metrics
        self.ends = ReadEnds()
        self.on_done: Callable[[Task, float], None] | None = None

    def note(self, worker: Worker, sent_s: float, reply: PollReply, now_s: float) -> None:
        """Handle the list of running and ended runs in a worker's reply to a poll."""
        worker.is_reachable = True
        worker.last_answer_s = now_s
        for ended in reply.ended:
            self._note_end(worker, ended, now_s)
        listed = {(running.task, running.run) for running in reply.running}
        self._note_former_runs(worker, reply, now_s)
        for running in reply.running:
            self._note_running(worker, running, reply.clock_ms / _MS_PER_S, now_s)
        if not reply.is_whole:
            # A run that is not listed may be among the ends that follow.
            self._metrics.count("look.partial")
            return
        for task in worker.tasks:
            # A former run, carried out late, is to end before its task gets another one.
            if (task.name, task.run) not in listed and task.name not in worker.former_tasks:
                self._note_missing(task, sent_s, now_s)

    def _note_end(self, worker: Worker, ended: EndedRun, now_s: float) -> None:
        is_new = not self.ends.is_read(worker.id, ended.number)
        missing = self.ends.note(worker.id, ended.number)
        if missing:
            self._note_unread_ends(worker, ended.number, missing)
        task = self._table.find(ended.task, worker.id, ended.run)
        if task is None:
            if is_new and ended.end is RunEnd.DONE:
                self._note_done_of_other_run(worker, ended, now_s)
            return
        task.job.note_begun()
        self._table.worker_health.record_run_end(worker, task, ended.end, now_s)
        is_timed = not self._table.runs[task].is_inherited
        if is_timed and ended.end is RunEnd.DONE and self.on_done is not None:
            self.on_done(task, (now_s - task.assigned_s) * _MS_PER_S)
        self._table.release(task, ended.end, ended.checkpoint, now_s)

    def _note_unread_ends(self, worker: Worker, number: int, missing: int) -> None:
        """Report ends that a life of a worker has forgotten before this owner has read them."""
        self._metrics.count("ends.unread")
        self._events.write(
            "ends-unread", worker=worker.id, life=worker.info.life, before=number, count=missing
        )

    def _note_former_runs(self, worker: Worker, reply: PollReply, now_s: float) -> None:
        """Note the tasks of which a worker lists a run that is not the present one."""
        known = worker.former_tasks
        former = set()
        for running in reply.running:
            if self._is_present(worker, running):
                continue
            former.add(running.task)
            task = self._open_task(running.task)
            if task is None:
                continue
            task.open_starts.note(worker.id, now_s + MAX_CALL_DELAY_S)
            self._table.held_tasks.add(task)
            if running.task not in known:
                self._report_former_run(worker, task, running)
        worker.former_tasks = frozenset(former)

    def _is_present(self, worker: Worker, running: RunningRun) -> bool:
        """Whether a listed run is the present one of its task."""
        task = self._table.runs.named(running.task)
        return task is not None and task.worker == worker.id and task.run == running.run

    def _report_former_run(self, worker: Worker, task: Task, running: RunningRun) -> None:
        """Report that a worker runs an earlier run of a task, or one of another owner."""
        self._metrics.count("run.former_listed")
        self._events.write(
            "former-run-listed",
            task=task.name,
            run=running.run,
            current=task.run,
            worker=worker.id,
            current_worker=task.worker,
            life=worker.info.life,
        )

    def _note_done_of_other_run(self, worker: Worker, ended: EndedRun, now_s: float) -> None:
        """Complete a task whose run has ended as done after it was given up, if it still waits.

        Explanation
        -----------
        The acknowledgement of this end follows, and after it the task must not start again.
        A task whose present run the same worker has not confirmed is completed, too.
        """
        task = self._open_task(ended.task)
        if task is not None and self._is_unconfirmed_on(task, worker):
            self._table.release(
                task, RunEnd.DONE, ended.checkpoint, now_s, why="an earlier run is done"
            )
            return
        is_waiting = task is not None and task.job.end_without_run(task)
        self._metrics.count("ends.not_current")
        self._events.write(
            "end-not-current",
            task=ended.task,
            run=ended.run,
            worker=worker.id,
            life=worker.info.life,
            number=ended.number,
            is_completed=is_waiting,
        )
        if task is not None and is_waiting and not task.job.is_open:
            self._table.note_job_end(task.job, now_s)

    def _is_unconfirmed_on(self, task: Task, worker: Worker) -> bool:
        """Whether a worker has not confirmed the present run of a task that ends by itself."""
        current = self._table.runs.get(task)
        if current is None or task.worker != worker.id or current.confirmed_s is not None:
            return False
        return not task.step.is_gang and not task.step.is_long_running

    def _open_task(self, name: str) -> Task | None:
        """Return the task of that name if its job is open and its step is not done."""
        try:
            job_id, key = parse_task_name(name)
        except TaskNameError:
            return None
        job = self._table.jobs.get(job_id)
        return job.open_task(key) if job is not None else None

    def _note_running(
        self, worker: Worker, running: RunningRun, clock_s: float, now_s: float
    ) -> None:
        task = self._table.find(running.task, worker.id, running.run)
        if task is None:
            self._orders.stop(worker.id, running.task, running.run)
            return
        worker.put(task)
        self._table.confirm(task, now_s)
        self._table.runs[task].progress.note(clock_s, running.percent)
        task.load = running.load
        task.is_at_work = running.percent >= _FULL_PERCENT
        if running.checkpoint:
            task.job.note_checkpoint(task, running.checkpoint)

    def _note_missing(self, task: Task, sent_s: float, now_s: float) -> None:
        """Release a run that its worker surely doesn't have, or resolve its start."""
        current = self._table.runs.get(task)
        if current is None:
            return
        if current.confirmed_s is not None and current.confirmed_s < sent_s:
            self._events.write("run-missing", task=task.name, run=task.run, worker=task.worker)
            self._table.release(task, RunEnd.LOST, "", now_s, why="it is not listed")
        elif current.stop_acked_s is not None and current.stop_acked_s < sent_s:
            self._table.release(task, RunEnd.LOST, "", now_s, why="it was stopped")
        elif current.confirmed_s is None and self._is_overdue(task, current, now_s):
            self._order_replies.repeat_or_stop(task, current, None, now_s)

    def _report_unanswered(self, task: Task, current: CurrentRun, now_s: float) -> None:
        sent_s = current.sent_s
        self._events.write(
            "start-unanswered",
            task=task.name,
            worker=task.worker,
            age_s=round(now_s - task.assigned_s, 3),
            sent_age_s=round(now_s - sent_s, 3) if sent_s is not None else None,
        )

    def _is_overdue(self, task: Task, current: CurrentRun, now_s: float) -> bool:
        """Whether the start of an unlisted run is unclear or its reply is overdue.

        Explanation
        -----------
        A start that still waits to be sent is not overdue, however long it does.
        """
        sent_s = max(task.assigned_s, current.sent_s or 0.0)
        is_late = now_s - sent_s > START_REPLY_TIMEOUT_S
        if not current.is_unclear and is_late and not self._orders.is_start_waiting(task):
            current.is_unclear = True
            current.unanswered_s = now_s
            self._report_unanswered(task, current, now_s)
        return current.is_unclear
