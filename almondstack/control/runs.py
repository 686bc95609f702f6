"""What runs where: the owner's table of jobs, workers and runs.

Explanation
-----------
Everything here works on what it is told and has neither thread nor network.
Orders that follow from an event are handed to ``orders``.  A run whose fate is
not known is settled before its task gets another: the start is repeated, then
the run is stopped, which also keeps it from ever starting, and only a look
sent after that stop lets the task wait again.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from almondstack.control.delays import JobDelays
from almondstack.control.messages import (
    EndedRun,
    LookReply,
    OrderReply,
    OrderStatus,
    RunningRun,
)
from almondstack.control.pending_runs import PendingRun, PendingRuns, is_same_life
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, JobState, RunEnd, Task, TaskNameError, format_task_name
from almondstack.jobs.names import parse_task_name
from almondstack.placement import Usage, Worker
from almondstack.placement.progress import Progress
from almondstack.placement.worker_health import WorkerHealth

__all__ = ["Orders", "RunTable"]

_MOST_START_TRIES = 2
_FULL_PERCENT = 100
_STOP_RETRY_S = 0.5
_UNANSWERED_S = 5.0
"""A start whose reply has not come so long after its decision is settled by a stop, in seconds."""

_NO_CONNECTION_PAUSE_S = 1.0
"""A worker that takes no connection gets nothing new for so long, in seconds."""

_BIRTH_SLACK_MS = 1_000.0
"""By so much the times of day of a worker and of this process may differ, in milliseconds."""

_MS = 1000.0

_NO_ROOM_PAUSE_S = 0.3
"""A worker that said it is full gets nothing new for so long, in seconds."""


class Orders(Protocol):
    """Where the table's orders go."""

    def start_again(self, task: Task) -> None:
        """Repeat the start of a task's present run."""
        ...

    def stop(self, worker: str, name: str, run: int) -> None:
        """Stop a run on a worker."""
        ...


class RunTable:
    """Jobs, workers and the runs between them.

    Parameters
    ----------
    orders : Orders
        Takes the orders that follow from events.
    events : EventLog
        Takes a line for each end and each loss.
    metrics : NullMetrics
        Counts them.
    """

    __slots__ = (
        "_end_follower",
        "_job_end_follower",
        "_ends",
        "_events",
        "_metrics",
        "_orders",
        "_pending",
        "delays",
        "jobs",
        "soundness",
        "usage",
        "workers",
    )

    def __init__(self, orders: Orders, events: EventLog, metrics: NullMetrics) -> None:
        self._orders = orders
        self._events = events
        self._metrics = metrics
        self._pending = PendingRuns()
        self._ends: dict[str, int] = {}
        self._end_follower: Callable[[Task, float], None] | None = None
        self._job_end_follower: Callable[[ActiveJob], None] | None = None
        self.delays = JobDelays()
        self.jobs: dict[str, ActiveJob] = {}
        self.workers: dict[str, Worker] = {}
        self.usage = Usage({})
        self.soundness = WorkerHealth()

    def follow_ends(self, follower: Callable[[Task, float], None]) -> None:
        """Have a function called with each task that ended well, and its milliseconds."""
        self._end_follower = follower

    def follow_job_ends(self, follower: Callable[[ActiveJob], None]) -> None:
        """Have a function called with each job that completes or fails."""
        self._job_end_follower = follower

    def inherit(self, job: ActiveJob, now_s: float) -> None:
        """Take over a job with the runs that are recorded of it."""
        self.jobs[job.id] = job
        for task in job.assigned():
            self.usage.add(task)
            task.assigned_s = now_s
            pending = self._pending.add(task)
            pending.is_unclear = True
            pending.is_inherited = True

    def adopt(self, worker: Worker, now_s: float, now_unix_ms: float) -> None:
        """Take up a worker, with the runs that are or may be on that life of it."""
        self.workers[worker.id] = worker
        # What was handled of the life before would make this one forget ends unread.
        self._ends.pop(worker.id, None)
        self.note_rebirth(worker.id, worker.info.life, now_s, now_unix_ms)
        for task in self.tasks_on(worker.id):
            worker.put(task)
            if self._pending[task].rehomed_s is not None:
                self.ask_stop(task, now_s)

    def note_rebirth(self, worker: str, life: int, now_s: float, now_unix_ms: float) -> None:
        """Take into account that a worker lives since ``life``, in Unix milliseconds.

        Explanation
        -----------
        A run that its life before has confirmed has ended with it.  Any other may
        have been started by the new life, which has the same id: it stays recorded
        there until a stop and a look show that it isn't there any more.
        """
        for task in self.tasks_on(worker):
            if is_same_life(task.life, life):
                continue
            pending = self._pending[task]
            if pending.confirmed_s is not None:
                confirmed_ms = now_unix_ms - (now_s - pending.confirmed_s) * _MS
                if confirmed_ms < life - _BIRTH_SLACK_MS:
                    self.lose_task(task, now_s)
                    continue
            task.life = life
            task.is_confirmed = False
            task.job.is_dirty = True
            pending.confirmed_s = None
            pending.is_unclear = True
            pending.rehomed_s = now_s

    def workers_of(self, pool: str) -> Iterator[Worker]:
        """Iterate over the workers of a pool."""
        return (worker for worker in self.workers.values() if worker.info.pool == pool)

    def tasks_on(self, worker: str) -> list[Task]:
        """Return the tasks recorded on a worker, whether it is known or not."""
        return self._pending.on_worker(worker)

    def lose_unlisted(self, listed: set[str], listed_s: float, now_s: float) -> None:
        """Give up runs on workers that no instance carries any more.

        Parameters
        ----------
        listed : set of str
            The workers that live on some instance.
        listed_s : float
            When that list was asked for, in monotonic seconds; later runs don't count.
        now_s : float
            Present monotonic time in seconds.
        """
        for worker in self._pending.workers() - listed:
            if all(task.assigned_s < listed_s for task in self.tasks_on(worker)):
                self.lose_worker(worker, "its instance carries another worker", now_s)

    def homeless(self, before_s: float) -> Iterator[Task]:
        """Iterate over tasks whose worker is not known, nor was reborn since ``before_s``."""
        return self._pending.homeless(self.workers, before_s)

    def progressing(self) -> Iterator[tuple[Task, Progress]]:
        """Iterate over runs that end by themselves, on workers that answer, with their progress."""
        return self._pending.progressing(self.workers)

    def note_assigned(self, task: Task) -> None:
        """Follow a run that placement has just assigned."""
        self._pending.add(task)

    def unplace(self, task: Task, now_s: float) -> None:
        """Take back a run whose start was never sent."""
        self._release(task, RunEnd.LOST, "", now_s, is_counted=False)

    def take_ends(self) -> dict[str, int]:
        """Return, and forget, the highest end handled for each worker."""
        ends, self._ends = self._ends, {}
        return ends

    def stop_all(self, job: ActiveJob, now_s: float) -> None:
        """Ask for a stop of everything that runs of a job."""
        for task in job.assigned():
            self.ask_stop(task, now_s)

    def ask_stop(self, task: Task, now_s: float) -> None:
        """Ask for a stop of a task's present run, once in a while until it is settled."""
        pending = self._pending.get(task)
        if pending is None or pending.stop_acked_s is not None:
            return
        if pending.stop_sent_s is not None and now_s - pending.stop_sent_s < _STOP_RETRY_S:
            return
        task.is_stopping = True
        pending.stop_sent_s = now_s
        self._orders.stop(task.worker, _name(task), task.run)

    def retry_stops(self, now_s: float) -> None:
        """Repeat stops that were not acknowledged."""
        for task, pending in self._pending.items():
            if task.is_stopping and pending.stop_acked_s is None:
                self.ask_stop(task, now_s)

    def note_start(self, worker: str, name: str, run: int, reply: OrderReply, now_s: float) -> None:
        """Take the reply to a start into account."""
        task = self._find(name, worker, run)
        if task is None:
            if reply.status in (OrderStatus.DONE, OrderStatus.UNCLEAR):
                self._orders.stop(worker, name, run)
            return
        pending = self._pending[task]
        if reply.status is OrderStatus.DONE:
            self._confirm(task, pending, now_s)
        elif reply.status is OrderStatus.UNCLEAR:
            self._settle_unclear(task, pending, now_s)
        else:
            self._note_not_started(task, pending, reply.status, now_s)

    def note_stop(self, worker: str, name: str, run: int, reply: OrderReply, now_s: float) -> None:
        """Take the reply to a stop into account."""
        task = self._find(name, worker, run)
        if task is None:
            return
        pending = self._pending[task]
        is_settled = reply.status in (OrderStatus.DONE, OrderStatus.OLD_RUN)
        if is_settled and pending.stop_acked_s is None:
            pending.stop_acked_s = now_s

    def note_look(self, worker: Worker, sent_s: float, reply: LookReply, now_s: float) -> None:
        """Take what a worker lists into account."""
        worker.is_reachable = True
        worker.last_answer_s = now_s
        for ended in reply.ended:
            self._note_end(worker, ended, now_s)
        listed = set()
        for running in reply.running:
            listed.add((running.task, running.run))
            self._note_running(worker, running, reply.clock_ms / _MS, now_s)
        for task in worker.tasks:
            if (_name(task), task.run) not in listed:
                self._note_missing(task, sent_s, now_s)

    def lose_worker(self, worker: str, why: str, now_s: float) -> None:
        """Let everything recorded on a worker wait again: nothing of it can run any more."""
        tasks = self.tasks_on(worker)
        if tasks:
            self._events.write("worker-lost", worker=worker, why=why, runs=len(tasks))
        for task in tasks:
            self._release(task, RunEnd.LOST, "", now_s)

    def lose_task(self, task: Task, now_s: float) -> None:
        """Let one task wait again: its run can't be anywhere any more."""
        self._release(task, RunEnd.LOST, "", now_s)

    def _find(self, name: str, worker: str, run: int) -> Task | None:
        """Return the task if that is its present run on that worker."""
        try:
            job_id, key = parse_task_name(name)
        except TaskNameError as error:
            self._events.write("unknown-task", worker=worker, error=str(error))
            return None
        job = self.jobs.get(job_id)
        task = job.task(key) if job is not None else None
        if task is None or task not in self._pending:
            return None
        is_present = task.worker == worker and task.run == run
        return task if is_present else None

    def _confirm(self, task: Task, pending: PendingRun, now_s: float) -> None:
        if pending.confirmed_s is None:
            pending.confirmed_s = now_s
            task.is_confirmed = True

    def _settle_unclear(self, task: Task, pending: PendingRun, now_s: float) -> None:
        if pending.confirmed_s is not None:
            return
        pending.is_unclear = True
        if pending.tries < _MOST_START_TRIES and task.job.is_open and not task.is_stopping:
            pending.tries += 1
            self._orders.start_again(task)
            return
        self.ask_stop(task, now_s)

    def _note_not_started(
        self, task: Task, pending: PendingRun, status: OrderStatus, now_s: float
    ) -> None:
        worker = self.workers.get(task.worker)
        self._events.write(
            "start-refused", task=_name(task), run=task.run, worker=task.worker, why=status
        )
        if worker is not None and status is OrderStatus.NO_ROOM:
            worker.set_aside_until_s = now_s + _NO_ROOM_PAUSE_S
        if worker is not None and status is OrderStatus.NOT_SENT:
            worker.set_aside_until_s = now_s + _NO_CONNECTION_PAUSE_S
        if worker is not None and status is OrderStatus.REFUSED:
            self.soundness.record_refusal(worker, now_s)
        if pending.confirmed_s is not None:
            return
        if pending.is_unclear and status is not OrderStatus.GONE:
            self.ask_stop(task, now_s)
            return
        self._release(task, RunEnd.LOST, "", now_s, is_counted=False)

    def _note_end(self, worker: Worker, ended: EndedRun, now_s: float) -> None:
        self._ends[worker.id] = max(ended.number, self._ends.get(worker.id, 0))
        task = self._find(ended.task, worker.id, ended.run)
        if task is None:
            return
        self.soundness.record_run_end(worker, task, ended.end, now_s)
        is_timed = not self._pending[task].is_inherited
        if is_timed and ended.end is RunEnd.DONE and self._end_follower is not None:
            self._end_follower(task, (now_s - task.assigned_s) * 1000.0)
        self._release(task, ended.end, ended.checkpoint, now_s)

    def _note_running(
        self, worker: Worker, running: RunningRun, clock_s: float, now_s: float
    ) -> None:
        task = self._find(running.task, worker.id, running.run)
        if task is None:
            self._orders.stop(worker.id, running.task, running.run)
            return
        worker.put(task)
        pending = self._pending[task]
        self._confirm(task, pending, now_s)
        pending.progress.note(clock_s, running.percent)
        task.load = running.load
        task.is_at_work = running.percent >= _FULL_PERCENT
        if running.checkpoint:
            task.checkpoint = running.checkpoint

    def _note_missing(self, task: Task, sent_s: float, now_s: float) -> None:
        pending = self._pending.get(task)
        if pending is None:
            return
        if pending.confirmed_s is not None and pending.confirmed_s < sent_s:
            self._events.write("run-missing", task=_name(task), run=task.run, worker=task.worker)
            self._release(task, RunEnd.LOST, "", now_s)
        elif pending.stop_acked_s is not None and pending.stop_acked_s < sent_s:
            self._release(task, RunEnd.LOST, "", now_s)
        elif pending.confirmed_s is None and self._is_overdue(task, pending, now_s):
            self.ask_stop(task, now_s)

    def _is_overdue(self, task: Task, pending: PendingRun, now_s: float) -> bool:
        """Whether the start of a run that is not listed has no reply to wait for any more."""
        if not pending.is_unclear and now_s - task.assigned_s > _UNANSWERED_S:
            pending.is_unclear = True
            self._events.write("start-unanswered", task=_name(task), worker=task.worker)
        return pending.is_unclear

    def _release(
        self, task: Task, end: RunEnd, checkpoint: str, now_s: float, *, is_counted: bool = True
    ) -> None:
        """Take a run off its worker and let its job take the end into account."""
        self._pending.pop(task)
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.remove(task)
        self.usage.remove(task)
        job = task.job
        name, run, from_worker = _name(task), task.run, task.worker
        was_open = job.is_open
        if is_counted:
            self.delays.note_run(task, end, now_s)
        job.end_run(task, end, checkpoint, now_s)
        self._metrics.count(f"run.{end}")
        if is_counted:
            self._events.write(
                "run-ended",
                task=name,
                run=run,
                worker=from_worker,
                end=end,
                failures=task.failures,
                took_s=round(now_s - task.assigned_s, 3),
            )
        if task.step.is_gang and end is RunEnd.DONE:
            self._close_gang(task)
        elif task.step.is_gang:
            self._stop_gang(task, now_s)
        if was_open and not job.is_open:
            self._note_job_end(job, now_s)

    def _close_gang(self, task: Task) -> None:
        """Take the other members off their workers: one end that is done stands for all."""
        for member in task.job.steps_of(task.key.occurrence)[task.key.step]:
            if self._pending.pop(member) is None:
                continue
            worker = self.workers.get(member.worker)
            if worker is not None:
                worker.remove(member)
            self.usage.remove(member)

    def _stop_gang(self, task: Task, now_s: float) -> None:
        for member in task.job.steps_of(task.key.occurrence)[task.key.step]:
            if member.is_assigned:
                self.ask_stop(member, now_s)

    def _note_job_end(self, job: ActiveJob, now_s: float) -> None:
        if self._job_end_follower is not None:
            self._job_end_follower(job)
        if job.state is not JobState.COMPLETED:
            self.stop_all(job, now_s)


def _name(task: Task) -> str:
    return format_task_name(task.job.id, task.key)
